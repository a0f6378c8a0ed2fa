package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// patience bounds what must happen.
	patience = 10 * time.Second
	// callTimeout is when a caller gives a call up.
	callTimeout = 50 * time.Millisecond
	// leaseTime is the lease that starts and polls ask for.
	leaseTime = 5 * time.Second
	// shortWork is the duration of a task that ends during a test, and longWork that
	// of one that doesn't.
	shortWork = 50 * time.Millisecond
	longWork  = time.Hour
	queueName = "q"
	poolName  = "p"
	jobID     = modeller.JobID("0000000000000001")
)

var capacity = modeller.Resources{
	MilliCores: 4000,
	MemoryMB:   4000,
}

// rig is a provider with workers that a test calls.
type rig struct {
	t        *testing.T
	provider *Provider
	handlers map[string]http.Handler
	// fence is the fencing token of calls, and payload the payload of starts.
	fence   uint64
	payload string
}

// newRig returns a rig with the VMs a, b and c in a pool.
func newRig(t *testing.T, opts ...Option) *rig {
	t.Helper()
	rg := &rig{
		t:        t,
		provider: New(append([]Option{WithGangWait(patience), WithCheckpoints(50*time.Millisecond, 10*time.Millisecond)}, opts...)...),
		handlers: map[string]http.Handler{},
		fence:    1,
		payload:  payloadOf(shortWork),
	}
	t.Cleanup(rg.provider.Close)
	for _, name := range []string{"a", "b", "c"} {
		rg.addVM(name, poolName)
	}
	return rg
}

func (rg *rig) addVM(name, pool string, opts ...VMOption) {
	rg.handlers[name] = rg.provider.WorkerHandler(name)
	rg.provider.AddVM(name, pool, "z", netip.MustParseAddrPort("127.0.0.1:1"), capacity, false, opts...)
}

// answer is an answer of a worker. Its status is zero if there was none.
type answer struct {
	status  int
	Reason  string      `json:"reason"`
	ClockMS int64       `json:"clock_ms"`
	Born    int64       `json:"born"`
	Running [][]any     `json:"running"`
	Ended   [][]any     `json:"ended"`
	Good    [][2]string `json:"good"`
}

// post sends a call to a handler, and gives up after callTimeout.
func (rg *rig) post(handler http.Handler, path string, body any) (an answer) {
	rg.t.Helper()
	data, err := json.Marshal(body)
	must.NoError(rg.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rw := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			must.Eq(rg.t, any(http.ErrAbortHandler), cause)
			an = answer{}
		}
	}()
	handler.ServeHTTP(rw, httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data)))
	if rw.Body.Len() > 0 {
		must.NoError(rg.t, json.Unmarshal(rw.Body.Bytes(), &an))
	}
	an.status = rw.Code
	return an
}

// poll polls a VM's worker and acknowledges the ends up to a number.
func (rg *rig) poll(vm string, acknowledged int64) answer {
	rg.t.Helper()
	return rg.post(rg.handlers[vm], "/hold", order{
		DeadlineMS:   (rg.clock(vm) + leaseTime).Milliseconds(),
		FencingToken: rg.fence,
		LastSeen:     acknowledged,
	})
}

// clock returns the reading of the clock of a VM's worker.
func (rg *rig) clock(vm string) time.Duration {
	rg.provider.mu.Lock()
	defer rg.provider.mu.Unlock()
	if wk := rg.provider.vms[vm].worker; wk != nil {
		return wk.Clock(time.Now())
	}
	return 0
}

// startOption changes an order to start a task.
type startOption func(od *order)

// start starts a task on a VM's worker.
func (rg *rig) start(vm, task string, attempt int, opts ...startOption) answer {
	rg.t.Helper()
	od := order{
		Task:         task,
		Attempt:      attempt,
		Spec:         rg.payload,
		DeadlineMS:   (rg.clock(vm) + leaseTime).Milliseconds(),
		FencingToken: rg.fence,
	}
	for _, opt := range opts {
		opt(&od)
	}
	return rg.post(rg.handlers[vm], "/run-start", od)
}

// mustStart starts a task, which must be accepted.
func (rg *rig) mustStart(vm, task string, attempt int, opts ...startOption) {
	rg.t.Helper()
	must.Eq(rg.t, http.StatusOK, rg.start(vm, task, attempt, opts...).status)
}

// awaitEnd waits for the end of a run and returns its number, kind and checkpoint.
func (rg *rig) awaitEnd(vm, task string, attempt int) (number int64, kind, checkpoint string) {
	rg.t.Helper()
	must.Wait(rg.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for _, end := range rg.poll(vm, 0).Ended {
			if end[1] == task && end[2] == float64(attempt) {
				number, kind, checkpoint = int64(end[0].(float64)), end[3].(string), end[4].(string)
				return true
			}
		}
		return false
	}), wait.Timeout(patience), wait.Gap(5*time.Millisecond)))
	return number, kind, checkpoint
}

// rules checks which rules were violated.
func (rg *rig) rules(rules ...Rule) {
	rg.t.Helper()
	found := []Rule{}
	for _, vn := range rg.provider.Violations() {
		found = append(found, vn.Rule)
	}
	must.Eq(rg.t, append([]Rule{}, rules...), found, must.Sprintf("%v", rg.provider.Violations()))
}

func payloadOf(work time.Duration) string { return fmt.Sprintf(`{"workMs":%d}`, work.Milliseconds()) }

// taskText returns the name of a task of the job that tests submit.
func taskText(step, index int) string { return fmt.Sprintf("%s.0.%d.%d", jobID, step, index) }

// expect announces the job with the given steps, and starts its tasks from now on. Each
// works for shortWork, unless change sets another payload.
func (rg *rig) expect(change func(job *modeller.Job), steps ...modeller.Step) {
	job := modeller.Job{
		ID:      jobID,
		Queue:   queueName,
		Payload: payloadOf(shortWork),
		Steps:   steps,
		Origin: modeller.Queue{
			Name:        queueName,
			Host:        "h",
			Prefix:      "/q/",
			Pool:        poolName,
			MaxAttempts: 2,
		},
	}
	if change != nil {
		change(&job)
	}
	rg.payload = job.Payload
	rg.provider.Expect(job)
}

// isLong lets the tasks of a job work for longWork.
func isLong(job *modeller.Job) { job.Payload = payloadOf(longWork) }
