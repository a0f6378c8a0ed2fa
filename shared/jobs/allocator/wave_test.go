package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestWaveContinuesWhenVMReturnsWithSameWorkerID(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.addWave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	first := fx.takeMaintenance()
	must.Len(t, 1, first)
	fx.apply(VMOrderResult{Order: first[0], Outcome: Accepted})
	fx.advance(2 * time.Second)
	fx.listWorker("a")
	fx.report("b", nil)
	fx.listVMs(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	fx.advance(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 1, fx.takeMaintenance())
}

func TestWaveWaitsForVMMissingFromStaleList(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.listVMs(vmOf("a", modeller.VMUp))
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-late"}, Duration: 20 * time.Second, MaxDown: 1}})
	fx.advance(time.Second)
	must.False(t, fx.al.fleet.waves[1].isCompleted, must.Sprint("the list is older than the VM"))
	fx.listVMs(vmOf("a", modeller.VMUp), vmOf("late", modeller.VMDown))
	fx.advance(minAbsence)
	fx.listVMs(vmOf("a", modeller.VMUp), vmOf("late", modeller.VMDown))
	fx.advance(time.Second)
	must.False(t, fx.al.fleet.waves[1].isCompleted, must.Sprint("the VM was not removed"))
}

func TestWaveCompletesWithoutRemovedVM(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.addWave(1)
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 2, VMs: []string{"vm-gone"}, Duration: 20 * time.Second, MaxDown: 1}})
	for range 4 {
		must.False(t, fx.al.fleet.waves[2].isCompleted)
		fx.listVMs(vmOf("a", modeller.VMUp))
		fx.advance(time.Second)
	}
	must.True(t, fx.al.fleet.waves[2].isCompleted)
}

func TestWaveTakesOnlySpareVMsUntilBehindSchedule(t *testing.T) {
	fx := newFixture(t)
	fx.apply(WaveProgressLoaded{Number: 1, Elapsed: 2 * time.Second})
	fx.addReadyWorkers("a")
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-a"}, Duration: 20 * time.Second, MaxDown: 1}})
	// One round takes 5 s. The estimate is 1.5 times that plus 6 s, so the wave
	// falls behind schedule 6.5 s after its start.
	for elapsed := 2 * time.Second; elapsed < 6*time.Second; elapsed += 100 * time.Millisecond {
		fx.listVMs(vmOf("a", modeller.VMUp))
		fx.report("a", nil)
		fx.advance(100 * time.Millisecond)
	}
	must.Len(t, 0, fx.takeMaintenance(), must.Sprint("the pool has no surplus"))
	fx.listVMs(vmOf("a", modeller.VMUp))
	fx.report("a", nil)
	fx.advance(time.Second)
	must.Len(t, 1, fx.takeMaintenance())
}

// orderMaintenanceBeforeListing returns the maintenance order of a VM whose
// worker the directory listed only after the order was given.
func orderMaintenanceBeforeListing(fx *fixture) VMOrder {
	fx.addWave(1, vmOf("new", modeller.VMUp))
	fx.advance(100 * time.Millisecond)
	orders := fx.takeMaintenance()
	must.Len(fx.t, 1, orders)
	fx.addReadyWorkers("new")
	return orders[0]
}

func TestWorkerJoiningDuringPendingMaintenanceGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.apply(RecordsLoaded{})
	order := orderMaintenanceBeforeListing(fx)
	fx.submitJob("j", oneTaskStep())
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the order may still take the VM down"))
	fx.apply(VMOrderResult{Order: order, Outcome: Accepted})
	fx.listWorker("new")
	for range 3 {
		fx.advance(50 * time.Millisecond)
		fx.report("new", nil)
	}
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestRunsSurviveLateMaintenanceAnswer(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	so := fx.startOneTaskJob("j")
	fx.advance(50 * time.Millisecond)
	fx.report("a", []modeller.Run{{Task: so.Task, Attempt: so.Attempt}})
	fx.listWorker("b")
	fx.storeBatch()
	for range 2 {
		fx.advance(50 * time.Millisecond)
		fx.report("b", nil)
		fx.storeBatch()
	}
	fx.al.handleTakedown(fx.now, fx.al.workers.byID["a"], "VM goes down for maintenance")
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the worker may have started after the maintenance"))
	fx.al.endIncarnation(fx.now, fx.al.workers.byID["a"], "report has a later start time")
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestVMsTakenDownByEarlierHolderCountAsDown(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.addWave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMMaintenance))
	must.Len(t, 0, fx.takeMaintenance())
	fx.listVMs(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 1, fx.takeMaintenance())
}

