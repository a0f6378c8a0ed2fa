package allocator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// busyFleet is a fixture whose workers run their tasks in virtual time, under a
// demand that moves from queue to queue.
type busyFleet struct {
	*fixture
	random  *rand.Rand
	workers map[modeller.WorkerID]*busyWorker
	ends    endHeap
	pools   int
	nextJob int
	starts  int
	// teams is the number of teams whose jobs submitTurn submits in turn.
	teams int
	// onStart is called for each start, if it isn't nil.
	onStart func(so StartOrder)
}

// busyWorker is a worker of a busyFleet.
type busyWorker struct {
	id      modeller.WorkerID
	running map[modeller.TaskName]modeller.Run
	ended   []modeller.End
	nextEnd int64
	// changedAt is when the first end since the last report occurred, or zero.
	hasChanged bool
	reportedAt time.Time
	// silentUntil is the time until which the worker doesn't report.
	silentUntil time.Time
}

// taskEnd is the time at which a run ends.
type taskEnd struct {
	at      time.Time
	worker  *busyWorker
	task    modeller.TaskName
	attempt int
}

type endHeap []taskEnd

func (eh endHeap) Len() int           { return len(eh) }
func (eh endHeap) Less(a, b int) bool { return eh[a].at.Before(eh[b].at) }
func (eh endHeap) Swap(a, b int)      { eh[a], eh[b] = eh[b], eh[a] }

// Push implements heap.Interface.
func (eh *endHeap) Push(value any) { *eh = append(*eh, value.(taskEnd)) }

// Pop implements heap.Interface.
func (eh *endHeap) Pop() any {
	last := len(*eh) - 1
	te := (*eh)[last]
	*eh = (*eh)[:last]
	return te
}

// newBusyFleet returns a fleet of workers with 32 cores in four pools, with long-running
// jobs.
func newBusyFleet(t testing.TB, workers int) *busyFleet {
	bf := newFleetInPools(t, workers, 4)
	for pool := range bf.pools {
		for range 8 {
			bf.submit(pool, longRunningStep(24))
		}
	}
	bf.run(time.Second)
	bf.starts = 0
	return bf
}

// newFleetInPools returns a fleet of workers with 32 cores in a number of pools.
func newFleetInPools(t testing.TB, workers, pools int, opts ...Option) *busyFleet {
	bf := &busyFleet{
		fixture: newFixture(t, opts...),
		random:  rand.New(rand.NewPCG(1, 2)),
		workers: map[modeller.WorkerID]*busyWorker{},
		pools:   pools,
	}
	cf := modeller.Configuration{
		Version: 2,
		Queues:  map[string]modeller.Queue{},
		Pools:   map[string]modeller.Pool{"spare": {Name: "spare", IsStandby: true}},
	}
	for pool := range pools {
		cf.Pools[poolName(pool)] = modeller.Pool{Name: poolName(pool)}
		cf.Queues[queueName(pool, 0)] = modeller.Queue{
			Name:        queueName(pool, 0),
			Pool:        poolName(pool),
			MaxAttempts: 3,
			Stretch:     1.6,
			Slack:       600 * time.Millisecond,
		}
	}
	bf.apply(ConfigurationLoaded{Configuration: cf})
	var vms []modeller.VM
	for number := range workers {
		info := modeller.Worker{
			ID:          modeller.WorkerID(fmt.Sprintf("i-%08x", number*2654435761%(1<<32))),
			Pool:        poolName(number % pools),
			Address:     netip.MustParseAddrPort("127.0.0.1:9000"),
			Labels:      []string{"a", fmt.Sprintf("r%d", number/12)},
			Capacity:    modeller.Resources{MilliCores: 32000, MemoryMB: 65536},
			VM:          fmt.Sprintf("m%05d", number),
			StartedAtMS: 1,
		}
		bf.workers[info.ID] = &busyWorker{id: info.ID, running: map[modeller.TaskName]modeller.Run{}}
		bf.apply(WorkerListed{Worker: info})
		vms = append(vms, modeller.VM{Name: info.VM, Pool: info.Pool, State: modeller.VMUp, Worker: info.ID})
	}
	bf.listVMs(vms...)
	bf.apply(RecordsLoaded{})
	bf.storeEverything()
	for range 2 {
		bf.run(100 * time.Millisecond)
	}
	return bf
}

func (bf *busyFleet) storeEverything() {
	for batch := bf.al.Batch(bf.now); batch != nil; batch = bf.al.Batch(bf.now) {
		bf.apply(BatchStored{Batch: batch})
	}
}

func (bf *busyFleet) submit(pool int, steps ...modeller.Step) {
	bf.submitOf("", pool, steps...)
}

// submitOf submits a job of a team.
func (bf *busyFleet) submitOf(team string, pool int, steps ...modeller.Step) modeller.JobID {
	bf.nextJob++
	id := modeller.JobID(fmt.Sprintf("%016x", uint64(bf.nextJob)*0x9E3779B97F4A7C15))
	bf.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID:    id,
		Queue: queueName(pool, 0),
		Team:  team,
		Steps: steps,
	}}})
	return id
}

