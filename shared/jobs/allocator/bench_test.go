package allocator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// fullFleetPools are the numbers of workers of the full fleet's pools.
var fullFleetPools = []int{61, 69, 78, 85, 56}

// fullFleet is a fixture with 349 workers in five pools of two queues each.
// Every worker is full of tasks of two cores.
type fullFleet struct {
	*fixture
	ids     []modeller.WorkerID
	nextEnd int64
}

// newFullFleet returns a full fleet on which a number of jobs wait.
func newFullFleet(t testing.TB, waitingJobs int) *fullFleet {
	ff := &fullFleet{
		fixture: newFixture(t),
	}
	ff.apply(ConfigurationLoaded{
		Configuration: fullFleetConfiguration(),
	})
	ff.listWorkers()
	ff.apply(RecordsLoaded{})
	ff.storeAll()
	ff.reportAll()
	ff.advance(50 * time.Millisecond)
	ff.reportAll()
	ff.fill()
	for number := range waitingJobs {
		ff.submitWide(fmt.Sprintf("w%05d", number), number%len(fullFleetPools), number%2)
	}
	ff.storeAll()
	ff.advance(50 * time.Millisecond)
	ff.orders = nil
	return ff
}

func fullFleetConfiguration() modeller.Configuration {
	cf := modeller.Configuration{
		Version: 2,
		Queues:  map[string]modeller.Queue{},
		Pools:   map[string]modeller.Pool{},
	}
	for pool := range fullFleetPools {
		cf.Pools[poolName(pool)] = modeller.Pool{Name: poolName(pool)}
		for priority := range 2 {
			cf.Queues[queueName(pool, priority)] = modeller.Queue{
				Name:        queueName(pool, priority),
				Pool:        poolName(pool),
				Priority:    priority,
				MaxAttempts: 3,
				Stretch:     1.6,
				Slack:       time.Minute,
			}
		}
	}
	return cf
}

func poolName(pool int) string { return fmt.Sprintf("p%d", pool) }

func queueName(pool, priority int) string { return fmt.Sprintf("q%d-%d", pool, priority) }

// listWorkers lists the workers and their VMs. Half of them have 16 cores, the
// others 32.
func (ff *fullFleet) listWorkers() {
	var vms []modeller.VM
	for pool, count := range fullFleetPools {
		for index := range count {
			id := modeller.WorkerID(fmt.Sprintf("%s-%02d", poolName(pool), index))
			ff.ids = append(ff.ids, id)
			ff.apply(WorkerListed{
				Worker: modeller.Worker{
					ID:      id,
					Pool:    poolName(pool),
					Address: netip.MustParseAddrPort("127.0.0.1:9000"),
					Capacity: modeller.Resources{
						MilliCores: 16000 << (index % 2),
						MemoryMB:   64000,
					},
					VM:          "vm-" + string(id),
					StartedAtMS: 1,
				},
			})
			vms = append(vms, modeller.VM{
				Name:   "vm-" + string(id),
				Pool:   poolName(pool),
				State:  modeller.VMUp,
				Worker: id,
			})
		}
	}
	ff.listVMs(vms...)
}

// submitWide records a job of one step of eight tasks.
func (ff *fullFleet) submitWide(id string, pool, priority int) {
	ff.submitWideOf(id, "", pool, priority)
}

func (ff *fullFleet) submitWideOf(id, team string, pool, priority int) {
	ff.apply(JobRecorded{
		Record: modeller.JobRecord{
			Job: modeller.Job{
				ID:    modeller.JobID(id),
				Queue: queueName(pool, priority),
				Team:  team,
				Steps: []modeller.Step{{
					Count: 8,
					Demand: modeller.Resources{
						MilliCores: 2000,
						MemoryMB:   100,
					},
					Estimate: time.Second,
				}},
			},
		},
	})
}

