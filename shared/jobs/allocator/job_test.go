package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// scheduledJob returns the record of a job of two occurrences, the first of
// which is due after a duration.
func (fx *fixture) scheduledJob(after time.Duration) JobRecorded {
	return JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTaskStep()}, Occurrences: 2, FirstAt: fx.now.Add(after), Interval: time.Second,
	}}}
}

func TestRunEndCountsWhenEarlierHoldersClockWasAhead(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.scheduledJob(500 * time.Millisecond))
	fx.listWorker("a")
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: taskName("t", 0), Attempt: 1, Kind: modeller.EndDone})
	for range 2 {
		fx.advance(500 * time.Millisecond)
		fx.report("a", nil)
	}
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the first occurrence is already done"))
}

func TestRunIsAdoptedWhenEarlierHoldersClockWasAhead(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.scheduledJob(500 * time.Millisecond))
	fx.listWorker("a")
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("a", []modeller.Run{{Task: taskName("t", 0), Attempt: 1}})
	must.Len(t, 0, takeOrders[StopOrder](fx))
}

func TestStoredProgressIsKeptWhenEarlierHoldersClockWasAhead(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q", Tasks: []modeller.TaskProgress{{IsDone: true, Attempt: 1}}}})
	fx.apply(fx.scheduledJob(500 * time.Millisecond))
	fx.apply(RecordsLoaded{})
	fx.al.markDirty(fx.al.jobs["t"])
	must.Eq(t, []modeller.TaskProgress{{IsDone: true, Attempt: 1}}, fx.al.Batch(fx.now).Progress[0].Tasks)
}

func TestScheduledJobStartsWhenDue(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTaskStep()}, Occurrences: 2, FirstAt: fx.now.Add(time.Second), Interval: 500 * time.Millisecond,
	}}})
	fx.storeBatch()
	fx.advance(800 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.advance(250 * time.Millisecond)
	must.Len(t, 1, takeOrders[StartOrder](fx))
	fx.advance(500 * time.Millisecond)
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Occurrence)
}

// TestPendingJobsOfARenamedQueueAreCounted guards against a count that lacks the
// jobs which were submitted under the queue's earlier name.
func TestPendingJobsOfARenamedQueueAreCounted(t *testing.T) {
	fx := newFixture(t)
	before := modeller.Queue{Name: "q", Host: "h", Prefix: "/q/"}
	record := oneTaskJobRecorded("j")
	record.Record.Job.Origin = before
	fx.apply(record)
	renamed := before
	renamed.Name = "renamed"
	must.Eq(t, 1, fx.al.Pending(before))
	must.Eq(t, 1, fx.al.Pending(renamed))
	must.Eq(t, 0, fx.al.Pending(modeller.Queue{Name: "other", Host: "h", Prefix: "/other/"}))
}

// TestJobWhoseStartsAreRefusedStaysPending guards against jobs that are shown as
// running, and not counted as pending, although no worker has begun a task of them.
func TestJobWhoseStartsAreRefusedStaysPending(t *testing.T) {
	queue := modeller.Queue{Name: "q"}
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.submitJob("j", oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	for _, outcome := range []Outcome{Unhealthy, Unanswered} {
		must.Eq(t, 1, fx.al.Pending(queue), must.Sprint("the order is in flight"))
		fx.apply(StartResult{Worker: "a", Task: starts[0].Task, Attempt: starts[0].Attempt, Outcome: outcome})
		state := fx.state("j")
		must.Eq(t, modeller.JobQueued, state)
		must.Eq(t, 1, fx.al.Pending(queue), must.Sprint(outcome))
		fx.storeBatch()
		later := fx.takeOver(configurationWith(1, "p"), oneTaskJobRecorded("j"))
		must.Eq(t, 1, later.al.Pending(queue), must.Sprint("the next holder counts it too"))
		fx.advance(time.Second)
		fx.report("a", nil)
		if again := takeOrders[StartOrder](fx); len(again) > 0 {
			starts = again
		}
	}
	fx.report("a", []modeller.Run{{Task: starts[0].Task, Attempt: starts[0].Attempt}})
	must.Eq(t, 0, fx.al.Pending(queue), must.Sprint("a report shows the run"))
	state := fx.state("j")
	must.Eq(t, modeller.JobRunning, state)
}

// TestStartedJobIsNotPending covers the other signs of a start: an accepted order and
// the end of a run.
func TestStartedJobIsNotPending(t *testing.T) {
	queue := modeller.Queue{Name: "q"}
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	accepted := fx.startOneTaskJob("accepted")
	must.Eq(t, 0, fx.al.Pending(queue))
	fx.submitJob("ended", oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	fx.apply(StartResult{Worker: starts[0].Worker.ID, Task: starts[0].Task, Attempt: 1, Outcome: Unanswered})
	must.Eq(t, 1, fx.al.Pending(queue))
	fx.report(string(starts[0].Worker.ID), nil, modeller.End{Number: 1, Task: starts[0].Task, Attempt: 1, Kind: modeller.EndFailed})
	must.Eq(t, 0, fx.al.Pending(queue))
	fx.storeBatch()
	later := fx.takeOver(configurationWith(1, "p"), oneTaskJobRecorded("ended"), oneTaskJobRecorded(string(accepted.Task.Job)))
	must.Eq(t, 0, later.al.Pending(queue), must.Sprint("the record says that tasks have started"))
}
