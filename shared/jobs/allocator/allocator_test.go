package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWorkersArePolledOnceRecordsAreLoaded(t *testing.T) {
	fx := newFixture(t)
	fx.listWorker("a")
	must.Len(t, 0, takeOrders[PollOrder](fx))
	fx.apply(RecordsLoaded{})
	must.Len(t, 1, takeOrders[PollOrder](fx))
}

func TestTaskRestartsAfterUnresponsiveWorkersLeaseExpires(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	start := fx.startOneTaskJob("j")
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[start.Worker.ID]
	// The poll in flight and all later polls get no answer.
	fx.apply(PollFailed{Worker: start.Worker.ID, Outcome: Unanswered})
	for range 70 {
		fx.failPendingPolls(start.Worker.ID)
		fx.report(other, nil)
		fx.advance(100 * time.Millisecond)
	}
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, modeller.WorkerID(other), starts[0].Worker.ID)
	must.Eq(t, 2, starts[0].Attempt)
}

func TestDoneTaskIsNotRestartedWhenLeaseExpiresBeforeReport(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	start := fx.startOneTaskJob("j")
	worker := start.Worker.ID
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[worker]
	fx.apply(PollFailed{Worker: worker, Outcome: Unanswered})
	lastFailureAt := fx.al.leaseExpiry(fx.al.workers.byID[worker]).Add(-200 * time.Millisecond)
	for range 60 {
		if fx.now.Before(lastFailureAt) {
			fx.failPendingPolls(worker)
		}
		fx.report(other, nil)
		fx.advance(100 * time.Millisecond)
	}
	// The poll that was in flight when the lease expired fails, the next doesn't.
	fx.apply(PollFailed{Worker: worker, Outcome: Unanswered})
	fx.report(other, nil)
	fx.advance(100 * time.Millisecond)
	fx.report(string(worker), nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndDone})
	fx.report(other, nil)
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.storeBatch()
	state := fx.state("j")
	must.Eq(t, modeller.JobCompleted, state)
}

func TestRunsAreKeptWhileDutyIsUnconfirmed(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	start := fx.startOneTaskJob("j")
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[start.Worker.ID]
	fx.confirmsDuty = false
	for range 70 {
		fx.apply(PollFailed{Worker: start.Worker.ID, Outcome: Unanswered})
		fx.report(other, nil)
		fx.advance(100 * time.Millisecond)
	}
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.confirmsDuty = true
	fx.report(other, nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestUnconfirmedHolderStartsOnlyJobsAcceptedBefore(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.confirmsDuty = false
	fx.submitJob("late", oneTaskStep())
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("the duty lease has not expired"))
	for range 20 {
		fx.advance(100 * time.Millisecond)
		fx.report("a", nil)
	}
	fx.submitJob("later", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

func TestRunOfUnknownJobReservesItsWorker(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.report("a", []modeller.Run{{Task: taskName("gone", 0), Attempt: 1}})
	fx.submitJob("j", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.report("a", nil, modeller.End{Number: 1, Task: taskName("gone", 0), Attempt: 1, Kind: modeller.EndStopped})
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestUnconfirmedStartIsResolvedByFirstAcknowledgedStop(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.submitJob("j", oneTaskStep())
	start := takeOrders[StartOrder](fx)[0]
	fx.apply(StartResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
	fx.advance(100 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 1, takeOrders[StopOrder](fx))
	fx.apply(StopResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.advance(900 * time.Millisecond)
	// This poll was sent between the first acknowledgement and the second.
	sentAt := fx.now.Add(-500 * time.Millisecond)
	fx.apply(StopResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.reportPollSentAt(sentAt, "a", nil)
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
}

// Guards against a start that is given up with the lease and carried out once the worker
// is back and its lease is extended.
func TestLeaseIsExtendedOnlyOnceStartsThatWereGivenUpAreRefused(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.submitJob("j", oneTaskStep())
	start := takeOrders[StartOrder](fx)[0]
	fx.apply(StartResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
	for range 140 {
		fx.apply(PollFailed{Worker: "a", Outcome: Unanswered})
		fx.advance(100 * time.Millisecond)
	}
	token := func(wk modeller.Worker) uint64 { return wk.FencingToken(1) }
	for range 3 {
		polls := takeOrders[PollOrder](fx)
		must.Positive(t, len(polls))
		last := polls[len(polls)-1]
		must.Less(t, token(last.Worker), token(start.Worker), must.Sprint("the worker refuses the start after this poll"))
		if last.LeaseEnd > 0 {
			return
		}
		fx.report("a", nil)
		fx.advance(50 * time.Millisecond)
	}
	t.Fatal("the lease isn't extended")
}

func TestRunEndsAreAcknowledgedOnceStored(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	start := fx.startOneTaskJob("j")
	fx.report("a", nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndDone})
	fx.advance(unstoredPollInterval)
	polls := takeOrders[PollOrder](fx)
	must.Eq(t, 0, polls[len(polls)-1].AcknowledgedEnds)
	state := fx.state("j")
	must.Eq(t, modeller.JobRunning, state, must.Sprint("the final state is not visible before it is stored"))
	batch := fx.al.Batch(fx.now)
	must.Len(t, 1, batch.Ended)
	fx.apply(BatchStored{Batch: batch})
	state = fx.state("j")
	must.Eq(t, modeller.JobCompleted, state)
	fx.report("a", nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndDone})
	fx.advance(50 * time.Millisecond)
	polls = takeOrders[PollOrder](fx)
	must.Eq(t, 1, polls[len(polls)-1].AcknowledgedEnds)
}

func TestFailedAttemptCountsOnceAcrossHolders(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1, FailedAttempts: []int{1}}}}})
	fx.submitJob("j", oneTaskStep())
	fx.listWorker("a")
	fx.listWorker("b")
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: taskName("j", 0), Attempt: 1, Kind: modeller.EndFailed})
	fx.report("b", nil)
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestWorkerWithoutReportIsNotTreatedAsIdle(t *testing.T) {
	fx := newFixture(t)
	fx.listWorker("a")
	fx.apply(RecordsLoaded{})
	fx.addWave(1, vmOf("a", modeller.VMUp))
	must.Len(t, 0, fx.takeMaintenance())
	fx.report("a", nil)
	must.Len(t, 1, fx.takeMaintenance())
}

func TestJobStartsOnceItsProgressRecordIsStored(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: "j", Queue: "q", Steps: []modeller.Step{oneTaskStep()}}}})
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.storeBatch()
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestNewJobStartsDespiteUnresponsiveWorker(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "begun", Queue: "q"}})
	fx.submitJob("begun", oneTaskStep())
	fx.submitJob("waiting", oneTaskStep())
	fx.apply(RosterLoaded{Workers: rosterOf(modeller.Worker{ID: "a", Pool: "p"}, modeller.Worker{ID: "silent", Pool: "p"})})
	fx.listWorker("a")
	fx.listWorker("silent")
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	for range 2 {
		fx.advance(50 * time.Millisecond)
		fx.report("a", nil)
		fx.storeBatch()
	}
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, modeller.JobID("waiting"), starts[0].Task.Job)
}