// submitTurn submits the jobs of one step of time. Half of them are of one pool,
// which changes every 4.5 s.
func (bf *busyFleet) submitTurn(jobs float64) {
	count := int(jobs + bf.random.Float64())
	turn := int(bf.now.Sub(time.Unix(1_700_000_000, 0)) / (4500 * time.Millisecond))
	for range count {
		pool := turn % bf.pools
		if bf.random.Float64() < 0.3 {
			pool = bf.random.IntN(bf.pools)
		}
		step := modeller.Step{
			Count:    4 + bf.random.IntN(9),
			Demand:   modeller.Resources{MilliCores: 2000 + bf.random.IntN(6000), MemoryMB: 2000 + bf.random.IntN(8000)},
			Estimate: 900 * time.Millisecond,
		}
		second := step
		second.DependsOn = []int{0}
		team := ""
		if bf.teams > 0 {
			team = teamName(bf.nextJob % bf.teams)
		}
		bf.submitOf(team, pool, step, second)
	}
}

// run plays a duration in steps of 5 ms.
func (bf *busyFleet) run(duration time.Duration) {
	const step = 5 * time.Millisecond
	for end := bf.now.Add(duration); bf.now.Before(end); {
		bf.now = bf.now.Add(step)
		bf.al.ConfirmDuty(bf.now)
		bf.finishTasks()
		for _, wk := range bf.workers {
			if bf.now.Before(wk.silentUntil) {
				continue
			}
			idle := bf.now.Sub(wk.reportedAt)
			if wk.hasChanged && idle >= 30*time.Millisecond || idle >= time.Second {
				bf.reportWorker(wk)
			}
		}
		for _, od := range bf.al.Plan(bf.now, bf.now) {
			bf.carryOut(od)
		}
		bf.storeEverything()
		bf.al.LogEntries()
	}
}

func (bf *busyFleet) finishTasks() {
	for len(bf.ends) > 0 && !bf.ends[0].at.After(bf.now) {
		te := heap.Pop(&bf.ends).(taskEnd)
		if rn, ok := te.worker.running[te.task]; !ok || rn.Attempt != te.attempt {
			continue
		}
		delete(te.worker.running, te.task)
		te.worker.nextEnd++
		te.worker.hasChanged = true
		te.worker.ended = append(te.worker.ended, modeller.End{Number: te.worker.nextEnd, Task: te.task, Attempt: te.attempt, Kind: modeller.EndDone})
	}
}

func (bf *busyFleet) reportWorker(wk *busyWorker) {
	wk.reportedAt = bf.now
	wk.hasChanged = false
	var running []modeller.Run
	for _, rn := range wk.running {
		running = append(running, rn)
	}
	bf.report(string(wk.id), running, wk.ended...)
	wk.ended = nil
}

func (bf *busyFleet) carryOut(od Order) {
	switch od := od.(type) {
	case StartOrder:
		bf.starts++
		if bf.onStart != nil {
			bf.onStart(od)
		}
		wk := bf.workers[od.Worker.ID]
		wk.running[od.Task] = modeller.Run{Task: od.Task, Attempt: od.Attempt, Progress: 50}
		bf.apply(StartResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: Accepted})
		jb := bf.al.jobs[od.Task.Job]
		if jb.info.Steps[od.Task.Step].IsLongRunning {
			wk.running[od.Task] = modeller.Run{Task: od.Task, Attempt: od.Attempt, Progress: 100}
			return
		}
		duration := 500*time.Millisecond + time.Duration(bf.random.IntN(800))*time.Millisecond
		heap.Push(&bf.ends, taskEnd{at: bf.now.Add(duration), worker: wk, task: od.Task, attempt: od.Attempt})
	case StopOrder:
		bf.stop(bf.workers[od.Worker.ID], od)
	case VMOrder:
		bf.apply(VMOrderResult{Order: od, Outcome: Busy})
	case ListVMsOrder:
		bf.al.fleet.isListInFlight = false
	}
}

// stop ends a run, if the worker has it.
func (bf *busyFleet) stop(wk *busyWorker, so StopOrder) {
	if rn, ok := wk.running[so.Task]; ok && rn.Attempt == so.Attempt {
		delete(wk.running, so.Task)
		wk.nextEnd++
		wk.hasChanged = true
		wk.ended = append(wk.ended, modeller.End{Number: wk.nextEnd, Task: so.Task, Attempt: so.Attempt, Kind: modeller.EndStopped})
	}
	bf.apply(StopResult{Worker: wk.id, Task: so.Task, Attempt: so.Attempt, Outcome: Accepted})
}

// BenchmarkBusyFleet measures the decisions of a fleet for each start.
func BenchmarkBusyFleet(b *testing.B) {
	for _, size := range []struct{ workers, jobsPerSecond int }{{550, 75}, {3000, 220}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			bf := newBusyFleet(b, size.workers)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				for range 200 {
					bf.submitTurn(float64(size.jobsPerSecond) / 200)
					bf.run(5 * time.Millisecond)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(bf.starts, 1)), "ns/start")
			b.ReportMetric(float64(bf.starts)/float64(b.N), "starts/s")
		})
	}
}
