package allocator

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// foreignAddress is where no worker of a fixture is.
var foreignAddress = netip.MustParseAddrPort("127.0.0.1:9999")

// overwriteEntry lists another writer's entry under the ID of a worker.
func (fx *fixture) overwriteEntry(id string, startedAtMS int64) {
	fx.apply(WorkerListed{Worker: modeller.Worker{
		ID:          modeller.WorkerID(id),
		Pool:        "p2",
		Address:     foreignAddress,
		Labels:      []string{"foreign"},
		Capacity:    modeller.Resources{MilliCores: 16_000, MemoryMB: 65_536},
		IsDraining:  true,
		VM:          "vm-foreign",
		StartedAtMS: startedAtMS,
	}})
}

// newRunningFixture returns the fixture of newRestartFixture with a run that its worker
// has reported.
func newRunningFixture(t *testing.T) (fx *fixture, id, other string, running []modeller.Run) {
	fx, id, other, start := newRestartFixture(t)
	fx.acceptStart(start)
	running = []modeller.Run{{Task: start.Task, Attempt: start.Attempt}}
	fx.advance(50 * time.Millisecond)
	fx.report(id, running)
	fx.orders = nil
	return fx, id, other, running
}

// Guards against a task that runs twice, since another writer has overwritten the entry
// of the worker that runs it.
func TestEntryOfAnotherWriterEndsNothing(t *testing.T) {
	for _, startedAtMS := range []int64{0, 2} {
		fx, id, other, running := newRunningFixture(t)
		wk := fx.al.workers.byID[modeller.WorkerID(id)]
		fx.overwriteEntry(id, startedAtMS)
		for range 40 {
			fx.advance(50 * time.Millisecond)
			fx.report(other, nil)
			for _, po := range fx.pollsOf(id) {
				if po.Worker.Address == foreignAddress {
					fx.apply(PollFailed{Worker: po.Worker.ID, SentAt: fx.now, Outcome: Replaced})
					continue
				}
				fx.report(id, running)
			}
		}
		must.Zero(t, wk.incarnation)
		fx.isolate(id)
		fx.submitJob("j2", oneTaskStep())
		must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("what the worker is for isn't known"))
		fx.listWorker(id)
		must.Len(t, 1, takeOrders[StartOrder](fx))
	}
}

// isolate keeps starts from all other workers for a while.
func (fx *fixture) isolate(id string) {
	for _, wk := range fx.al.workers.sorted {
		if string(wk.info.ID) != id {
			wk.suspectUntil = fx.now.Add(time.Minute)
		}
	}
}

// pollsOf returns the polls of a worker since the last call, and discards all other
// orders. No task may be started or stopped.
func (fx *fixture) pollsOf(id string) []PollOrder {
	fx.t.Helper()
	var polls []PollOrder
	for _, od := range fx.orders {
		switch od := od.(type) {
		case StartOrder:
			fx.t.Fatalf("%s is started on %s", od.Task, od.Worker.ID)
		case StopOrder:
			fx.t.Fatalf("%s is stopped on %s", od.Task, od.Worker.ID)
		case PollOrder:
			if string(od.Worker.ID) == id {
				polls = append(polls, od)
			}
		}
	}
	fx.orders = nil
	return polls
}

// Guards against tasks that wait for a lease: the next incarnation is elsewhere, which
// only the directory says, and the address of the one before doesn't answer.
func TestNextIncarnationIsFoundAtTheAddressOfItsEntry(t *testing.T) {
	fx, id, other, _ := newRunningFixture(t)
	began := fx.now
	wk := fx.al.workers.byID[modeller.WorkerID(id)]
	entry := wk.info
	entry.Address, entry.StartedAtMS = foreignAddress, 2
	fx.apply(WorkerListed{Worker: entry})
	fx.apply(PollFailed{Worker: entry.ID, SentAt: fx.now, Outcome: Unanswered})
	isStart := func(od Order) bool { _, ok := od.(StartOrder); return ok }
	for !slices.ContainsFunc(fx.orders, isStart) {
		for _, po := range fx.pollsOf(id) {
			if po.Worker.Address == foreignAddress {
				fx.reportOf(id, 2, time.Second+fx.now.Sub(began), nil)
				continue
			}
			fx.apply(PollFailed{Worker: entry.ID, SentAt: fx.now, Outcome: Unanswered})
		}
		fx.advance(25 * time.Millisecond)
		fx.report(other, nil)
	}
	must.Less(t, time.Second, fx.now.Sub(began), must.Sprint("the run ended with its incarnation"))
	fx.advance(50 * time.Millisecond)
	fx.reportOf(id, 2, time.Second+fx.now.Sub(began), nil)
	must.Eq(t, 2, wk.startedAtMS)
	must.Eq(t, foreignAddress, wk.info.Address)
}

