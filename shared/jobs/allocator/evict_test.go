package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// waveFixture is a fixture with a wave that is behind schedule. The workers report
// what they run, and complete stops at once.
type waveFixture struct {
	*fixture
	ids   []string
	stops []StopOrder
	moved []VMOrder
}

// newWaveFixture returns a waveFixture with workers.
func newWaveFixture(t *testing.T, ids ...string) *waveFixture {
	wf := &waveFixture{
		fixture: newFixture(t),
		ids:     ids,
	}
	wf.addReadyWorkers(ids...)
	wf.now = wf.now.Add(time.Second)
	return wf
}

// place makes a worker run the first task of a new job.
func (wf *waveFixture) place(id, job string, st modeller.Step) {
	st.Count = 1
	wf.submitJob(job, st)
	wf.run(id, taskName(job, 0))
}

// run makes a worker report a run of a task.
func (wf *waveFixture) run(id string, name modeller.TaskName) {
	wk := wf.al.workers.byID[modeller.WorkerID(id)]
	rn := wf.al.adopt(wf.now, wk, modeller.Run{Task: name, Attempt: 1})
	rn.progress = 100
}

func (wf *waveFixture) reportAll() {
	for _, id := range wf.ids {
		var running []modeller.Run
		for _, rn := range wf.al.workers.byID[modeller.WorkerID(id)].sortedRuns() {
			running = append(running, modeller.Run{Task: rn.name, Attempt: rn.attempt, Progress: 100})
		}
		wf.report(id, running)
	}
}

// startWave records a wave of the VMs of some workers and lets time pass.
func (wf *waveFixture) startWave(duration time.Duration, ids ...string) {
	var waved, vms []modeller.VM
	for _, id := range ids {
		waved = append(waved, vmOf(id, modeller.VMUp))
	}
	for _, id := range wf.ids {
		vms = append(vms, vmOf(id, modeller.VMUp))
	}
	wf.addWave(1, waved...)
	wf.listVMs(vms...)
	for range duration / (100 * time.Millisecond) {
		wf.advance(100 * time.Millisecond)
		for _, od := range wf.orders {
			switch od := od.(type) {
			case StopOrder:
				wf.stops = append(wf.stops, od)
			case VMOrder:
				wf.moved = append(wf.moved, od)
			}
		}
		wf.orders = nil
		wf.reportAll()
		wf.listVMs(vms...)
		wf.storeBatch()
	}
}

func longTask() modeller.Step {
	st := oneTaskStep()
	st.Estimate = 30 * time.Second
	return st
}

func longRunningTask() modeller.Step {
	st := longRunningStep(1)
	st.MaxPerWorker = 0
	return st
}

// TestLongRunningTasksStayWhileNoWorkerTakesThem guards against long-running tasks
// that are stopped for maintenance and have no place, since the other worker of the
// pool is to be maintained too and is busy.
func TestLongRunningTasksStayWhileNoWorkerTakesThem(t *testing.T) {
	wf := newWaveFixture(t, "a", "b")
	wf.submitJob("l", longRunningStep(2))
	for index := range 2 {
		wf.run("a", taskName("l", index))
	}
	wf.place("b", "long", longTask())
	wf.startWave(10*time.Second, "a", "b")
	must.Len(t, 0, wf.stops)
	must.False(t, wf.al.workers.byID["a"].isCordoned, must.Sprint("the only worker that gets tasks"))
}

// TestLongRunningTasksStayWhileOthersAreFull guards against the same where another
// worker gets tasks, but has no room.
func TestLongRunningTasksStayWhileOthersAreFull(t *testing.T) {
	wf := newWaveFixture(t, "a", "b", "c")
	wf.submitJob("l", longRunningStep(2))
	for index := range 2 {
		wf.run("a", taskName("l", index))
	}
	full := longTask()
	full.Demand.MilliCores = 4000
	wf.place("b", "long1", full)
	wf.place("c", "long2", full)
	wf.startWave(10*time.Second, "a")
	must.Len(t, 0, wf.stops)
}

// TestOnlyWorkerOfAPoolIsMaintained guards against a wave that waits forever: a
// long-running task that has no other place is stopped if its VM goes down at once.
func TestOnlyWorkerOfAPoolIsMaintained(t *testing.T) {
	wf := newWaveFixture(t, "a")
	wf.place("a", "l", longRunningTask())
	wf.startWave(3*time.Second, "a")
	must.Positive(t, len(wf.stops))
	must.Eq(t, taskName("l", 0), wf.stops[0].Task)
}

