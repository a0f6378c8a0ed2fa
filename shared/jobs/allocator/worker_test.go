package allocator

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWorkerGetsNoWorkBeforeRosterIsStored(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers()
	fx.submitJob("j", oneTaskStep())
	fx.listWorker("new")
	for range 2 {
		fx.advance(50 * time.Millisecond)
		fx.report("new", nil)
	}
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("a later holder would not know that the worker may have runs"))
	for _, po := range takeOrders[PollOrder](fx) {
		must.Zero(t, po.LeaseEnd, must.Sprint("a later holder would not await the lease"))
	}
	fx.report("new", nil)
	fx.storeBatch()
	fx.advance(25 * time.Millisecond)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestMovedWorkerGetsNoWorkBeforeRosterIsStored(t *testing.T) {
	fx := newFixture(t)
	fx.listWorker("a")
	moved := fx.al.workers.byID["a"].info
	moved.Pool = "other"
	fx.apply(WorkerListed{Worker: moved})
	fx.apply(RecordsLoaded{})
	fx.report("a", nil)
	fx.storeBatch()
	must.True(t, fx.al.workers.byID["a"].isRostered)
	fx.listWorker("a")
	must.False(t, fx.al.workers.byID["a"].isRostered)
	fx.storeBatch()
	must.True(t, fx.al.workers.byID["a"].isRostered)
}

func TestRosterStoredBeforeMoveIsStale(t *testing.T) {
	fx := newFixture(t)
	fx.listWorker("a")
	fx.apply(RecordsLoaded{})
	fx.report("a", nil)
	batch := fx.al.Batch(fx.now)
	moved := fx.al.workers.byID["a"].info
	moved.Pool = "other"
	fx.apply(WorkerListed{Worker: moved})
	fx.apply(BatchStored{Batch: batch})
	must.False(t, fx.al.workers.byID["a"].isRostered)
	fx.storeBatch()
	must.True(t, fx.al.workers.byID["a"].isRostered)
}

// newTakeoverFixture returns a fixture in which an earlier holder has begun a
// job and given orders to a worker that is unresponsive now, beside a worker
// that reports.
func newTakeoverFixture(t *testing.T) *fixture {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1}}}})
	fx.apply(RosterLoaded{Workers: rosterOf(modeller.Worker{ID: "old", Pool: "p", Address: netip.MustParseAddrPort("127.0.0.1:9001"), VM: "vm-old"})})
	fx.submitJob("j", oneTaskStep())
	fx.addReadyWorkers("a")
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the unresponsive worker may run the task"))
	return fx
}

func TestUnresponsiveWorkerIsAwaitedUnlessVMWasTakenDown(t *testing.T) {
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
			fx := newTakeoverFixture(t)
			fx.listVMs(vmOf("a", modeller.VMUp), row.vm)
			must.Len(t, row.starts, takeOrders[StartOrder](fx))
		})
	}
}

func TestUnresponsiveWorkerIsDroppedOnceVMIsRemoved(t *testing.T) {
	old := vmOf("old", modeller.VMUp)
	for _, row := range []struct {
		name   string
		lists  [][]modeller.VM
		starts int
	}{
		{"one list lacks the VM", [][]modeller.VM{nil}, 0},
		{"a later list has it again", [][]modeller.VM{nil, nil, {old}, nil}, 0},
		{"all lists lack it for 3 s", [][]modeller.VM{nil, nil, nil, nil}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx := newTakeoverFixture(t)
			for _, vms := range row.lists {
				fx.advance(time.Second)
				fx.report("a", nil)
				fx.listVMs(append(vms, vmOf("a", modeller.VMUp))...)
			}
			must.Len(t, row.starts, takeOrders[StartOrder](fx))
		})
	}
}

// Guards against tasks that wait for the longest lease after a takeover, since their worker
// was lost with its VM before it reported to the new holder.
func TestUnresponsiveWorkerIsDroppedOnceVMIsDown(t *testing.T) {
	up, down := vmOf("old", modeller.VMUp), vmOf("old", modeller.VMDown)
	for _, row := range []struct {
		name   string
		lists  []modeller.VM
		starts int
	}{
		{"down for less than 3 s", []modeller.VM{down, down, down}, 0},
		{"up in between", []modeller.VM{down, down, up, down, down}, 0},
		{"down for 3 s", []modeller.VM{down, down, down, down}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx := newTakeoverFixture(t)
			for _, vm := range row.lists {
				fx.apply(PollFailed{Worker: "old", Outcome: NotSent})
				fx.advance(time.Second)
				must.Len(t, 1, slices.DeleteFunc(slices.Clone(fx.orders), func(od Order) bool { return od != Order(ListVMsOrder{}) }))
				fx.orders = nil
				fx.report("a", nil)
				fx.listVMs(vm, vmOf("a", modeller.VMUp))
			}
			must.Len(t, row.starts, takeOrders[StartOrder](fx))
		})
	}
}

