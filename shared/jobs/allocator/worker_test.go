package allocator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

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
	fx.apply(RecordsLoaded{})
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
	fx.apply(RecordsLoaded{})
	batch := fx.al.Batch(fx.now)
	moved := fx.al.workers["a"].info
	moved.Pool = "other"
	fx.apply(WorkerListed{Worker: moved})
	fx.apply(BatchStored{Batch: batch})
	must.False(t, fx.al.workers["a"].isRostered)
	fx.store()
	must.True(t, fx.al.workers["a"].isRostered)
}

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

func TestSilentWorkerIsNotWaitedForOnceItsVMHasLeft(t *testing.T) {
	old := vmOf("old", modeller.VMUp)
	for _, row := range []struct {
		name   string
		lists  [][]modeller.VM
		starts int
	}{
		{"one list lacks the VM", [][]modeller.VM{nil}, 0},
		{"a list has it again", [][]modeller.VM{nil, nil, {old}, nil}, 0},
		{"all lists lack it for 3 s", [][]modeller.VM{nil, nil, nil, nil}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx := takeOver(t)
			for _, vms := range row.lists {
				fx.pass(time.Second)
				fx.report("a", nil)
				fx.list(append(vms, vmOf("a", modeller.VMUp))...)
			}
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
