package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWaveVMIsBackUnderItsOldID(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a", "b")
	fx.wave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	first := ordersOf[VMOrder](fx)
	must.Len(t, 1, first)
	fx.apply(VMOrderResult{Order: first[0], Outcome: Accepted})
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
	fx.apply(RecordsLoaded{})
	order := orderMaintenanceAhead(fx)
	fx.submit("j", oneTask())
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the order may still take the VM down"))
	fx.apply(VMOrderResult{Order: order, Outcome: Accepted})
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

func TestVMsThatAnEarlierHolderTookDownCount(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.wave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMMaintenance))
	must.Len(t, 0, ordersOf[VMOrder](fx))
	fx.list(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 1, ordersOf[VMOrder](fx))
}
