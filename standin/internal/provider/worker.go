package provider

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// pollInterval is the interval at which a waiting poll checks for ends.
const pollInterval = 5 * time.Millisecond

// payload is the job payload of the stand-in's callers. It defines the actual
// behaviour of the job's tasks; the scheduler doesn't read it.
type payload struct {
	WorkMS  int64 `json:"workMs"`
	CPU     int   `json:"cpu"`
	MemMB   int   `json:"memMb"`
	IsLong  bool  `json:"isLong"`
	IsFatal bool  `json:"isFatal"`
}

// order is an order to a worker.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	Ticket       string `json:"ticket"`
	Percent      int    `json:"percent"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// WorkerHandler returns the handler of the workers of a VM.
func (pv *Provider) WorkerHandler(name string) http.Handler {
	wh := &workerHandler{
		provider: pv,
		vm:       name,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", wh.start)
	mux.HandleFunc("POST /run-stop", wh.stop)
	mux.HandleFunc("POST /pace", wh.pace)
	mux.HandleFunc("POST /hold", wh.poll)
	return &impairer{
		provider: pv,
		vm:       name,
		handler:  mux,
	}
}

type workerHandler struct {
	provider *Provider
	vm       string
}

// withWorker calls step with the VM while the provider is locked. A call of a worker
// that has stopped is aborted or waits, by what becomes of its connection. It refuses a
// request that names another worker instance.
func (wh *workerHandler) withWorker(rw http.ResponseWriter, rq *http.Request, step func(machine *vm)) {
	wh.provider.mu.Lock()
	defer wh.provider.mu.Unlock()
	machine := wh.provider.vms[wh.vm]
	incarnation, _ := rq.Context().Value(incarnationKey{}).(int)
	for machine.worker == nil && machine.isBooting && incarnation >= machine.servedFrom {
		wh.provider.hasChanged.Wait()
	}
	switch {
	case incarnation < machine.servedFrom && machine.isSilent:
		wh.provider.mu.Unlock()
		<-rq.Context().Done()
		wh.provider.mu.Lock()
		panic(http.ErrAbortHandler)
	case incarnation < machine.servedFrom || machine.worker == nil:
		panic(http.ErrAbortHandler)
	}
	if expected := rq.Header.Get("Expect-Instance"); expected != "" && expected != string(machine.worker.Worker().ID) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	step(machine)
}

func decodeOrder(rw http.ResponseWriter, rq *http.Request) (order, modeller.TaskName, bool) {
	var od order
	if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return od, modeller.TaskName{}, false
	}
	if od.Task == "" {
		return od, modeller.TaskName{}, true
	}
	name, err := modeller.ParseTaskName(od.Task)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
	}
	return od, name, err == nil
}

func (wh *workerHandler) start(rw http.ResponseWriter, rq *http.Request) {
	od, name, ok := decodeOrder(rw, rq)
	if !ok {
		return
	}
	wh.withWorker(rw, rq, func(machine *vm) {
		if !wh.provider.learnProfile(name, od.Spec) {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		wh.provider.applyRunFaults(machine)
		before := machine.worker.Runs()[name]
		refusal, ok := machine.worker.Start(time.Now(), executor.StartOrder{
			Fence:           od.FencingToken,
			Task:            name,
			Attempt:         od.Attempt,
			Checkpoint:      od.Checkpoint,
			LeaseEnd:        time.Duration(od.DeadlineMS) * time.Millisecond,
			IsTicketInvalid: !wh.provider.hasValidTicket(machine, name, od.Ticket),
		})
		if ok && before != od.Attempt {
			wh.provider.checkStart(machine, name, od)
			wh.provider.joinGang(machine, name, od.Attempt, od.Checkpoint)
		}
		if refusal == executor.RefusedTicket {
			wh.provider.counts.TicketRefusals++
		}
		answerOrder(rw, machine, refusal, ok)
	})
}

// learnProfile records what the payload of a start says of its task. It reports
// false if the payload can't be decoded; that of an expected job may have any form.
func (pv *Provider) learnProfile(name modeller.TaskName, spec string) bool {
	ej := pv.expected[name.Job]
	if ej != nil {
		spec = ej.job.Payload
	}
	profile, err := decodePayload(spec)
	if err != nil && ej == nil {
		return false
	}
	pv.profiles[name] = profile
	return true
}

func decodePayload(spec string) (executor.Profile, error) {
	var pl payload
	if err := json.NewDecoder(strings.NewReader(spec)).Decode(&pl); err != nil {
		return executor.Profile{}, errors.Wrap(err, "payload")
	}
	return executor.Profile{
		Demand: modeller.Resources{
			MilliCores: pl.CPU,
			MemoryMB:   pl.MemMB,
		},
		Duration:      time.Duration(pl.WorkMS) * time.Millisecond,
		IsLongRunning: pl.IsLong,
		IsFailing:     pl.IsFatal,
	}, nil
}

func (wh *workerHandler) stop(rw http.ResponseWriter, rq *http.Request) {
	od, name, ok := decodeOrder(rw, rq)
	if !ok {
		return
	}
	wh.withWorker(rw, rq, func(machine *vm) {
		refusal, ok := machine.worker.Stop(time.Now(), od.FencingToken, name, od.Attempt)
		answerOrder(rw, machine, refusal, ok)
	})
}

func (wh *workerHandler) pace(rw http.ResponseWriter, rq *http.Request) {
	od, name, ok := decodeOrder(rw, rq)
	if !ok {
		return
	}
	wh.withWorker(rw, rq, func(machine *vm) {
		refusal, ok := machine.worker.Pace(time.Now(), od.FencingToken, name, od.Attempt, od.Percent)
		answerOrder(rw, machine, refusal, ok)
	})
}

func answerOrder(rw http.ResponseWriter, machine *vm, refusal executor.Refusal, ok bool) {
	clock := machine.worker.Clock(time.Now()).Milliseconds()
	if !ok {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": string(refusal)})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": clock})
}

// poll responds as soon as there is an unacknowledged end, or after the wait.
func (wh *workerHandler) poll(rw http.ResponseWriter, rq *http.Request) {
	od, _, ok := decodeOrder(rw, rq)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(od.WaitMS) * time.Millisecond)
	for isAnswered := false; !isAnswered; {
		isAnswered = true
		wh.withWorker(rw, rq, func(machine *vm) {
			listed := machine.worker.Report(time.Now()).Ended
			report, refusal, ok := machine.worker.Poll(time.Now(), od.FencingToken, time.Duration(od.DeadlineMS)*time.Millisecond, od.LastSeen)
			if ok {
				wh.provider.recordAcknowledged(machine, listed, od.LastSeen)
			}
			switch {
			case !ok:
				answerOrder(rw, machine, refusal, false)
			case len(report.Ended) == 0 && time.Now().Before(until):
				isAnswered = false
			default:
				wh.provider.recordCheckpoints(report)
				answerPoll(rw, report)
			}
		})
		if !isAnswered {
			time.Sleep(pollInterval)
		}
	}
}

func answerPoll(rw http.ResponseWriter, report modeller.Report) {
	running := [][]any{}
	for _, rn := range report.Running {
		running = append(running, []any{rn.Task.String(), rn.Attempt, rn.Checkpoint, rn.Progress, rn.Load})
	}
	ended := [][]any{}
	for _, end := range report.Ended {
		ended = append(ended, []any{end.Number, end.Task.String(), end.Attempt, string(end.Kind), end.Checkpoint})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"born": report.StartedAtMS, "clock_ms": report.Clock.Milliseconds(), "running": running, "ended": ended})
}