// TestBusyVMsDoNotHoldUpIdleOnes guards against a wave that waits for the VMs with
// long tasks that it has chosen first.
func TestBusyVMsDoNotHoldUpIdleOnes(t *testing.T) {
	wf := newWaveFixture(t, "a", "b", "c", "d")
	for _, id := range []string{"a", "b", "c", "d"} {
		wf.place(id, "long-"+id, longTask())
	}
	wf.startWave(2*time.Second, wf.ids...)
	must.Len(t, 0, wf.moved)
	wk := wf.al.workers.byID["d"]
	must.False(t, wk.isCordoned)
	wf.report("d", nil, modeller.End{Number: 1, Task: taskName("long-d", 0), Attempt: 1, Kind: modeller.EndDone})
	wf.startWave(time.Second, wf.ids...)
	must.Positive(t, len(wf.moved))
	must.Eq(t, "vm-d", wf.moved[0].VM)
}

// TestVMThatGoesDownFreesItsPlaceInTheWave guards against a wave that waits for VMs
// which it has chosen and which have crashed since.
func TestVMThatGoesDownFreesItsPlaceInTheWave(t *testing.T) {
	wf := newWaveFixture(t, "a", "b", "c", "d")
	for _, id := range []string{"a", "b", "c", "d"} {
		wf.place(id, "long-"+id, longTask())
	}
	wf.startWave(2*time.Second, wf.ids...)
	must.MapLen(t, 2, wf.al.fleet.waves[1].evacuating)
	vms := []modeller.VM{vmOf("c", modeller.VMUp), vmOf("d", modeller.VMUp)}
	for _, id := range []string{"a", "b"} {
		vms = append(vms, vmOf(id, modeller.VMDown))
	}
	for range 5 {
		wf.listVMs(vms...)
		wf.reportAll()
		wf.advance(100 * time.Millisecond)
	}
	must.MapContainsKeys(t, wf.al.fleet.waves[1].evacuating, []string{"vm-c", "vm-d"})
}

// Guards against a pool that stands still since its only worker can't be evacuated.
func TestWorkerThatCannotBeEvacuatedGetsTasks(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	st := longRunningStep(2)
	st.MaxPerWorker = 0
	fx.submitJob("l", st)
	must.Len(t, 2, takeOrders[StartOrder](fx))
	running := map[string][]modeller.Run{"a": {
		{Task: taskName("l", 0), Attempt: 1, Progress: 100},
		{Task: taskName("l", 1), Attempt: 1, Progress: 100},
	}}
	fx.reportFor(time.Second, running)
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-a"}, Duration: 5 * time.Second, MaxDown: 1}})
	for range 30 {
		fx.listVMs(vmOf("a", modeller.VMUp))
		fx.reportFor(100*time.Millisecond, running)
	}
	fx.submitJob("j", oneTaskStep())
	fx.listVMs(vmOf("a", modeller.VMUp))
	fx.reportFor(100*time.Millisecond, running)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against tasks that wait without end for the only worker that can run them.
func TestEvacuationThatStallsLetsTasksStart(t *testing.T) {
	fx := newFixture(t)
	labelled := workerIn("a", "p")
	labelled.Labels = []string{"only"}
	labelled.VM = "vm-a"
	fx.apply(WorkerListed{Worker: labelled})
	fx.addReadyWorkers("b")
	fx.reportFor(200*time.Millisecond, map[string][]modeller.Run{"a": nil, "b": nil})
	st := longRunningStep(2)
	st.MaxPerWorker = 0
	st.RequiredLabel = "only"
	fx.submitJob("l", st)
	must.Len(t, 2, takeOrders[StartOrder](fx))
	running := map[string][]modeller.Run{"b": nil, "a": {
		{Task: taskName("l", 0), Attempt: 1, Progress: 100},
		{Task: taskName("l", 1), Attempt: 1, Progress: 100},
	}}
	fx.reportFor(time.Second, running)
	fx.apply(WaveRecorded{Wave: modeller.Wave{Number: 1, VMs: []string{"vm-a"}, Duration: 5 * time.Second, MaxDown: 1}})
	fx.listVMs(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
	fx.reportFor(time.Second, running)
	must.True(t, fx.al.workers.byID["a"].isCordoned)
	task := oneTaskStep()
	task.RequiredLabel = "only"
	fx.submitJob("j", task)
	for range 3 {
		fx.listVMs(vmOf("a", modeller.VMUp), vmOf("b", modeller.VMUp))
		fx.reportFor(time.Second, running)
	}
	must.Positive(t, len(takeOrders[StartOrder](fx)))
}