// TestVMWithUndecodableEntryIsNotRemoved guards against a wave that is completed
// without a VM, since the list has an entry that can't be decoded in its place.
func TestVMWithUndecodableEntryIsNotRemoved(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.addWave(2, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	for range 8 {
		fx.listVMs(modeller.VM{State: modeller.VMUnknown}, vmOf("b", modeller.VMUp))
		fx.advance(time.Second)
		must.False(t, fx.al.fleet.isRemoved("vm-a"))
	}
	must.False(t, fx.al.fleet.waves[1].isCompleted)
}

// TestMaintenanceIsStoredBeforeItIsOrdered guards against a later holder that doesn't
// know of an order: it takes another VM down, and the order is carried out after that.
func TestMaintenanceIsStoredBeforeItIsOrdered(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.addWave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	must.Len(t, 0, takeOrders[VMOrder](fx), must.Sprint("the store doesn't know of the order"))
	fx.submitJob("j", oneTaskStep())
	batch := fx.al.Batch(fx.now)
	must.Eq(t, []string{"vm-a"}, fx.waves[1].Ordered)
	must.Nil(t, batch, must.Sprint("the batch is stored by submitJob"))
	first := takeOrders[VMOrder](fx)
	must.Len(t, 1, first)
	must.Eq(t, "vm-a", first[0].VM)

	later := newFixture(t)
	later.al = New(fx.now, testBounds)
	later.now = fx.now
	later.apply(configurationWith(1, "p"))
	later.apply(WaveProgressLoaded{Number: 1, Ordered: fx.waves[1].Ordered})
	later.addReadyWorkers("a", "b")
	later.addWave(1, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	later.storeBatch()
	again := takeOrders[VMOrder](later)
	must.Eq(t, first, again, must.Sprint("the earlier holder's order counts, and is repeated with the later holder's fencing token"))
	later.apply(VMOrderResult{Order: again[0], Outcome: Unanswered})
	later.report("b", nil)
	must.Len(t, 0, takeOrders[VMOrder](later))
	later.apply(VMOrderResult{Order: again[0], Outcome: Accepted})
	later.advance(2 * time.Second)
	later.listWorker("a")
	later.report("a", nil)
	later.report("b", nil)
	later.listVMs(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	later.advance(50 * time.Millisecond)
	later.storeBatch()
	next := takeOrders[VMOrder](later)
	must.Len(t, 1, next)
	must.Eq(t, "vm-b", next[0].VM)
}

// TestOrderedMaintenanceWaitsForTheWorker guards against a repeated order that ends
// tasks: the VM may have been maintained and got work before the later holder.
func TestOrderedMaintenanceWaitsForTheWorker(t *testing.T) {
	fx := newFixture(t)
	fx.apply(WaveProgressLoaded{Number: 1, Ordered: []string{"vm-a"}})
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j", Queue: "q", Pools: []string{"p"}, Tasks: []modeller.TaskProgress{{Attempt: 1}}}})
	fx.apply(oneTaskJobRecorded("j"))
	fx.listWorker("a")
	fx.apply(RecordsLoaded{})
	fx.addWave(1, vmOf("a", modeller.VMUp))
	for range 20 {
		fx.advance(50 * time.Millisecond)
		fx.report("a", []modeller.Run{{Task: taskName("j", 0), Attempt: 1}})
		fx.storeBatch()
		fx.listVMs(vmOf("a", modeller.VMUp))
	}
	must.Len(t, 0, takeOrders[VMOrder](fx))
	fx.report("a", nil, modeller.End{Number: 1, Task: taskName("j", 0), Attempt: 1, Kind: modeller.EndDone})
	must.Len(t, 1, takeOrders[VMOrder](fx))
}

// Guards against workers that stay idle after an order that had been carried out before.
func TestWorkerOfMaintainedVMGetsTasksAfterRepeatedOrder(t *testing.T) {
	fx := newFixture(t)
	fx.apply(WaveProgressLoaded{Number: 1, Ordered: []string{"vm-a"}})
	fx.addReadyWorkers("a")
	fx.addWave(1, vmOf("a", modeller.VMUp))
	orders := takeOrders[VMOrder](fx)
	must.Len(t, 1, orders)
	fx.apply(VMOrderResult{Order: orders[0], Outcome: Accepted})
	fx.advance(time.Second)
	fx.listVMs(vmOf("a", modeller.VMUp))
	fx.advance(50 * time.Millisecond)
	for range 2 {
		fx.report("a", nil)
		fx.storeBatch()
		fx.advance(50 * time.Millisecond)
	}
	fx.submitJob("j", oneTaskStep())
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// TestEntryOfNobodyKeepsNoVMFromMaintenance guards against a wave that waits for a VM
// for which another writer's entry names a further worker, and against a pool that
// counts this worker among its own.
func TestEntryOfNobodyKeepsNoVMFromMaintenance(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	odd := workerIn("odd", "p")
	odd.VM = "vm-a"
	fx.apply(WorkerListed{Worker: odd})
	fx.advance(50 * time.Millisecond)
	fx.failPendingPolls("odd")
	fx.addWave(1, vmOf("a", modeller.VMUp))
	orders := fx.takeMaintenance()
	must.Len(t, 1, orders)
	must.Eq(t, "vm-a", orders[0].VM)
	needs := fx.al.poolNeeds(fx.now, "")
	must.Len(t, 1, needs)
	must.LessEq(t, 2, needs[0].workers)
}

// TestOrderedMaintenanceOfALostVMEnds guards against a wave that waits forever for a
// VM whose maintenance an earlier holder has ordered, and which is gone or stays down.
func TestOrderedMaintenanceOfALostVMEnds(t *testing.T) {
	for name, lost := range map[string][]modeller.VM{"gone": nil, "down": {vmOf("lost", modeller.VMDown)}} {
		fx := newFixture(t)
		fx.apply(WaveProgressLoaded{Number: 1, Ordered: []string{"vm-lost"}})
		fx.addReadyWorkers("a", "b", "c")
		fx.addWave(1, vmOf("lost", modeller.VMUp), vmOf("a", modeller.VMUp))
		var orders []VMOrder
		for range 40 {
			fx.listVMs(append(lost, vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp), vmOf("c", modeller.VMUp))...)
			for _, id := range []string{"a", "b", "c"} {
				fx.report(id, nil)
			}
			fx.advance(500 * time.Millisecond)
			fx.storeBatch()
			for _, vo := range takeOrders[VMOrder](fx) {
				if vo.VM == "vm-a" {
					orders = append(orders, vo)
				}
			}
		}
		must.Positive(t, len(orders), must.Sprint(name))
	}
}
