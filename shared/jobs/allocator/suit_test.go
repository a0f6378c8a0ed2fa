package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestLongRunningTasksOfAStepDoNotCrowdOneWorker(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	st := lasting(4)
	st.MaxPerWorker = 0
	st.Demand.MilliCores = 100
	fx.submit("l", st)
	perWorker := map[modeller.WorkerID]int{}
	for _, so := range ordersOf[StartOrder](fx) {
		perWorker[so.Worker.ID]++
	}
	must.Eq(t, map[modeller.WorkerID]int{"a": 2, "b": 2}, perWorker)
}

func failOn(fx *fixture, worker string, start StartOrder, after time.Duration) {
	fx.report(worker, nil, modeller.End{Number: 1, Task: start.Task, Attempt: start.Attempt, Kind: modeller.EndFailed})
	for end := fx.now.Add(after); fx.now.Before(end); {
		fx.pass(500 * time.Millisecond)
		fx.report(worker, nil)
	}
}

func TestLongRunningTaskGoesBackToTheOnlyWorkerWithRoom(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	lasting := oneTask()
	lasting.IsLongRunning = true
	fx.submit("l", lasting)
	start := ordersOf[StartOrder](fx)[0]
	fx.accept(start)
	failOn(fx, "a", start, time.Second)
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("another worker may get room"))
	fx.pass(time.Second)
	fx.report("a", nil)
	must.Len(t, 1, ordersOf[StartOrder](fx), must.Sprint("it has to be back within 6 s"))
}

func TestTaskThatMayFailNoMoreKeepsAwayFromItsWorker(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	start := fx.startOne("j")
	failOn(fx, "a", start, 8*time.Second)
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("a second failure would be its last"))
}
