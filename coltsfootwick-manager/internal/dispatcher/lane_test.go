package dispatcher

import (
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/timekeeper"
)

// newWorker returns a worker that accepts all orders and counts them.
func newWorker(t *testing.T) (worker modeller.Worker, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = rw.Write([]byte(`{"clock_ms":1}`))
	}))
	t.Cleanup(sr.Close)
	return modeller.Worker{ID: "w", Address: netip.MustParseAddrPort(sr.Listener.Addr().String())}, calls
}

func TestNothingIsSentOnceThePermissionHasRunOut(t *testing.T) {
	worker, calls := newWorker(t)
	task := modeller.TaskName{Job: "j"}
	events := make(chan allocator.Event, 4)
	di := New(adapter.NewWorkers(adapter.NewDialer()), 1, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	for _, od := range []allocator.Order{
		allocator.PollOrder{Worker: worker},
		allocator.StartOrder{Worker: worker, Task: task},
		allocator.StopOrder{Worker: worker, Task: task},
		allocator.PaceOrder{Worker: worker, Task: task},
	} {
		di.Dispatch(t.Context(), distributor.TimedOrder{Order: od, ValidUntil: timekeeper.Now().Add(-time.Millisecond)})
		switch ev := (<-events).(type) {
		case allocator.PollFailed:
			must.Eq(t, allocator.KeeperLost, ev.Outcome, must.Sprint("the worker is not to blame"))
		case allocator.StartResult:
			must.Eq(t, allocator.NotSent, ev.Outcome)
		case allocator.StopResult:
			must.Eq(t, allocator.NotSent, ev.Outcome)
		case allocator.PaceResult:
			must.Eq(t, allocator.NotSent, ev.Outcome)
		default:
			t.Errorf("unexpected event %T", ev)
		}
	}
	must.Eq(t, 0, calls.Load(), must.Sprint("calls to the worker"))
}

func TestOrderIsSentWhileThePermissionIsValid(t *testing.T) {
	worker, calls := newWorker(t)
	events := make(chan allocator.Event, 1)
	di := New(adapter.NewWorkers(adapter.NewDialer()), 1, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	di.Dispatch(t.Context(), distributor.TimedOrder{
		Order:      allocator.StartOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}, Attempt: 3},
		ValidUntil: timekeeper.Now().Add(time.Minute),
	})
	must.Eq(t, allocator.Event(allocator.StartResult{Worker: "w", Task: modeller.TaskName{Job: "j"}, Attempt: 3, Outcome: allocator.Accepted, Clock: time.Millisecond}), <-events)
	must.Eq(t, 1, calls.Load())
}

func TestPollBesideAnotherIsNotSent(t *testing.T) {
	events := make(chan allocator.Event, 4)
	di := New(adapter.NewWorkers(adapter.NewDialer()), 1, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	// No goroutine takes the polls of this queue.
	di.queues["w"] = &workerQueue{polls: make(chan distributor.TimedOrder, 1)}
	for range 2 {
		di.Dispatch(t.Context(), distributor.TimedOrder{Order: allocator.PollOrder{Worker: modeller.Worker{ID: "w"}}})
	}
	failed, ok := (<-events).(allocator.PollFailed)
	must.True(t, ok)
	must.Eq(t, allocator.KeeperLost, failed.Outcome)
}

// Workers come and go while a holder keeps its duty.
func TestForgottenWorkersLeaveNoGoroutines(t *testing.T) {
	worker, calls := newWorker(t)
	events := make(chan allocator.Event, 1)
	di := New(adapter.NewWorkers(adapter.NewDialer()), 1, func(ev allocator.Event) { events <- ev }, zap.NewNop())
	stop := func(id modeller.WorkerID) {
		order := allocator.StopOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}}
		order.Worker.ID = id
		di.Dispatch(t.Context(), distributor.TimedOrder{Order: order, ValidUntil: timekeeper.Now().Add(time.Minute)})
		<-events
	}
	const count = 100
	stop("w")
	before := runtime.NumGoroutine()
	for number := range count {
		id := modeller.WorkerID(fmt.Sprintf("w-%d", number))
		stop(id)
		di.Forget(id)
	}
	stop("w")
	must.MapLen(t, 1, di.queues)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return runtime.NumGoroutine() < before+count })))
	must.Eq(t, count+2, calls.Load())
}
