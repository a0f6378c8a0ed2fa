package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// sharedWorker is a fixture with a worker that a serving and a filling task
// share.
type sharedWorker struct {
	*fixture
}

// newSharedWorker returns a worker that runs both tasks. If isAdopted is true,
// the filling task was started by an earlier holder.
func newSharedWorker(t *testing.T, isAdopted bool) *sharedWorker {
	sh := &sharedWorker{
		fixture: newFixture(t),
	}
	serving := oneTaskStep()
	serving.IsLongRunning = true
	serving.LatencyTarget = 100 * time.Millisecond
	filling := oneTaskStep()
	filling.IsFilling = true
	if isAdopted {
		sh.apply(ProgressLoaded{Progress: modeller.Progress{ID: "filling", Queue: "q"}})
	}
	sh.submitJob("filling", filling)
	sh.submitJob("serving", serving)
	sh.listWorker("a")
	sh.apply(RecordsLoaded{})
	sh.storeBatch()
	for range 2 {
		sh.advance(50 * time.Millisecond)
		if isAdopted {
			sh.report("a", []modeller.Run{{Task: taskName("filling", 0), Attempt: 1, Progress: 10}})
		} else {
			sh.report("a", nil)
		}
		sh.storeBatch()
	}
	if isAdopted {
		return sh
	}
	for _, so := range takeOrders[StartOrder](sh.fixture) {
		sh.acceptStart(so)
	}
	return sh
}

// reportTail reports a tail latency of the serving task for a duration, answers
// the pace orders with an outcome and returns the ordered paces of the filling
// task.
func (sh *sharedWorker) reportTail(duration, tail time.Duration, outcome Outcome) []int {
	var paces []int
	for end := sh.now.Add(duration); sh.now.Before(end); {
		sh.report("a", []modeller.Run{
			{Task: taskName("serving", 0), Attempt: 1, Progress: 100, Load: int(tail.Milliseconds())},
			{Task: taskName("filling", 0), Attempt: 1, Progress: 10},
		})
		sh.advance(100 * time.Millisecond)
		for _, po := range takeOrders[PaceOrder](sh.fixture) {
			must.Eq(sh.t, taskName("filling", 0), po.Task)
			paces = append(paces, po.Percent)
			sh.apply(PaceResult{Worker: "a", Task: po.Task, Attempt: po.Attempt, Percent: po.Percent, Outcome: outcome})
		}
	}
	return paces
}

func TestFillingTaskYieldsToServingTask(t *testing.T) {
	sh := newSharedWorker(t, false)
	must.Len(t, 0, sh.reportTail(time.Second, 50*time.Millisecond, Accepted), must.Sprint("the serving task is well below its target"))
	must.Eq(t, []int{0}, sh.reportTail(300*time.Millisecond, 150*time.Millisecond, Accepted), must.Sprint("above the target"))
	must.Len(t, 0, sh.reportTail(2*time.Second, 80*time.Millisecond, Accepted), must.Sprint("between the two thresholds"))
	must.Eq(t, []int{25, 50, 75, 100}, sh.reportTail(4*time.Second, 30*time.Millisecond, Accepted), must.Sprint("well below the target again"))
}

func TestFillingTaskIsSlowedBeforeLatencyTargetIsReached(t *testing.T) {
	sh := newSharedWorker(t, false)
	must.Eq(t, []int{50, 25}, sh.reportTail(time.Second, 95*time.Millisecond, Accepted)[:2])
}

func TestUnansweredPaceOrderIsRetried(t *testing.T) {
	sh := newSharedWorker(t, false)
	paces := sh.reportTail(300*time.Millisecond, 150*time.Millisecond, Unanswered)
	must.Greater(t, 1, len(paces))
	must.Eq(t, 0, paces[1])
}

func TestPaceOfAdoptedRunIsReset(t *testing.T) {
	sh := newSharedWorker(t, true)
	must.Eq(t, []int{100}, sh.reportTail(2*time.Second, 30*time.Millisecond, Accepted), must.Sprint("an earlier holder may have reduced the pace"))
}
