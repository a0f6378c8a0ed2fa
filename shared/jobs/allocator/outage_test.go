package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// reportFor lets time pass while workers report their runs.
func (fx *fixture) reportFor(duration time.Duration, running map[string][]modeller.Run) {
	for end := fx.now.Add(duration); fx.now.Before(end); {
		fx.advance(100 * time.Millisecond)
		for id, runs := range running {
			fx.report(id, runs)
		}
		fx.storeBatch()
	}
}

// startOn starts a task on the only worker that has room, and returns its run.
func (fx *fixture) startOn(id string, st modeller.Step) modeller.Run {
	fx.submitJob(id, st)
	starts := takeOrders[StartOrder](fx)
	must.Len(fx.t, 1, starts)
	fx.acceptStart(starts[0])
	return modeller.Run{Task: starts[0].Task, Attempt: starts[0].Attempt, Progress: 100}
}

// Guards against lasting jobs that are stopped for a maintenance that can't be ordered.
func TestLongRunningTaskGoesOnWhileTheVMInterfaceIsOut(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	running := map[string][]modeller.Run{"a": {fx.startOn("l", longRunningStep(1))}}
	fx.listVMs(vmOf("a", modeller.VMUp))
	fx.reportFor(maxVMListAge+100*time.Millisecond, running)
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-a"}, Duration: 5 * time.Second, MaxDown: 1}})
	fx.orders = nil
	fx.reportFor(time.Second, running)
	must.Len(t, 0, takeOrders[StopOrder](fx))
	fx.listVMs(vmOf("a", modeller.VMUp))
	must.Len(t, 1, takeOrders[StopOrder](fx))
}

// Guards against workers that stay idle until a maintenance that can't be ordered.
func TestVMsOfAWaveGetTasksWhileTheVMInterfaceIsOut(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	running := map[string][]modeller.Run{"a": {fx.startOn("j", oneTaskStep())}}
	fx.addWave(1, vmOf("a", modeller.VMUp))
	fx.reportFor(time.Second, running)
	fx.submitJob("k", oneTaskStep())
	fx.orders = nil
	fx.reportFor(time.Second, running)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the worker is evacuated"))
	fx.reportFor(vmOutageAge, running)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}
