package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// newRestartFixture returns a fixture with two workers and the start of a task on one of
// them, which is named first.
func newRestartFixture(t *testing.T) (fx *fixture, id, other string, start StartOrder) {
	fx = newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.outlastOldRuns("a", "b")
	fx.orders = nil
	fx.submitJob("j", oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	start = starts[0]
	other = map[modeller.WorkerID]string{"a": "b", "b": "a"}[start.Worker.ID]
	return fx, string(start.Worker.ID), other, start
}

// listNextIncarnation lists a worker with another start time.
func (fx *fixture) listNextIncarnation(id string, startedAtMS int64) {
	info := fx.al.workers.byID[modeller.WorkerID(id)].info
	info.StartedAtMS = startedAtMS
	fx.apply(WorkerListed{Worker: info})
}

// silenceUntilStart lets a worker be silent until a task is started, and returns how
// long that takes.
func (fx *fixture) silenceUntilStart(id, other string) time.Duration {
	fx.t.Helper()
	began := fx.now
	fx.apply(PollFailed{Worker: modeller.WorkerID(id), SentAt: fx.now, Outcome: Unanswered})
	for fx.now.Sub(began) < 30*time.Second {
		fx.advance(100 * time.Millisecond)
		fx.report(other, nil)
		starts := 0
		for _, od := range fx.orders {
			switch od := od.(type) {
			case StartOrder:
				starts++
			case PollOrder:
				if string(od.Worker.ID) == id {
					fx.apply(PollFailed{Worker: od.Worker.ID, SentAt: fx.now, Outcome: Unanswered})
				}
			}
		}
		fx.orders = nil
		if starts > 0 {
			return fx.now.Sub(began)
		}
	}
	fx.t.Fatal("the task isn't started again")
	return 0
}

// Guards against tasks that run twice, since a worker that is back under its ID has a
// longer lease than it was granted.
func TestTaskWaitsForTheLongestLeaseAfterARestart(t *testing.T) {
	fx, id, other, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.listNextIncarnation(id, 2)
	fx.apply(PollFailed{Worker: start.Worker.ID, SentAt: fx.now, Outcome: Unanswered})
	fx.advance(time.Second)
	fx.reportOf(id, 2, time.Second, []modeller.Run{{Task: start.Task, Attempt: 1}})
	fx.orders = nil
	must.GreaterEq(t, maxElapsed(testBounds.MaxRunLease), fx.silenceUntilStart(id, other))
}

// Guards against tasks that run twice, since the start was accepted by the next
// incarnation, whose directory entry came first and which was cut off before it reported.
func TestTaskWaitsForTheLongestLeaseBesideAnEntryOfTheNextIncarnation(t *testing.T) {
	for _, isListedFirst := range []bool{true, false} {
		fx, id, other, start := newRestartFixture(t)
		if isListedFirst {
			fx.listNextIncarnation(id, 2)
		}
		fx.acceptStart(start)
		fx.listNextIncarnation(id, 2)
		fx.orders = nil
		must.GreaterEq(t, maxElapsed(testBounds.MaxRunLease), fx.silenceUntilStart(id, other))
	}
}

// Guards against tasks that run twice, since the next incarnation has carried out a
// start without an answer.
func TestTaskWaitsForTheLongestLeaseAfterAStartWithoutAnAnswer(t *testing.T) {
	fx, id, other, start := newRestartFixture(t)
	fx.apply(StartResult{Worker: start.Worker.ID, Task: start.Task, Attempt: 1, Outcome: Unanswered})
	must.GreaterEq(t, maxElapsed(testBounds.MaxRunLease), fx.silenceUntilStart(id, other))
}

// Guards against tasks that run twice, since the start was accepted by the next
// incarnation, whose directory entry came first.
func TestRunThatNoReportHasShownIsLeftToTheNextIncarnation(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.listNextIncarnation(id, 2)
	must.Len(t, 0, takeOrders[StartOrder](fx))
	running := []modeller.Run{{Task: start.Task, Attempt: 1}}
	fx.reportOfNext(id, 2, time.Second, running)
	must.Len(t, 0, takeOrders[StartOrder](fx))
	must.Eq(t, runRunning, fx.al.workers.byID[start.Worker.ID].runs[start.Task].state)
}

func TestRunThatTheNextIncarnationDoesNotReportIsStartedAgain(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.reportOfNext(id, 2, time.Second, nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against runs of the next incarnation that count as those of the one before,
// since its clock is the later one.
func TestStartAcceptedAtAnImpossibleClockIsOneOfAnotherIncarnation(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		fx, _, _, start := newRestartFixture(t)
		clock := time.Hour + fx.now.Sub(time.Unix(1_700_000_000, 0)) + ahead
		fx.apply(StartResult{Worker: start.Worker.ID, Task: start.Task, Attempt: 1, Outcome: Accepted, Clock: clock})
		must.False(t, fx.al.workers.byID[start.Worker.ID].isSynced, must.Sprint(ahead))
		must.Len(t, 0, takeOrders[StartOrder](fx))
	}
}

// Guards against incarnations that can't be told apart, since the time of day was set
// back between their starts.
func TestReportAtAnImpossibleClockIsOneOfAnotherIncarnation(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.report(id, []modeller.Run{{Task: start.Task, Attempt: 1}})
	fx.advance(50 * time.Millisecond)
	fx.reportOfNext(id, 1, time.Second, nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against orders for an incarnation that the next one carries out after it has
// reported.
func TestNextIncarnationIsPolledUnderAHigherFencingToken(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.reportOf(id, 2, time.Second, nil)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("orders from before may take effect after this report"))
	fx.advance(50 * time.Millisecond)
	wk := fx.al.workers.byID[start.Worker.ID]
	must.Less(t, wk.addressee().FencingToken(9), start.Worker.FencingToken(9))
	must.Zero(t, wk.addressee().StartedAtMS)
}

// Guards against a worker that refuses all orders, since it has seen later ones.
func TestWorkerThatWasForgottenKeepsItsGeneration(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.acceptStart(start)
	fx.reportOf(id, 2, time.Second, nil)
	generation := fx.al.workers.byID[start.Worker.ID].generation
	must.Positive(t, generation)
	fx.apply(WorkerUnlisted{Worker: start.Worker.ID})
	fx.apply(PollFailed{Worker: start.Worker.ID, SentAt: fx.now, Outcome: Unanswered})
	for range 300 {
		fx.advance(100 * time.Millisecond)
		fx.failPendingPolls(start.Worker.ID)
	}
	must.MapNotContainsKey(t, fx.al.workers.byID, start.Worker.ID)
	fx.listWorker(id)
	must.GreaterEq(t, generation, fx.al.workers.byID[start.Worker.ID].generation)
}

// Guards against runs that count as running, since the start was answered by another
// incarnation than the one that it was meant for.
func TestStartAnsweredAfterTheIncarnationHasEndedIsInDoubt(t *testing.T) {
	fx, id, _, start := newRestartFixture(t)
	fx.listNextIncarnation(id, 2)
	fx.acceptStart(start)
	rn := fx.al.workers.byID[start.Worker.ID].runs[start.Task]
	must.Eq(t, runUnconfirmed, rn.state)
	fx.reportOfNext(id, 2, time.Second, nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against leases that a new holder doesn't await: the last orders of a holder that
// was killed have reached another incarnation.
func TestNewHolderAwaitsTheLongestLease(t *testing.T) {
	fx := newFixture(t)
	must.GreaterEq(t, maxCallDelay+maxElapsed(testBounds.MaxRunLease), fx.al.oldRunsExpiry().Sub(fx.al.startedAt))
}

// Guards against a later holder that waits for a worker whose VM was taken down.
func TestWorkerThatWasTakenDownLeavesTheRoster(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.outlastOldRuns("a")
	wk := fx.al.workers.byID["a"]
	fx.al.handleTakedown(fx.now, wk, "VM moves to another pool")
	wk.takenDownAt = time.Time{}
	wk.isPollInFlight = false
	fx.advance(2 * time.Second)
	must.SliceEmpty(t, fx.al.Roster(fx.now))
}
