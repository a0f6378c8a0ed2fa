package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestLongRunningTasksAreSpreadAcrossWorkers(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	st := longRunningStep(4)
	st.MaxPerWorker = 0
	st.Demand.MilliCores = 100
	fx.submitJob("l", st)
	perWorker := map[modeller.WorkerID]int{}
	for _, so := range takeOrders[StartOrder](fx) {
		perWorker[so.Worker.ID]++
	}
	must.Eq(t, map[modeller.WorkerID]int{"a": 2, "b": 2}, perWorker)
}

// failRun reports the failure of a worker's run, and empty reports until a
// duration has passed.
func failRun(fx *fixture, worker string, start StartOrder, after time.Duration) {
	fx.report(worker, nil, modeller.End{Number: 1, Task: start.Task, Attempt: start.Attempt, Kind: modeller.EndFailed})
	for end := fx.now.Add(after); fx.now.Before(end); {
		fx.advance(500 * time.Millisecond)
		fx.report(worker, nil)
	}
}

func TestLongRunningTaskReturnsToOnlyWorkerWithCapacity(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	lasting := oneTaskStep()
	lasting.IsLongRunning = true
	fx.submitJob("l", lasting)
	start := takeOrders[StartOrder](fx)[0]
	fx.acceptStart(start)
	failRun(fx, "a", start, time.Second)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("another worker may free capacity"))
	fx.advance(time.Second)
	fx.report("a", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("the task must be available again within 6 s"))
}

func TestTaskOnLastAttemptAvoidsWorkerThatFailedIt(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	start := fx.startOneTaskJob("j")
	failed := string(start.Worker.ID)
	other := map[string]string{"a": "b", "b": "a"}[failed]
	large := oneTaskStep()
	large.Demand.MilliCores = 4000
	fx.submitJob("large", large)
	fx.acceptStart(takeOrders[StartOrder](fx)[0])
	fx.report(failed, nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndFailed})
	for range 16 {
		fx.advance(500 * time.Millisecond)
		fx.report(failed, nil)
		fx.report(other, []modeller.Run{{Task: taskName("large", 0), Attempt: 1}})
	}
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("a second failure would exhaust its attempts"))
	fx.report(other, nil, modeller.End{Number: 1, Task: taskName("large", 0), Attempt: 1, Kind: modeller.EndDone})
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, other, string(starts[0].Worker.ID))
}

func TestTaskReturnsToOnlyWorkerOfItsPool(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	start := fx.startOneTaskJob("j")
	failRun(fx, "a", start, 1500*time.Millisecond)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("a second failure would exhaust its attempts"))
	fx.advance(500 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("the task must not wait for 3 s beside an idle worker"))
}
