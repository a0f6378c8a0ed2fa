package dispatcher

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/timekeeper"
)

// incarnation is a worker from its start to its crash. It accepts all orders.
type incarnation struct {
	server      *httptest.Server
	startedAtMS int64

	mu sync.Mutex
	// effects are the calls that a report shows to be more than a request for one.
	effects []string
}

// newIncarnation starts a worker at an address.
func newIncarnation(t *testing.T, address string, startedAtMS int64) *incarnation {
	t.Helper()
	in := &incarnation{startedAtMS: startedAtMS}
	ln, err := net.Listen("tcp", address)
	must.NoError(t, err)
	in.server = &httptest.Server{Listener: ln, Config: &http.Server{Handler: in}}
	in.server.Start()
	t.Cleanup(in.crash)
	return in
}

func (in *incarnation) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	var body struct {
		DeadlineMS int64 `json:"deadline_ms"`
		LastSeen   int64 `json:"last_seen"`
	}
	_ = json.NewDecoder(rq.Body).Decode(&body)
	if rq.URL.Path != "/hold" || body.DeadlineMS != 0 || body.LastSeen != 0 {
		in.mu.Lock()
		in.effects = append(in.effects, fmt.Sprintf("%s deadline_ms %d last_seen %d", rq.URL.Path, body.DeadlineMS, body.LastSeen))
		in.mu.Unlock()
	}
	_, _ = fmt.Fprintf(rw, `{"born":%d,"clock_ms":1,"running":[],"ended":[]}`, in.startedAtMS)
}

// crash ends the worker with its connections.
func (in *incarnation) crash() {
	in.server.CloseClientConnections()
	in.server.Close()
}

func (in *incarnation) seenEffects() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.effects
}

// TestNextIncarnationGetsNoOrdersOfTheOneBefore guards against starts, leases and
// acknowledgements that a worker carries out which is back under its ID.
func TestNextIncarnationGetsNoOrdersOfTheOneBefore(t *testing.T) {
	first := newIncarnation(t, "127.0.0.1:0", 1)
	address := first.server.Listener.Addr().String()
	worker := modeller.Worker{ID: "w", Address: netip.MustParseAddrPort(address), StartedAtMS: 1}
	task := modeller.TaskName{Job: "j"}
	events := make(chan allocator.Event, 8)
	di := New(adapter.NewWorkers(adapter.NewDialer()), 1, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	carryOut := func(od allocator.Order) allocator.Event {
		di.Dispatch(t.Context(), distributor.TimedOrder{Order: od, ValidUntil: timekeeper.Now().Add(time.Minute)})
		return <-events
	}
	poll := allocator.PollOrder{Worker: worker, LeaseEnd: time.Hour, AcknowledgedEnds: 5, ProcessedEnds: 5}
	report, ok := carryOut(poll).(allocator.ReportReceived)
	must.True(t, ok)
	must.Eq(t, 1, report.Report.StartedAtMS)
	start := allocator.StartOrder{Worker: worker, Task: task, Attempt: 1, LeaseEnd: time.Hour}
	must.Eq(t, allocator.Accepted, carryOut(start).(allocator.StartResult).Outcome)
	must.Len(t, 2, first.seenEffects())

	first.crash()
	second := newIncarnation(t, address, 2)
	start.Attempt = 2
	must.NotEq(t, allocator.Accepted, carryOut(start).(allocator.StartResult).Outcome)
	must.NotEq(t, allocator.Accepted, carryOut(allocator.StopOrder{Worker: worker, Task: task, Attempt: 1}).(allocator.StopResult).Outcome)
	_, hasFailed := carryOut(poll).(allocator.PollFailed)
	must.True(t, hasFailed)
	must.SliceEmpty(t, second.seenEffects())

	poll = allocator.PollOrder{Worker: worker}
	poll.Worker.StartedAtMS = 0
	report, ok = carryOut(poll).(allocator.ReportReceived)
	must.True(t, ok, must.Sprint("a poll for any incarnation"))
	must.Eq(t, 2, report.Report.StartedAtMS)
	start.Worker.StartedAtMS = 2
	must.Eq(t, allocator.Accepted, carryOut(start).(allocator.StartResult).Outcome)
}