// startLongRunningJob runs a long-running job of two tasks on workers a and b.
func startLongRunningJob(fx *fixture) {
	fx.submitJob("l", longRunningStep(2))
	fx.listWorker("a")
	fx.listWorker("b")
	fx.listWorker("c")
	fx.apply(RecordsLoaded{})
	fx.advance(50 * time.Millisecond)
	reportLongRunning(fx)
}

func reportLongRunning(fx *fixture) {
	fx.report("a", []modeller.Run{{Task: taskName("l", 0), Attempt: 1, Progress: 100}})
	fx.report("b", []modeller.Run{{Task: taskName("l", 1), Attempt: 1, Progress: 100}})
	fx.report("c", nil)
}

func TestEvictionsWaitForEarlierHoldersStops(t *testing.T) {
	fx := newFixture(t)
	startLongRunningJob(fx)
	fx.addWave(3, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 0, takeOrders[StopOrder](fx))
	for range 16 {
		fx.advance(100 * time.Millisecond)
		reportLongRunning(fx)
	}
	must.Len(t, 1, takeOrders[StopOrder](fx), must.Sprint("one of two tasks may be unavailable"))
}

func TestLongRunningTaskIsNotEvictedWhileAnotherIsUnavailable(t *testing.T) {
	fx := newFixture(t)
	startLongRunningJob(fx)
	fx.advance(2 * time.Second)
	fx.report("a", []modeller.Run{{Task: taskName("l", 0), Attempt: 1, Progress: 100}})
	fx.report("b", []modeller.Run{{Task: taskName("l", 1), Attempt: 1, Progress: 40}})
	fx.report("c", nil)
	fx.addWave(3, vmOf("a", modeller.VMUp))
	must.Len(t, 0, takeOrders[StopOrder](fx))
}

func TestLongRunningTaskIsNotEvictedWhileAnotherWorkerIsUnresponsive(t *testing.T) {
	fx := newFixture(t)
	startLongRunningJob(fx)
	fx.advance(2 * time.Second)
	reportLongRunning(fx)
	fx.apply(PollFailed{Worker: "b", Outcome: Unanswered})
	fx.addWave(3, vmOf("a", modeller.VMUp))
	must.Len(t, 0, takeOrders[StopOrder](fx))
}

// Guards against a repeated stop that ends the last available task of a step.
func TestEvictionIsNotRepeatedWhileAnotherTaskIsUnavailable(t *testing.T) {
	fx := newFixture(t)
	startLongRunningJob(fx)
	fx.advance(2 * time.Second)
	reportLongRunning(fx)
	fx.addWave(3, vmOf("a", modeller.VMUp))
	must.Len(t, 1, takeOrders[StopOrder](fx))
	fx.report("b", []modeller.Run{{Task: taskName("l", 1), Attempt: 1, Progress: 40}})
	fx.advance(2 * orderRetryInterval)
	must.Len(t, 0, takeOrders[StopOrder](fx))
	reportLongRunning(fx)
	must.Len(t, 1, takeOrders[StopOrder](fx))
}