func TestUnresponsiveWorkerIsDroppedOnceAnotherReportsFromVM(t *testing.T) {
	fx := newTakeoverFixture(t)
	later := fx.al.workers.byID["a"].info
	later.ID, later.VM = "later", "vm-old"
	fx.apply(WorkerListed{Worker: later})
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the directory may be stale"))
	fx.report("a", nil)
	fx.report("later", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// A worker that crashes may be back under its ID before its polls have failed,
// and accept a start that was meant for the incarnation before.
func TestStartAcceptedByALaterIncarnationIsKept(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	old := fx.startOneTaskJob("old")
	fx.submitJob("new", oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, old.Worker.ID, starts[0].Worker.ID)
	fx.apply(StartResult{Worker: starts[0].Worker.ID, Task: starts[0].Task, Attempt: 1, Outcome: Accepted, Clock: 50 * time.Millisecond})
	restarted := fx.al.workers.byID[old.Worker.ID].info
	restarted.StartedAtMS = 2
	fx.apply(WorkerListed{Worker: restarted})
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("either run may be one of the next incarnation"))
	fx.reportOfNext(string(old.Worker.ID), 2, 100*time.Millisecond, []modeller.Run{{Task: starts[0].Task, Attempt: 1}})
	again := takeOrders[StartOrder](fx)
	must.Len(t, 1, again, must.Sprint("only the run of the incarnation before is lost"))
	must.Eq(t, old.Task, again[0].Task)
}

// Answers carry whole milliseconds, and the answer of a near worker may have the
// same reading as the report before.
func TestRoundedClockIsNotALaterIncarnation(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.startOneTaskJob("first")
	fx.report("a", []modeller.Run{{Task: taskName("first", 0), Attempt: 1}})
	fx.submitJob("second", oneTaskStep())
	clock := fx.al.workers.byID["a"].clock
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	elapsed := fx.now.Sub(fx.al.workers.byID["a"].clockAt)
	fx.apply(StartResult{Worker: "a", Task: starts[0].Task, Attempt: 1, Outcome: Accepted, Clock: (clock + elapsed).Truncate(time.Millisecond) - time.Millisecond})
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("no run of the worker is lost"))
	must.True(t, fx.al.workers.byID["a"].isSynced)
}

// reportOf applies a report of an incarnation with a start time, to a poll that was
// sent 1 ms ago.
func (fx *fixture) reportOf(id string, startedAtMS int64, clock time.Duration, running []modeller.Run) {
	fx.apply(ReportReceived{
		Worker:     modeller.WorkerID(id),
		SentAt:     fx.now.Add(-time.Millisecond),
		ReceivedAt: fx.now,
		Report:     modeller.Report{StartedAtMS: startedAtMS, Clock: clock, Running: running},
	})
}

// reportOfNext applies the report that shows that another incarnation answers, and that
// of the poll that follows.
func (fx *fixture) reportOfNext(id string, startedAtMS int64, clock time.Duration, running []modeller.Run) {
	fx.reportOf(id, startedAtMS, clock, running)
	fx.advance(25 * time.Millisecond)
	fx.reportOf(id, startedAtMS, clock+25*time.Millisecond, running)
}

// TestIncarnationWithAnEarlierStartTimeIsTheLaterOne guards against tasks that never
// start again: a worker's clock has jumped back, so that its restart seems to precede
// the start before, and its reports were taken for outdated ones.
func TestIncarnationWithAnEarlierStartTimeIsTheLaterOne(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	so := fx.startOneTaskJob("j")
	id := string(so.Worker.ID)
	fx.advance(50 * time.Millisecond)
	fx.report(id, []modeller.Run{{Task: so.Task, Attempt: so.Attempt}})
	fx.advance(50 * time.Millisecond)
	fx.reportOf(id, -999, time.Millisecond, nil)
	fx.storeBatch()
	fx.report("a", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("the run ended with the incarnation before"))
	wk := fx.al.workers.byID[so.Worker.ID]
	before := wk.incarnation
	fx.listWorker(id)
	must.Eq(t, before, wk.incarnation, must.Sprint("the directory still lists the incarnation before"))
}

// TestReportOfAnEarlierPollIsOutdated guards against an answer that is overtaken by a
// later one of the next incarnation.
func TestReportOfAnEarlierPollIsOutdated(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.advance(50 * time.Millisecond)
	sentAt := fx.now
	fx.advance(50 * time.Millisecond)
	fx.reportOfNext("a", 7, time.Millisecond, nil)
	before := fx.al.workers.byID["a"].incarnation
	fx.reportPollSentAt(sentAt, "a", nil)
	must.Eq(t, before, fx.al.workers.byID["a"].incarnation)
	must.Eq(t, 7, fx.al.workers.byID["a"].startedAtMS)
}

