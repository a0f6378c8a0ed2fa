package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func doneEnd(number int64, so StartOrder) modeller.End {
	return modeller.End{
		Number:  number,
		Task:    so.Task,
		Attempt: so.Attempt,
		Kind:    modeller.EndDone,
	}
}

// changeJobs changes jobs that need no worker, more than one batch can hold.
func (fx *fixture) changeJobs(round int) {
	for number := range 2 * maxBatchEntries {
		fx.apply(JobRecorded{
			Record: modeller.JobRecord{
				Job: modeller.Job{
					ID:    modeller.JobID(fmt.Sprintf("busy-%02d-%03d", round, number)),
					Queue: "q",
					Steps: []modeller.Step{{Count: 1, Demand: modeller.Resources{MilliCores: 1_000_000}, Estimate: time.Second}},
				},
			},
		})
	}
}

func TestEndsAreAcknowledgedWhileMoreJobsChangeThanABatchHolds(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	so := fx.startOneTaskJob("zz")
	fx.report("w1", nil, doneEnd(1, so))
	const rounds = 10
	for round := range rounds {
		fx.changeJobs(round)
		fx.advance(50 * time.Millisecond)
		fx.storeBatch()
	}
	var acknowledged int64
	for range 2 {
		fx.advance(2 * time.Second)
		for _, po := range takeOrders[PollOrder](fx) {
			acknowledged = max(acknowledged, po.AcknowledgedEnds)
		}
		fx.report("w1", nil, doneEnd(1, so))
	}
	must.Eq(t, 1, acknowledged, must.Sprintf("last end that a poll acknowledges after %d stored batches", rounds))
}

func TestWorkerIsNotPolledInALoopWhileItsEndsAreNotStored(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	so := fx.startOneTaskJob("j")
	fx.report("w1", nil, doneEnd(1, so))
	polls := 0
	for end := fx.now.Add(3 * time.Second); fx.now.Before(end); {
		if len(takeOrders[PollOrder](fx)) == 0 {
			continue
		}
		polls++
		fx.report("w1", nil, doneEnd(1, so))
	}
	must.Between(t, 3, polls, 8, must.Sprint("polls in 3 s that can only repeat an end"))

	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	acknowledging := takeOrders[PollOrder](fx)
	must.Len(t, 1, acknowledging, must.Sprint("polls as soon as the end is stored"))
	must.Eq(t, 1, acknowledging[0].AcknowledgedEnds)
}

func TestFirstLeaseAfterATakeoverDoesNotWaitForStorage(t *testing.T) {
	fx := newFixture(t)
	fx.listWorker("w1")
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	must.Len(t, 1, takeOrders[PollOrder](fx))
	fx.report("w1", nil, modeller.End{Number: 7, Task: taskName("unknown", 0), Attempt: 1, Kind: modeller.EndDone})
	fx.submitJob("j", oneTaskStep())
	fx.al.workers.byID["w1"].unstoredEnds = []unstoredEnd{{number: 7, job: fx.al.jobs["j"], version: 100}}
	polls := takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Greater(t, 0, polls[0].LeaseEnd)
}

// newEndedFixture returns a fixture with a worker that has reported an end, which is
// stored.
func newEndedFixture(t *testing.T) *fixture {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	so := fx.startOneTaskJob("j")
	fx.report("w1", nil, doneEnd(1, so))
	fx.storeBatch()
	return fx
}

// Guards against tasks that run again after their end: a poll that waits goes on
// acknowledging the ends of the next incarnation, which no report has shown.
func TestPollThatAcknowledgesEndsDoesNotWait(t *testing.T) {
	fx := newEndedFixture(t)
	fx.advance(50 * time.Millisecond)
	polls := takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Eq(t, 1, polls[0].AcknowledgedEnds)
	must.Zero(t, polls[0].Wait)
	fx.report("w1", nil)
	fx.advance(50 * time.Millisecond)
	polls = takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Zero(t, polls[0].AcknowledgedEnds)
	must.Eq(t, testBounds.PollWait, polls[0].Wait)
}

// Guards against tasks that run again after their end: the next incarnation gets a start
// and an acknowledgement that were meant for the one before.
func TestNoEndIsAcknowledgedWhileAStartIsInDoubt(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	so := fx.startOneTaskJob("j")
	fx.submitJob("k", oneTaskStep())
	inDoubt := takeOrders[StartOrder](fx)[0]
	fx.report("w1", nil, doneEnd(1, so))
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.advance(unstoredPollInterval)
	unacknowledging := takeOrders[PollOrder](fx)
	must.Len(t, 1, unacknowledging)
	must.Zero(t, unacknowledging[0].AcknowledgedEnds)
	fx.acceptStart(inDoubt)
	fx.report("w1", []modeller.Run{{Task: inDoubt.Task, Attempt: 1}}, doneEnd(1, so))
	fx.advance(50 * time.Millisecond)
	polls := takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Eq(t, 1, polls[0].AcknowledgedEnds)
}

func TestNothingIsStartedWhileEndsAreAcknowledged(t *testing.T) {
	fx := newEndedFixture(t)
	fx.advance(50 * time.Millisecond)
	fx.submitJob("k", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.report("w1", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against an acknowledgement that takes effect late, at the next incarnation.
func TestAcknowledgementWithoutAnAnswerIsRefusedLater(t *testing.T) {
	fx := newEndedFixture(t)
	fx.advance(50 * time.Millisecond)
	acknowledging := takeOrders[PollOrder](fx)[0]
	fx.apply(PollFailed{Worker: "w1", SentAt: fx.now, Outcome: Unanswered})
	fx.advance(200 * time.Millisecond)
	next := takeOrders[PollOrder](fx)
	must.Len(t, 1, next)
	must.Zero(t, next[0].AcknowledgedEnds, must.Sprint("the next incarnation may answer"))
	must.Less(t, next[0].Worker.FencingToken(1), acknowledging.Worker.FencingToken(1))
}

func TestWorkerIsNotPolledInALoopWhileEndsCannotBeAcknowledged(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	so := fx.startOneTaskJob("j")
	fx.submitJob("k", oneTaskStep())
	must.Len(t, 1, takeOrders[StartOrder](fx))
	fx.report("w1", nil, doneEnd(1, so))
	fx.storeBatch()
	polls := 0
	for end := fx.now.Add(3 * time.Second); fx.now.Before(end); {
		if len(takeOrders[PollOrder](fx)) == 0 {
			continue
		}
		polls++
		fx.reportPollSentAt(fx.now.Add(-time.Hour), "w1", nil, doneEnd(1, so))
	}
	must.Between(t, 3, polls, 8, must.Sprint("polls in 3 s that can only repeat an end"))
}
