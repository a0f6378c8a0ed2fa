package allocator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWorkersArePolledOnceTheRecordsAreLoaded(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	must.Len(t, 0, ordersOf[PollOrder](fx))
	fx.apply(Loaded{})
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
	fx.apply(StartEnded{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
	fx.pass(100 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 1, ordersOf[StopOrder](fx))
	fx.apply(StopEnded{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
	fx.pass(900 * time.Millisecond)
	// A poll that was sent between the first acknowledgement and the second.
	sentAt := fx.now.Add(-500 * time.Millisecond)
	fx.apply(StopEnded{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
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
	fx.apply(StartEnded{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Unanswered})
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
	fx.apply(StopEnded{Worker: "a", Task: start.Task, Attempt: 1, Outcome: Accepted})
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
	fx.apply(Loaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: name("j", 0), Attempt: 1, Kind: modeller.EndFailed})
	fx.report("b", nil)
	fx.pass(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestWaveVMIsBackUnderItsOldID(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	fx.wave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	first := ordersOf[VMOrder](fx)
	must.Len(t, 1, first)
	fx.apply(VMOrderEnded{Order: first[0], Outcome: Accepted})
	fx.pass(2 * time.Second)
	fx.worker("a")
	fx.report("b", nil)
	fx.list(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	fx.pass(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 1, ordersOf[VMOrder](fx))
}

func TestWaveWaitsForAVMThatTheListLacksAtFirst(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.list(vmOf("a", modeller.VMUp))
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-late"}, Duration: 20 * time.Second, MaxDown: 1}})
	fx.pass(time.Second)
	must.False(t, fx.al.fleet.waves[1].isAllDone, must.Sprint("the list is older than the VM"))
	fx.list(vmOf("a", modeller.VMUp), vmOf("late", modeller.VMDown))
	fx.pass(absenceTime)
	fx.list(vmOf("a", modeller.VMUp), vmOf("late", modeller.VMDown))
	fx.pass(time.Second)
	must.False(t, fx.al.fleet.waves[1].isAllDone, must.Sprint("the VM stays"))
}

func TestWaveIsCompletedWithoutAVMThatHasLeft(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.wave(1)
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 2, VMs: []string{"vm-gone"}, Duration: 20 * time.Second, MaxDown: 1}})
	for range 4 {
		must.False(t, fx.al.fleet.waves[2].isAllDone)
		fx.list(vmOf("a", modeller.VMUp))
		fx.pass(time.Second)
	}
	must.True(t, fx.al.fleet.waves[2].isAllDone)
}

func TestWaveTakesSpareVMsUntilItMustHurry(t *testing.T) {
	fx := newFixture(t)
	fx.apply(WaveProgressLoaded{Number: 1, Elapsed: 2 * time.Second})
	fx.ready("a")
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-a"}, Duration: 20 * time.Second, MaxDown: 1}})
	// One round of maintenance takes 5 s, half as much again is kept in hand, and 6 s.
	for elapsed := 2 * time.Second; elapsed < 6*time.Second; elapsed += 100 * time.Millisecond {
		fx.list(vmOf("a", modeller.VMUp))
		fx.report("a", nil)
		fx.pass(100 * time.Millisecond)
	}
	must.Len(t, 0, ordersOf[VMOrder](fx), must.Sprint("the pool has none to spare"))
	fx.list(vmOf("a", modeller.VMUp))
	fx.report("a", nil)
	fx.pass(time.Second)
	must.Len(t, 1, ordersOf[VMOrder](fx))
}

// orderMaintenanceAhead has the maintenance ordered of a VM whose worker the
// directory doesn't list yet, and has that worker join meanwhile.
func orderMaintenanceAhead(fx *fixture) VMOrder {
	fx.wave(1, vmOf("new", modeller.VMUp))
	fx.pass(100 * time.Millisecond)
	orders := ordersOf[VMOrder](fx)
	must.Len(fx.t, 1, orders)
	fx.ready("new")
	return orders[0]
}

func TestWorkerThatJoinsBesideItsVMsMaintenanceGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.apply(Loaded{})
	order := orderMaintenanceAhead(fx)
	fx.submit("j", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the order may still take the VM down"))
	fx.apply(VMOrderEnded{Order: order, Outcome: Accepted})
	fx.worker("new")
	for range 2 {
		fx.pass(50 * time.Millisecond)
		fx.report("new", nil)
	}
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestRunsOutliveMaintenanceThatWasDoneBefore(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.startOne("j")
	fx.worker("b")
	fx.store()
	for range 2 {
		fx.pass(50 * time.Millisecond)
		fx.report("b", nil)
	}
	fx.al.takeDown(fx.now, fx.al.workers["a"], "VM goes down for maintenance")
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the worker may be a later one, and go on"))
	fx.al.endLife(fx.now, fx.al.workers["a"], "reports a later start")
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestVMWhoseMoveIsInDoubtGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.apply(Configured{
		Configuration: modeller.Configuration{
			Version: 2,
			Queues:  map[string]modeller.Queue{"q": {Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.6}},
			Pools:   map[string]modeller.Pool{"p": {Name: "p"}, "off": {Name: "off", IsStandby: true}},
		},
	})
	ids := []string{"a", "b", "c", "d"}
	fx.ready(ids...)
	idle := func(duration time.Duration) {
		for range int(duration / (100 * time.Millisecond)) {
			fx.pass(100 * time.Millisecond)
			var vms []modeller.VM
			for _, id := range ids {
				fx.report(id, nil)
				vms = append(vms, vmOf(id, modeller.VMUp))
			}
			fx.list(vms...)
		}
	}
	idle(2 * time.Second)
	moves := ordersOf[VMOrder](fx)
	must.Len(t, 2, moves, must.Sprint("a pool without demand keeps two VMs"))
	for _, vo := range moves {
		fx.apply(VMOrderEnded{Order: vo, Outcome: Unanswered})
	}
	idle(8 * time.Second)
	again := ordersOf[VMOrder](fx)
	must.Len(t, 2, again, must.Sprint("they are sent again"))
	for _, vo := range again {
		fx.apply(VMOrderEnded{Order: vo, Outcome: NotSent})
	}
	st := oneTask()
	st.Count = 16
	st.Demand.MilliCores = 1000
	fx.submit("j", st)
	idle(200 * time.Millisecond)
	workers := map[modeller.WorkerID]bool{}
	for _, so := range ordersOf[StartOrder](fx) {
		workers[so.Worker.ID] = true
	}
	must.MapLen(t, 2, workers, must.Sprint("the VMs in doubt get none"))
}

func TestVMsThatAnEarlierHolderTookDownCount(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.wave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMMaintenance))
	must.Len(t, 0, ordersOf[VMOrder](fx))
	fx.list(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 1, ordersOf[VMOrder](fx))
}

func TestWorkerThatHasNotReportedIsNotEmpty(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	fx.apply(Loaded{})
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

func TestWorkerGetsNoWorkBeforeTheRosterNamesIt(t *testing.T) {
	fx := newFixture(t)
	fx.ready()
	fx.submit("j", oneTask())
	fx.worker("new")
	for range 2 {
		fx.pass(50 * time.Millisecond)
		fx.report("new", nil)
	}
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("a later holder would not know that it may hold runs"))
	fx.store()
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

func TestWorkerOfAnotherPoolGetsNoWorkBeforeTheRosterSaysSo(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	moved := fx.al.workers["a"].info
	moved.Pool = "other"
	fx.apply(WorkerListed{Worker: moved})
	fx.apply(Loaded{})
	fx.store()
	must.True(t, fx.al.workers["a"].isRostered)
	fx.worker("a")
	must.False(t, fx.al.workers["a"].isRostered)
	fx.store()
	must.True(t, fx.al.workers["a"].isRostered)
}

func TestRosterThatWasOvertakenByAMoveDoesNotCount(t *testing.T) {
	fx := newFixture(t)
	fx.worker("a")
	fx.apply(Loaded{})
	batch := fx.al.Batch(fx.now)
	moved := fx.al.workers["a"].info
	moved.Pool = "other"
	fx.apply(WorkerListed{Worker: moved})
	fx.apply(BatchStored{Batch: batch})
	must.False(t, fx.al.workers["a"].isRostered)
	fx.store()
	must.True(t, fx.al.workers["a"].isRostered)
}

func TestJobThatNoHolderHasMarkedStartsBesideSilentWorkers(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "begun", Queue: "q"}})
	fx.submit("begun", oneTask())
	fx.submit("waiting", oneTask())
	fx.worker("a")
	fx.worker("silent")
	fx.apply(Loaded{})
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
	fx.apply(Loaded{})
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
	fx.apply(StartEnded{Worker: refused.Worker.ID, Task: refused.Task, Attempt: 1, Outcome: Full})
	fx.pass(200 * time.Millisecond)
	again := ordersOf[StartOrder](fx)
	must.Len(t, 1, again)
	must.Eq(t, refused.Task, again[0].Task)
	must.Eq(t, 1, again[0].Attempt)
}

func TestDrainingWorkerGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.apply(WorkerListed{Worker: modeller.Worker{ID: "a", Pool: "p", Capacity: modeller.Resources{MilliCores: 4000, MemoryMB: 4000}, IsDraining: true, BornMS: 1}})
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

// takeOver returns a fixture in which an earlier holder has begun a job and given
// orders to a worker that is silent now, beside one that reports.
func takeOver(t *testing.T) *fixture {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1}}}})
	fx.apply(RosterLoaded{Workers: []modeller.Worker{{ID: "old", Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:9001"), VM: "vm-old"}}})
	fx.submit("j", oneTask())
	fx.ready("a")
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the silent worker may run the task"))
	return fx
}

func TestSilentWorkerIsWaitedForUnlessItsVMHasBeenTakenDown(t *testing.T) {
	for _, row := range []struct {
		name   string
		vm     modeller.VM
		starts int
	}{
		{"up in its pool", modeller.VM{Name: "vm-old", Pool: "p", State: modeller.VMUp, Worker: "other"}, 0},
		{"down", modeller.VM{Name: "vm-old", Pool: "p", State: modeller.VMDown}, 0},
		{"under maintenance", modeller.VM{Name: "vm-old", Pool: "p", State: modeller.VMMaintenance}, 1},
		{"moving", modeller.VM{Name: "vm-old", Pool: "off", State: modeller.VMMoving}, 1},
		{"in another pool", modeller.VM{Name: "vm-old", Pool: "off", State: modeller.VMUp}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx := takeOver(t)
			fx.list(vmOf("a", modeller.VMUp), row.vm)
			must.Len(t, row.starts, ordersOf[StartOrder](fx))
		})
	}
}

func TestSilentWorkerIsNotWaitedForOnceAnotherReportsFromItsVM(t *testing.T) {
	fx := takeOver(t)
	later := fx.al.workers["a"].info
	later.ID, later.VM = "later", "vm-old"
	fx.apply(WorkerListed{Worker: later})
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the directory may be old"))
	fx.report("a", nil)
	fx.report("later", nil)
	must.Len(t, 1, ordersOf[StartOrder](fx))
}

// timedJob is a job of two occurrences, the first of which is due after a time.
func (fx *fixture) timedJob(after time.Duration) JobRecorded {
	return JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTask()}, Occurrences: 2, FirstAt: fx.now.Add(after), Interval: time.Second,
	}}}
}