// outlastOldRuns lets idle workers report until no run of an earlier holder may continue.
func (fx *fixture) outlastOldRuns(ids ...string) {
	for !fx.now.After(fx.al.oldRunsExpiry()) {
		fx.advance(50 * time.Millisecond)
		for _, id := range ids {
			fx.report(id, nil)
		}
		fx.storeBatch()
	}
}

// newPolledFixture returns a fixture with a worker that has a poll in flight, which
// extends its lease.
func newPolledFixture(t *testing.T) *fixture {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.outlastOldRuns("a")
	fx.report("a", nil)
	fx.orders = nil
	fx.advance(50 * time.Millisecond)
	polls := takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Positive(t, polls[0].LeaseEnd)
	return fx
}

// TestNextIncarnationGetsNoLeaseOfTheOneBefore guards against a lease that outlasts
// what the holder has granted: the clock of a restarted worker begins anew, and a poll
// with the end of the lease by the clock before extends it for too long.
func TestNextIncarnationGetsNoLeaseOfTheOneBefore(t *testing.T) {
	fx := newPolledFixture(t)
	fx.apply(PollFailed{Worker: "a", Outcome: Unanswered})
	fx.advance(time.Second)
	for _, po := range takeOrders[PollOrder](fx) {
		must.Zero(t, po.LeaseEnd, must.Sprint("the poll may reach the next incarnation"))
	}
}

// mustAwaitLongestLease checks that a worker counts as running its tasks for the longest
// lease from now on, by a clock that may be slow.
func (fx *fixture) mustAwaitLongestLease(id string) {
	fx.t.Helper()
	expiry := fx.al.leaseExpiry(fx.al.workers.byID[modeller.WorkerID(id)])
	must.GreaterEq(fx.t, maxElapsed(testBounds.MaxRunLease), expiry.Sub(fx.now))
}

// TestLeaseGrantedToTheNextIncarnationIsAwaited guards against tasks that are started
// again while the worker runs them: it has restarted between two polls, and the second
// one has extended its lease by the clock before.
func TestLeaseGrantedToTheNextIncarnationIsAwaited(t *testing.T) {
	fx := newPolledFixture(t)
	fx.reportOfNext("a", 7, time.Millisecond, nil)
	fx.mustAwaitLongestLease("a")
}

// TestLeaseIsAwaitedWhenTheDirectoryShowsTheRestartFirst covers the same if the
// directory lists the next incarnation before the poll is answered.
func TestLeaseIsAwaitedWhenTheDirectoryShowsTheRestartFirst(t *testing.T) {
	fx := newPolledFixture(t)
	restarted := fx.al.workers.byID["a"].info
	restarted.StartedAtMS = 7
	fx.apply(WorkerListed{Worker: restarted})
	fx.reportOfNext("a", 7, time.Millisecond, nil)
	fx.mustAwaitLongestLease("a")
}

// TestOrdersAreForTheIncarnationThatHasReported guards against orders that the next
// incarnation of a worker carries out.
func TestOrdersAreForTheIncarnationThatHasReported(t *testing.T) {
	fx := newPolledFixture(t)
	fx.reportOfNext("a", 7, time.Millisecond, nil)
	fx.orders = nil
	fx.advance(50 * time.Millisecond)
	polls := takeOrders[PollOrder](fx)
	must.Len(t, 1, polls)
	must.Eq(t, 7, polls[0].Worker.StartedAtMS)
	fx.listNextIncarnation("a", 7)
	must.Eq(t, 7, fx.startOneTaskJob("j").Worker.StartedAtMS)

	fx.apply(PollFailed{Worker: "a", Outcome: Restarted})
	must.Len(t, 0, takeOrders[PollOrder](fx), must.Sprint("a worker that says each time that it is another one is not polled in a loop"))
	fx.advance(50 * time.Millisecond)
	polls = takeOrders[PollOrder](fx)
	must.Len(t, 1, polls, must.Sprint("the next incarnation is polled soon"))
	must.Eq(t, PollOrder{Worker: polls[0].Worker}, polls[0], must.Sprint("without a lease and acknowledged ends"))
	must.Zero(t, polls[0].Worker.StartedAtMS)
}

// TestStartThatFindsTheWorkerRestartedIsPlacedAgain guards against tasks that wait for
// an order that was not sent.
func TestStartThatFindsTheWorkerRestartedIsPlacedAgain(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	running := fx.startOneTaskJob("running")
	fx.report(string(running.Worker.ID), []modeller.Run{{Task: running.Task, Attempt: 1}})
	fx.submitJob("starting", oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, running.Worker.ID, starts[0].Worker.ID)
	fx.apply(StartResult{Worker: starts[0].Worker.ID, Task: starts[0].Task, Attempt: 1, Outcome: Restarted})
	again := takeOrders[StartOrder](fx)
	must.Len(t, 2, again, must.Sprint("the runs of the incarnation before are over"))
	for _, so := range again {
		must.NotEq(t, running.Worker.ID, so.Worker.ID)
	}
}
