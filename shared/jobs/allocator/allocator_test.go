package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWorkersArePolledOnceTheRecordsAreLoaded(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	must.Len(t, 0, ordersOf[PollOrder](fx))
	fx.apply(RecordsLoaded{})
	must.Len(t, 1, ordersOf[PollOrder](fx))
}

func TestTaskStartsAgainOnceASilentWorkersLeaseHasPassed(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	start := fx.startOne("j")
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[start.Worker.ID]
	// The poll that was under way gets no answer, and none after it does.
	fx.apply(PollFailed{Worker: start.Worker.ID, Outcome: Unanswered})
	for range 70 {
		fx.failPolls(start.Worker.ID)
		fx.report(other, nil)
		fx.pass(100 * time.Millisecond)
	}
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, modeller.WorkerID(other), starts[0].Worker.ID)
	must.Eq(t, 2, starts[0].Attempt)
}

func TestNothingIsGivenUpWhileTheDutyIsNotConfirmed(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	start := fx.startOne("j")
	other := map[modeller.WorkerID]string{"a": "b", "b": "a"}[start.Worker.ID]
	fx.isConfirmed = false
	for range 70 {
		fx.apply(PollFailed{Worker: start.Worker.ID, Outcome: Unanswered})
		fx.report(other, nil)
		fx.pass(100 * time.Millisecond)
	}
	must.Len(t, 0, ordersOf[StartOrder](fx))
	fx.isConfirmed = true
	fx.report(other, nil)
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestUnconfirmedHolderStartsOldJobsOnly(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.isConfirmed = false
	fx.submit("late", oneTask())
	must.Len(t, 1, ordersOf[StartOrder](fx), must.Sprint("the lease still holds"))
	for range 20 {
		fx.pass(100 * time.Millisecond)
		fx.report("a", nil)
	}
	fx.submit("later", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx))
}

func TestRunOfAnUnknownJobHoldsItsWorker(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.report("a", []modeller.Run{{Task: name("gone", 0), Attempt: 1}})
	fx.submit("j", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx))
	fx.report("a", nil, modeller.End{Number: 1, Task: name("gone", 0), Attempt: 1, Kind: modeller.EndStopped})
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestStartInDoubtIsSettledByTheFirstAcknowledgedStop(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.submit("j", oneTask())
	start := ordersOf[StartOrder](fx)[0]
	fx.apply(StartResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
	fx.pass(100 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 1, ordersOf[StopOrder](fx))
	fx.apply(StopResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.pass(900 * time.Millisecond)
	// A poll that was sent between the first acknowledgement and the second.
	sentAt := fx.now.Add(-500 * time.Millisecond)
	fx.apply(StopResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.reportTo(sentAt, "a", nil)
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
}

func TestLeaseIsNotExtendedBeforeStartsInDoubtAreSettled(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.submit("j", oneTask())
	start := ordersOf[StartOrder](fx)[0]
	fx.apply(StartResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
	for range 70 {
		fx.apply(PollFailed{Worker: "a", Outcome: Unanswered})
		fx.pass(100 * time.Millisecond)
	}
	fx.orders = nil
	fx.report("a", nil)
	fx.pass(50 * time.Millisecond)
	fx.report("a", nil)
	fx.pass(50 * time.Millisecond)
	var polls []PollOrder
	var stops []StopOrder
	for _, od := range fx.orders {
		switch od := od.(type) {
		case PollOrder:
			polls = append(polls, od)
		case StopOrder:
			stops = append(stops, od)
		default:
		}
	}
	must.Len(t, 1, stops)
	must.Eq(t, 0, polls[len(polls)-1].LeaseEnd)
	fx.orders = nil
	fx.apply(StopResult{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.report("a", nil)
	fx.pass(50 * time.Millisecond)
	polls = ordersOf[PollOrder](fx)
	must.Greater(t, 0, polls[len(polls)-1].LeaseEnd)
}

func TestEndsAreAcknowledgedOnceTheyAreStored(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	start := fx.startOne("j")
	fx.report("a", nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndDone})
	fx.pass(50 * time.Millisecond)
	polls := ordersOf[PollOrder](fx)
	must.Eq(t, 0, polls[len(polls)-1].AcknowledgedEnds)
	state, _ := fx.al.State("j")
	must.Eq(t, modeller.JobRunning, state, must.Sprint("not shown before it is stored"))
	batch := fx.al.Batch(fx.now)
	must.Len(t, 1, batch.Ended)
	fx.apply(BatchStored{Batch: batch})
	state, _ = fx.al.State("j")
	must.Eq(t, modeller.JobCompleted, state)
	fx.report("a", nil, modeller.End{Number: 1, Task: start.Task, Attempt: 1, Kind: modeller.EndDone})
	fx.pass(50 * time.Millisecond)
	polls = ordersOf[PollOrder](fx)
	must.Eq(t, 1, polls[len(polls)-1].AcknowledgedEnds)
}

func TestFailedEndCountsOnceAcrossHolders(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1, FailedAttempts: []int{1}}}}})
	fx.submit("j", oneTask())
	fx.worker("a")
	fx.worker("b")
	fx.apply(RecordsLoaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: name("j", 0), Attempt: 1, Kind: modeller.EndFailed})
	fx.report("b", nil)
	fx.pass(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

// orderMaintenanceAhead has the maintenance ordered of a VM whose worker the
// directory doesn't list yet, and has that worker join meanwhile.
func TestWorkerThatHasNotReportedIsNotEmpty(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	fx.apply(RecordsLoaded{})
	fx.wave(1, vmOf("a", modeller.VMUp))
	must.Len(t, 0, ordersOf[VMOrder](fx))
	fx.report("a", nil)
	must.Len(t, 1, ordersOf[VMOrder](fx))
}

func TestJobStartsOnceItIsMarkedInTheStore(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: "j", Queue: "q", Steps: []modeller.Step{oneTask()}}}})
	must.Len(t, 0, ordersOf[StartOrder](fx))
	fx.store()
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestJobThatNoHolderHasMarkedStartsBesideSilentWorkers(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "begun", Queue: "q"}})
	fx.submit("begun", oneTask())
	fx.submit("waiting", oneTask())
	fx.worker("a")
	fx.worker("silent")
	fx.apply(RecordsLoaded{})
	fx.store()
	for range 2 {
		fx.pass(50 * time.Millisecond)
		fx.report("a", nil)
	}
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, modeller.JobID("waiting"), starts[0].Task.Job)
}

