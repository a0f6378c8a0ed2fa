package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// addStandbyPool adds a pool of VMs that are switched off, and sets the stretch
// of queue q.
func (fx *fixture) addStandbyPool(stretch float64) {
	fx.apply(ConfigurationLoaded{
		Configuration: modeller.Configuration{
			Version: 2,
			Queues:  map[string]modeller.Queue{"q": {Name: "q", Pool: "p", MaxAttempts: 2, Stretch: stretch}},
			Pools:   map[string]modeller.Pool{"p": {Name: "p"}, "off": {Name: "off", IsStandby: true}},
		},
	})
}

func standbyVMs(count int) []modeller.VM {
	var vms []modeller.VM
	for number := range count {
		vms = append(vms, modeller.VM{Name: fmt.Sprintf("off-%03d", number), Pool: "off", State: modeller.VMUp})
	}
	return vms
}

func TestVMWithUnconfirmedMoveGetsNoWork(t *testing.T) {
	fx := newFixture(t)
	fx.addStandbyPool(1.6)
	ids := []string{"a", "b", "c", "d"}
	fx.addReadyWorkers(ids...)
	idle := func(duration time.Duration) {
		for range int(duration / (100 * time.Millisecond)) {
			fx.advance(100 * time.Millisecond)
			var vms []modeller.VM
			for _, id := range ids {
				fx.report(id, nil)
				vms = append(vms, vmOf(id, modeller.VMUp))
			}
			fx.listVMs(vms...)
		}
	}
	idle(2 * time.Second)
	moves := takeOrders[VMOrder](fx)
	must.Len(t, 2, moves, must.Sprint("a pool without demand keeps two VMs"))
	for _, vo := range moves {
		fx.apply(VMOrderResult{Order: vo, Outcome: Unanswered})
	}
	idle(8 * time.Second)
	again := takeOrders[VMOrder](fx)
	must.Len(t, 2, again, must.Sprint("unanswered orders are sent again"))
	for _, vo := range again {
		fx.apply(VMOrderResult{Order: vo, Outcome: NotSent})
	}
	st := oneTaskStep()
	st.Count = 16
	st.Demand.MilliCores = 1000
	fx.submitJob("j", st)
	idle(200 * time.Millisecond)
	workers := map[modeller.WorkerID]bool{}
	for _, so := range takeOrders[StartOrder](fx) {
		workers[so.Worker.ID] = true
	}
	must.MapLen(t, 2, workers, must.Sprint("VMs with an unconfirmed move get no work"))
}

// orderedMoves returns how many moves to a pool with demand are ordered in a time,
// in a fleet with VMs on standby.
func orderedMoves(t *testing.T, vmCount int, duration time.Duration) int {
	fx := newFixture(t)
	fx.addStandbyPool(50)
	fx.addReadyWorkers("a")
	fx.submitJob("j", modeller.Step{Count: 4 * vmCount, Demand: modeller.Resources{MilliCores: 4000}, Estimate: time.Second})
	fx.listVMs(append(standbyVMs(vmCount-1), vmOf("a", modeller.VMUp))...)
	fx.advance(duration)
	return len(takeOrders[VMOrder](fx))
}

func TestMovesAtOnceGrowWithTheFleetWithinTheInterfacesRate(t *testing.T) {
	must.Eq(t, 24, orderedMoves(t, 48, time.Second))
	must.Between(t, 90, orderedMoves(t, 400, 2*time.Second), 64*2)
}

func TestVMThatHasArrivedIsNotMovedAgainByAnOldList(t *testing.T) {
	fx := newFixture(t)
	fx.addStandbyPool(50)
	fx.addReadyWorkers("a")
	fx.submitJob("j", modeller.Step{Count: 40, Demand: modeller.Resources{MilliCores: 4000}, Estimate: time.Second})
	oldList := []modeller.VM{vmOf("a", modeller.VMUp), vmOf("c", modeller.VMUp), vmOf("d", modeller.VMUp),
		{Name: "vm-b", Pool: "off", State: modeller.VMUp}}
	fx.listVMs(oldList...)
	fx.advance(200 * time.Millisecond)
	moves := takeOrders[VMOrder](fx)
	must.Len(t, 1, moves)
	fx.apply(VMOrderResult{Order: moves[0], Outcome: Accepted})
	fx.listWorker("b")
	fx.advance(500 * time.Millisecond)
	must.Len(t, 0, takeOrders[VMOrder](fx), must.Sprint("orders that end the work on the VM that has arrived"))
}

// The demand of a pool rises while the VMs for it are still moving, so those are
// ordered that it will need once they arrive.
func TestVMsAreOrderedAheadOfRisingDemand(t *testing.T) {
	fx := newFixture(t)
	fx.addStandbyPool(50)
	fx.addReadyWorkers("a")
	fx.listVMs(append(standbyVMs(80), vmOf("a", modeller.VMUp))...)
	submitted := 0
	for _, jobs := range []int{0, 4, 40} {
		for number := range jobs {
			fx.submitJob(fmt.Sprintf("j%d-%d", jobs, number), oneTaskStep())
			fx.now = fx.now.Add(time.Second / time.Duration(jobs))
			submitted++
		}
		fx.advance(time.Second - time.Duration(jobs)*(time.Second/time.Duration(max(jobs, 1))))
	}
	fx.advance(200 * time.Millisecond)
	present := int(float64(submitted) * demandHeadroom / 4)
	must.Between(t, present+10, len(takeOrders[VMOrder](fx)), 3*present)
}

// Filling tasks reserve memory only, and tasks of one step may have to keep
// apart, so that a pool's processors suffice while its tasks wait.
func TestWaitingLongRunningTasksGetVMs(t *testing.T) {
	filling := longRunningStep(4)
	filling.IsFilling = true
	filling.MaxPerWorker = 0
	filling.Demand.MemoryMB = 3000
	labelled := longRunningStep(1)
	labelled.RequiredLabel = "absent"
	for _, tc := range []struct {
		name string
		step modeller.Step
		want int
	}{
		{name: "filling tasks that need the memory of a worker each", step: filling, want: 2},
		{name: "a task that no worker suits", step: labelled, want: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addStandbyPool(50)
			fx.addReadyWorkers("a", "b")
			fx.listVMs(append(standbyVMs(80), vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))...)
			fx.submitJob("j", tc.step)
			fx.advance(3 * time.Second)
			must.Eq(t, tc.want, len(takeOrders[VMOrder](fx)))
		})
	}
}
