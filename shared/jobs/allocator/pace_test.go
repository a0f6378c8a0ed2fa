package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// shared is a worker that a serving and a filling task share.
type shared struct {
	*fixture
}

// share returns a worker on which both tasks run, the filling one adopted from
// an earlier holder if isAdopted is set.
func share(t *testing.T, isAdopted bool) *shared {
	sh := &shared{
		fixture: newFixture(t),
	}
	serving := oneTask()
	serving.IsLongRunning = true
	serving.LatencyTarget = 100 * time.Millisecond
	filling := oneTask()
	filling.IsFilling = true
	if isAdopted {
		sh.apply(ProgressLoaded{Progress: modeller.Progress{ID: "filling", Queue: "q"}})
	}
	sh.submit("filling", filling)
	sh.submit("serving", serving)
	sh.worker("a")
	sh.apply(RecordsLoaded{})
	sh.store()
	for range 2 {
		sh.pass(50 * time.Millisecond)
		if isAdopted {
			sh.report("a", []modeller.Run{{Task: name("filling", 0), Attempt: 1, Progress: 10}})
		} else {
			sh.report("a", nil)
		}
	}
	if isAdopted {
		return sh
	}
	for _, so := range ordersOf[StartOrder](sh.fixture) {
		sh.accept(so)
	}
	return sh
}

// serve has the worker report a tail of the serving task, with time passing
// between, and returns the paces that were ordered of the filling one.
func (sh *shared) serve(duration, tail time.Duration, outcome Outcome) []int {
	var paces []int
	for end := sh.now.Add(duration); sh.now.Before(end); {
		sh.report("a", []modeller.Run{
			{Task: name("serving", 0), Attempt: 1, Progress: 100, Load: int(tail.Milliseconds())},
			{Task: name("filling", 0), Attempt: 1, Progress: 10},
		})
		sh.pass(100 * time.Millisecond)
		for _, po := range ordersOf[PaceOrder](sh.fixture) {
			must.Eq(sh.t, name("filling", 0), po.Task)
			paces = append(paces, po.Percent)
			sh.apply(PaceResult{Worker: "a", Task: po.Task, Attempt: po.Attempt, Percent: po.Percent, Outcome: outcome})
		}
	}
	return paces
}

func TestFillingTaskGivesWayToAServingOne(t *testing.T) {
	sh := share(t, false)
	must.Len(t, 0, sh.serve(time.Second, 50*time.Millisecond, Accepted), must.Sprint("the serving task is far from its target"))
	must.Eq(t, []int{0}, sh.serve(300*time.Millisecond, 150*time.Millisecond, Accepted), must.Sprint("over its target"))
	must.Len(t, 0, sh.serve(2*time.Second, 80*time.Millisecond, Accepted), must.Sprint("neither near nor far"))
	must.Eq(t, []int{25, 50, 75, 100}, sh.serve(4*time.Second, 30*time.Millisecond, Accepted), must.Sprint("quiet again"))
}

func TestFillingTaskIsSlowedBeforeTheTargetIsReached(t *testing.T) {
	sh := share(t, false)
	must.Eq(t, []int{50, 25}, sh.serve(time.Second, 95*time.Millisecond, Accepted)[:2])
}

func TestPaceWithoutAnAnswerIsOrderedAgain(t *testing.T) {
	sh := share(t, false)
	paces := sh.serve(300*time.Millisecond, 150*time.Millisecond, Unanswered)
	must.Greater(t, 1, len(paces))
	must.Eq(t, 0, paces[1])
}

func TestPaceOfAnAdoptedRunIsOrderedAnew(t *testing.T) {
	sh := share(t, true)
	must.Eq(t, []int{100}, sh.serve(2*time.Second, 30*time.Millisecond, Accepted), must.Sprint("an earlier holder may have paced it down"))
}