func TestEndOfAnOccurrenceThatIsNotDueByThisClockCounts(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.worker("a")
	fx.apply(Loaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: name("t", 0), Attempt: 1, Kind: modeller.EndDone})
	for range 2 {
		fx.pass(500 * time.Millisecond)
		fx.report("a", nil)
	}
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the first occurrence is done"))
}

func TestRunOfAnOccurrenceThatIsNotDueByThisClockIsAdopted(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.worker("a")
	fx.apply(Loaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", []modeller.Run{{Task: name("t", 0), Attempt: 1}})
	must.Len(t, 0, ordersOf[StopOrder](fx))
}

func TestStoredProgressOfAnOccurrenceThatIsNotDueByThisClockIsKept(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q", Tasks: []modeller.TaskProgress{{IsDone: true, Attempt: 1}}}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.apply(Loaded{})
	fx.al.touch(fx.al.jobs["t"])
	must.Eq(t, []modeller.TaskProgress{{IsDone: true, Attempt: 1}}, fx.al.Batch(fx.now).Progress[0].Tasks)
}

func TestTimedJobStartsAtItsTime(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTask()}, Occurrences: 2, FirstAt: fx.now.Add(time.Second), Interval: 500 * time.Millisecond,
	}}})
	fx.store()
	fx.pass(800 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 0, ordersOf[StartOrder](fx))
	fx.pass(250 * time.Millisecond)
	must.Len(t, 1, ordersOf[StartOrder](fx))
	fx.pass(500 * time.Millisecond)
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Occurrence)
}