// lastingJob has a long-running job at work on workers a and b.
func lastingJob(fx *fixture) {
	fx.submit("l", lasting(2))
	fx.worker("a")
	fx.worker("b")
	fx.worker("c")
	fx.apply(RecordsLoaded{})
	fx.pass(50 * time.Millisecond)
	reportLasting(fx)
}

func reportLasting(fx *fixture) {
	fx.report("a", []modeller.Run{{Task: name("l", 0), Attempt: 1, Progress: 100}})
	fx.report("b", []modeller.Run{{Task: name("l", 1), Attempt: 1, Progress: 100}})
	fx.report("c", nil)
}

func TestEvictionsWaitForAnEarlierHoldersStops(t *testing.T) {
	fx := newFixture(t)
	lastingJob(fx)
	fx.wave(3, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 0, ordersOf[StopOrder](fx))
	for range 16 {
		fx.pass(100 * time.Millisecond)
		reportLasting(fx)
	}
	must.Len(t, 1, ordersOf[StopOrder](fx), must.Sprint("one of two may be away"))
}

func TestLongRunningTaskIsNotEvictedBesideOneThatIsAway(t *testing.T) {
	fx := newFixture(t)
	lastingJob(fx)
	fx.pass(2 * time.Second)
	fx.report("a", []modeller.Run{{Task: name("l", 0), Attempt: 1, Progress: 100}})
	fx.report("b", []modeller.Run{{Task: name("l", 1), Attempt: 1, Progress: 40}})
	fx.report("c", nil)
	fx.wave(3, vmOf("a", modeller.VMUp))
	must.Len(t, 0, ordersOf[StopOrder](fx))
}

func TestLongRunningTaskIsNotEvictedBesideASilentWorker(t *testing.T) {
	fx := newFixture(t)
	lastingJob(fx)
	fx.pass(2 * time.Second)
	reportLasting(fx)
	fx.apply(PollFailed{Worker: "b", Outcome: Unanswered})
	fx.wave(3, vmOf("a", modeller.VMUp))
	must.Len(t, 0, ordersOf[StopOrder](fx))
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	gang := oneTask()
	gang.Count = 5
	gang.IsGang = true
	fx.submit("g", gang)
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("a worker of 4 cores has no room for 5"))
	fx.worker("b")
	fx.store()
	for range 2 {
		fx.pass(50 * time.Millisecond)
		fx.report("a", nil)
		fx.report("b", nil)
	}
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 5, starts)
	for _, so := range starts {
		must.Eq(t, 1, so.Attempt)
	}
}

func TestGangMemberWhoseStartHadNoEffectRejoins(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	gang := oneTask()
	gang.Count = 5
	gang.IsGang = true
	fx.submit("g", gang)
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 5, starts)
	refused := starts[4]
	for _, so := range starts[:4] {
		fx.accept(so)
	}
	fx.apply(StartResult{Worker: refused.Worker.ID, Task: refused.Task, Attempt: 1, Outcome: Full})
	fx.pass(200 * time.Millisecond)
	again := ordersOf[StartOrder](fx)
	must.Len(t, 1, again)
	must.Eq(t, refused.Task, again[0].Task)
	must.Eq(t, 1, again[0].Attempt)
}

func TestDrainingWorkerGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.apply(WorkerListed{Worker: modeller.Worker{ID: "a", Pool: "p", Capacity: modeller.Resources{MilliCores: 4000, MemoryMB: 4000}, IsDraining: true, StartedAtMS: 1}})
	fx.submit("j", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx))
}

func TestWorkersThatFailOneJobAfterTheOtherGetNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	for number, id := range []string{"x", "y"} {
		start := fx.startOne(id)
		fx.report("a", nil, modeller.End{Number: int64(number + 1), Task: start.Task, Attempt: 1, Kind: modeller.EndFailed})
	}
	fx.submit("z", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx))
}

// failOn has the only run of a job fail on a worker, and time pass after that.
// takeOver returns a fixture in which an earlier holder has begun a job and given
// orders to a worker that is silent now, beside one that reports.
// timedJob is a job of two occurrences, the first of which is due after a time.