// Guards against a task that runs twice after a takeover, since another writer's entry
// says that the worker that runs it is elsewhere.
func TestEntryOfAnotherWriterEndsNothingAfterATakeover(t *testing.T) {
	for _, startedAtMS := range []int64{0, 2} {
		fx := newTakeoverFixture(t)
		fx.overwriteEntry("old", startedAtMS)
		fx.listVMs(vmOf("a", modeller.VMUp), vmOf("old", modeller.VMUp))
		wk := fx.al.workers.byID["old"]
		for range 40 {
			fx.advance(100 * time.Millisecond)
			fx.report("a", nil)
			for _, po := range fx.pollsOf("old") {
				outcome := Unanswered
				if po.Worker.Address == foreignAddress {
					outcome = Replaced
				}
				fx.apply(PollFailed{Worker: "old", SentAt: fx.now, Outcome: outcome})
			}
			fx.listVMs(vmOf("a", modeller.VMUp), vmOf("old", modeller.VMUp))
		}
		must.Eq(t, "p", wk.info.Pool)
	}
}

// Guards against runs of an earlier holder that count as over, since another writer's
// entry says that another worker has their VM.
func TestEntryOfAnotherWriterTakesNoVM(t *testing.T) {
	fx := newTakeoverFixture(t)
	entry := fx.al.workers.byID["a"].info
	entry.VM, entry.StartedAtMS = "vm-old", 2
	fx.apply(WorkerListed{Worker: entry})
	for range 10 {
		fx.advance(50 * time.Millisecond)
		fx.report("a", nil)
	}
	fx.listWorker("a")
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

// Guards against tasks that start on a worker without their label, or without room for
// them: it is back under its ID as one of another kind, and the directory still has the
// entry of before.
func TestIncarnationGetsNoWorkByTheEntryOfTheOneBefore(t *testing.T) {
	for _, row := range []struct {
		name                     string
		entryStart, reportStart  int64
		startsBefore, startsThen int
	}{
		{"restarted", 1, 2, 0, 1},
		{"same incarnation", 1, 1, 1, 0},
		{"start time of the entry unknown", 0, 2, 1, 0},
		{"start time of the report unknown", 1, 0, 1, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx := newFixture(t)
			entry := workerIn("a", "p")
			entry.Labels, entry.StartedAtMS = []string{"b"}, row.entryStart
			fx.apply(WorkerListed{Worker: entry})
			fx.apply(RecordsLoaded{})
			fx.storeBatch()
			fx.submitJob("j", labelledStep("b"))
			for number := range 4 {
				fx.advance(50 * time.Millisecond)
				fx.reportOf("a", row.reportStart, time.Second+time.Duration(number)*50*time.Millisecond, nil)
			}
			must.Len(t, row.startsBefore, takeOrders[StartOrder](fx))
			entry.Labels, entry.StartedAtMS = []string{"a"}, row.reportStart
			fx.apply(WorkerListed{Worker: entry})
			must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the worker lacks the label"))
			entry.Labels = []string{"b"}
			fx.apply(WorkerListed{Worker: entry})
			must.Len(t, row.startsThen, takeOrders[StartOrder](fx))
		})
	}
}

// labelledStep returns a step of one task that needs a label.
func labelledStep(label string) modeller.Step {
	st := oneTaskStep()
	st.RequiredLabel = label
	return st
}

// Guards against long-running tasks that are stopped on a worker that is back, since the
// directory's entry says that the incarnation before was draining.
func TestDrainingEndsWithItsIncarnation(t *testing.T) {
	fx, id, _, running := newRunningFixture(t)
	wk := fx.al.workers.byID[modeller.WorkerID(id)]
	entry := wk.info
	entry.IsDraining = true
	fx.apply(WorkerListed{Worker: entry})
	must.True(t, wk.isDraining())
	fx.advance(50 * time.Millisecond)
	fx.reportOfNext(id, 2, time.Second, running)
	must.False(t, wk.isDraining())
}