func TestGangStartsAllOrNothing(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	gang := oneTaskStep()
	gang.Count = 5
	gang.IsGang = true
	fx.submitJob("g", gang)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("a worker of 4 cores has no capacity for 5 tasks"))
	fx.listWorker("b")
	fx.storeBatch()
	for range 2 {
		fx.advance(50 * time.Millisecond)
		fx.report("a", nil)
		fx.report("b", nil)
		fx.storeBatch()
	}
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 5, starts)
	for _, so := range starts {
		must.Eq(t, 1, so.Attempt)
	}
}

func TestGangMemberWithRefusedStartRejoins(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	gang := oneTaskStep()
	gang.Count = 5
	gang.IsGang = true
	fx.submitJob("g", gang)
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 5, starts)
	refused := starts[4]
	for _, so := range starts[:4] {
		fx.acceptStart(so)
	}
	fx.apply(StartResult{Worker: refused.Worker.ID, Task: refused.Task, Attempt: 1, Outcome: Full})
	fx.advance(200 * time.Millisecond)
	again := takeOrders[StartOrder](fx)
	must.Len(t, 1, again)
	must.Eq(t, refused.Task, again[0].Task)
	must.Eq(t, 1, again[0].Attempt)
}

// Guards against gangs whose members carry different checkpoints.
func TestGangMemberLostWithItsWorkerDoesNotRejoin(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	gang := oneTaskStep()
	gang.Count = 5
	gang.IsGang = true
	gang.IsCheckpointing = true
	fx.submitJob("g", gang)
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 5, starts)
	running := map[string][]modeller.Run{}
	for _, so := range starts {
		fx.acceptStart(so)
		id := string(so.Worker.ID)
		running[id] = append(running[id], modeller.Run{Task: so.Task, Attempt: 1, Checkpoint: "2"})
	}
	fx.advance(50 * time.Millisecond)
	fx.report("a", running["a"])
	fx.report("b", running["b"])
	fx.advance(50 * time.Millisecond)
	lost, kept := "a", "b"
	if len(running["b"]) < len(running["a"]) {
		lost, kept = kept, lost
	}
	fx.reportOfNext(lost, 2, time.Second, nil)
	fx.listNextIncarnation(lost, 2)
	fx.report(kept, running[kept])
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the gang is broken"))
	var ends []modeller.End
	for number, rn := range running[kept] {
		ends = append(ends, modeller.End{Number: int64(number + 1), Task: rn.Task, Attempt: 1, Kind: modeller.EndGangBroken, Checkpoint: "3"})
	}
	for range 4 {
		fx.advance(50 * time.Millisecond)
		fx.reportOf(lost, 2, time.Second+fx.now.Sub(time.Unix(1_700_000_000, 0)), nil)
		fx.report(kept, nil, ends...)
		fx.storeBatch()
	}
	again := takeOrders[StartOrder](fx)
	must.Len(t, 5, again)
	for _, so := range again {
		must.Eq(t, 2, so.Attempt)
		must.Eq(t, "3", so.Checkpoint)
	}
}

func TestDrainingWorkerGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.apply(WorkerListed{Worker: modeller.Worker{ID: "a", Pool: "p", Capacity: modeller.Resources{MilliCores: 4000, MemoryMB: 4000}, IsDraining: true, StartedAtMS: 1}})
	fx.submitJob("j", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

func TestWorkerIsQuarantinedAfterConsecutiveFailures(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	for number, id := range []string{"x", "y"} {
		start := fx.startOneTaskJob(id)
		fx.report("a", nil, modeller.End{Number: int64(number + 1), Task: start.Task, Attempt: 1, Kind: modeller.EndFailed})
	}
	fx.submitJob("z", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

// A later holder may have seen the end of a task before the VM was maintained,
// and a new incarnation knows no fencing token.
func TestUnconfirmedHolderDoesNotRestartTasksOfAnEndedIncarnation(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	so := fx.startOneTaskJob("j")
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[so.Worker.ID]
	fx.confirmsDuty = false
	fx.advance(2 * time.Second)
	fx.report(other, nil)
	fx.reportOfNext(string(so.Worker.ID), 2, time.Second, nil)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("starts while a later holder may exist"))
	fx.confirmsDuty = true
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("starts once the duty is confirmed"))
}

// The same for a new incarnation on which the holder might start the task.
func TestUnconfirmedHolderStartsNothingOnANewIncarnation(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.startOneTaskJob("j")
	fx.confirmsDuty = false
	fx.advance(2 * time.Second)
	fx.listNextIncarnation("a", 2)
	for number := range 3 {
		fx.apply(ReportReceived{
			Worker:     "a",
			SentAt:     fx.now.Add(-time.Millisecond),
			ReceivedAt: fx.now,
			Report: modeller.Report{
				StartedAtMS: 2,
				Clock:       time.Second + time.Duration(number)*100*time.Millisecond,
			},
		})
		fx.advance(100 * time.Millisecond)
	}
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("starts while a later holder may exist"))
	fx.confirmsDuty = true
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("starts once the duty is confirmed"))
}