// fill starts tasks until every worker is full.
func (ff *fullFleet) fill() {
	for pool, count := range fullFleetPools {
		small := (count + 1) / 2
		large := count - small
		for number := range small + 2*large {
			ff.submitWide(fmt.Sprintf("r%d-%04d", pool, number), pool, 0)
		}
	}
	ff.storeAll()
	ff.advance(25 * time.Millisecond)
	for _, od := range ff.orders {
		if so, ok := od.(StartOrder); ok {
			ff.acceptStart(so)
		}
	}
	ff.orders = nil
	for _, wk := range ff.al.workers.byID {
		must.Eq(ff.t, wk.info.Capacity.MilliCores, wk.used.MilliCores)
	}
}

// storeAll stores all pending batches.
func (ff *fullFleet) storeAll() {
	for batch := ff.al.Batch(ff.now); batch != nil; batch = ff.al.Batch(ff.now) {
		ff.apply(BatchStored{Batch: batch})
	}
}

// reportAll applies a report of each worker.
func (ff *fullFleet) reportAll() {
	for _, id := range ff.ids {
		ff.reportRuns(id)
	}
}

// reportRuns applies a report of a worker with all its runs.
func (ff *fullFleet) reportRuns(id modeller.WorkerID, ended ...modeller.End) {
	var running []modeller.Run
	for _, rn := range ff.al.workers.byID[id].sortedRuns() {
		if len(ended) > 0 && rn.name == ended[0].Task {
			continue
		}
		running = append(running, modeller.Run{
			Task:     rn.name,
			Attempt:  rn.attempt,
			Progress: 10,
		})
	}
	ff.report(string(id), running, ended...)
}

// plan makes one plan and discards its orders. A periodic plan includes the
// time-driven decisions.
func (ff *fullFleet) plan(isPeriodic bool) []Order {
	if isPeriodic {
		ff.al.periodicAt = time.Time{}
		ff.al.fleet.movesPlannedAt = time.Time{}
	}
	return ff.al.Plan(ff.now, ff.now)
}

var benchmarkedWaitingJobs = []int{0, 100, 1000, 4000}

// benchmarkFullFleet measures a function for each number of waiting jobs.
func benchmarkFullFleet(b *testing.B, measured func(ff *fullFleet)) {
	for _, waitingJobs := range benchmarkedWaitingJobs {
		b.Run(fmt.Sprintf("waiting=%d", waitingJobs), func(b *testing.B) {
			ff := newFullFleet(b, waitingJobs)
			b.ReportAllocs()
			for b.Loop() {
				measured(ff)
			}
		})
	}
}

// BenchmarkPlanAfterStartResult measures a plan after an event that changes
// nothing.
func BenchmarkPlanAfterStartResult(b *testing.B) {
	benchmarkFullFleet(b, func(ff *fullFleet) {
		ff.apply(StartResult{
			Worker:  ff.ids[0],
			Outcome: Accepted,
		})
		ff.plan(false)
	})
}

// BenchmarkPeriodicPlan measures a plan with all time-driven decisions.
func BenchmarkPeriodicPlan(b *testing.B) {
	benchmarkFullFleet(b, func(ff *fullFleet) {
		ff.plan(true)
	})
}

// BenchmarkPlanAfterEnd measures the report of a run's end, and the plan that
// starts the next task.
func BenchmarkPlanAfterEnd(b *testing.B) {
	benchmarkFullFleet(b, (*fullFleet).endOneRun)
}

// endOneRun reports the end of a run and makes a plan.
func (ff *fullFleet) endOneRun() {
	id := ff.ids[0]
	rn := ff.al.workers.byID[id].sortedRuns()[0]
	ff.nextEnd++
	ff.reportRuns(id, modeller.End{
		Task:    rn.name,
		Attempt: rn.attempt,
		Kind:    modeller.EndStopped,
		Number:  ff.nextEnd,
	})
	ff.plan(false)
	ff.al.logEntries = nil
}

// BenchmarkReport measures the report of a worker with ten runs, without a plan.
func BenchmarkReport(b *testing.B) {
	ff := newFullFleet(b, 0)
	wk := ff.al.workers.byID[ff.ids[1]]
	for len(wk.runs) > 10 {
		wk.removeRun(wk.sortedRuns()[0])
	}
	b.ReportAllocs()
	for b.Loop() {
		ff.reportRuns(wk.info.ID)
	}
}
