package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// configurationWith returns a configuration in which queue q belongs to a pool.
func configurationWith(version int64, pool string) ConfigurationLoaded {
	return ConfigurationLoaded{
		Configuration: modeller.Configuration{
			Version: version,
			Queues: map[string]modeller.Queue{"q": {
				Name:        "q",
				Pool:        pool,
				MaxAttempts: 2,
				Stretch:     1.6,
				Slack:       600 * time.Millisecond,
			}},
			Pools: map[string]modeller.Pool{"p": {Name: "p"}, "p2": {Name: "p2"}},
		},
	}
}

// listWorkerIn lists a worker in a pool.
func (fx *fixture) listWorkerIn(id, pool string) {
	fx.apply(WorkerListed{Worker: workerIn(id, pool)})
}

func workerIn(id, pool string) modeller.Worker {
	return modeller.Worker{
		ID:          modeller.WorkerID(id),
		Pool:        pool,
		Capacity:    modeller.Resources{MilliCores: 4000, MemoryMB: 4000},
		VM:          "vm-" + id,
		StartedAtMS: 1,
	}
}

// takeOver returns the fixture of a later holder, which has loaded the records of
// this one. Its workers are a in pool p and b in pool p2, of which only b reports.
func (fx *fixture) takeOver(cf ConfigurationLoaded, records ...JobRecorded) *fixture {
	later := newFixture(fx.t)
	later.al = New(fx.now, testBounds)
	later.now = fx.now
	later.apply(cf)
	for _, pg := range fx.progress {
		data := modeller.EncodeProgress(pg)
		decoded, err := modeller.DecodeProgress(data)
		must.NoError(fx.t, err)
		later.apply(ProgressLoaded{Progress: decoded})
	}
	later.apply(RosterLoaded{Workers: rosterOf(workerIn("a", "p"), workerIn("b", "p2"))})
	later.listWorkerIn("a", "p")
	later.listWorkerIn("b", "p2")
	for _, record := range records {
		later.apply(record)
	}
	later.apply(RecordsLoaded{})
	later.storeBatch()
	later.keepReporting("b", 200*time.Millisecond)
	return later
}

// keepReporting makes an idle worker report for a duration.
func (fx *fixture) keepReporting(id string, duration time.Duration) {
	for range duration / (50 * time.Millisecond) {
		fx.advance(50 * time.Millisecond)
		fx.report(id, nil)
		fx.storeBatch()
	}
}

// TestTaskOfMovedQueueIsAwaitedInItsEarlierPool guards against a second run of a
// task after a takeover: its queue has another pool by then, and the worker that
// runs it is cut off.
func TestTaskOfMovedQueueIsAwaitedInItsEarlierPool(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.startOneTaskJob("j")
	fx.storeBatch()
	later := fx.takeOver(configurationWith(2, "p2"), oneTaskJobRecorded("j"))
	later.keepReporting("b", 5*time.Second)
	must.Len(t, 0, takeOrders[StartOrder](later), must.Sprint("the lease of worker a is still valid"))
	later.keepReporting("b", 8*time.Second)
	must.Len(t, 1, takeOrders[StartOrder](later), must.Sprint("the lease of worker a has expired"))
}

// TestTaskWaitsInNewPoolUntilItIsStored guards against a second run after two
// changes of a queue's pool: the record has to name the second pool before a start
// there, since the next holder knows the present pool alone.
func TestTaskWaitsInNewPoolUntilItIsStored(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.listWorkerIn("b", "p2")
	fx.keepReporting("b", 200*time.Millisecond)
	fx.apply(oneTaskJobRecorded("j"))
	fx.storeBatch()
	fx.apply(configurationWith(2, "p2"))
	fx.advance(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the stored record names pool p alone"))
	fx.storeBatch()
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, "b", starts[0].Worker.ID)
}

// TestTaskOfUnknownPoolsIsAwaitedInAllPools guards against a second run of a task
// whose progress was stored by a version that didn't name the pools.
func TestTaskOfUnknownPoolsIsAwaitedInAllPools(t *testing.T) {
	fx := newFixture(t)
	fx.progress["j"] = modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1}}}
	later := fx.takeOver(configurationWith(2, "p2"), oneTaskJobRecorded("j"))
	later.keepReporting("b", 5*time.Second)
	must.Len(t, 0, takeOrders[StartOrder](later))
}

// TestWorkerThatNeverReportedHoldsUpNoJob guards against jobs that wait for the
// longest lease after a takeover, since another writer's entry names a worker that
// doesn't exist.
func TestWorkerThatNeverReportedHoldsUpNoJob(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.listWorker("odd")
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil)
	fx.failPendingPolls("odd")
	fx.storeBatch()
	so := fx.startOneTaskJob("j")
	fx.storeBatch()
	fx.report("a", []modeller.Run{{Task: so.Task, Attempt: so.Attempt}})
	later := newFixture(t)
	later.al = New(fx.now, testBounds)
	later.now = fx.now
	later.apply(configurationWith(1, "p"))
	later.apply(ProgressLoaded{Progress: fx.progress["j"]})
	later.apply(RosterLoaded{Workers: fx.roster})
	later.listWorker("a")
	later.listWorker("odd")
	later.apply(oneTaskJobRecorded("j"))
	later.apply(RecordsLoaded{})
	later.keepReporting("a", 500*time.Millisecond)
	must.Len(t, 1, takeOrders[StartOrder](later), must.Sprint("worker a doesn't run the task, and no other one ever could"))
}

// TestTasksOfUnknownProgressAreNotStarted guards against second runs of tasks that
// are done, since the stored progress of their job can't be decoded.
func TestTasksOfUnknownProgressAreNotStarted(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "j"}, IsInvalid: true})
	fx.apply(oneTaskJobRecorded("j"))
	fx.addReadyWorkers("a")
	for range 30 {
		fx.advance(500 * time.Millisecond)
		fx.report("a", nil)
		fx.storeBatch()
	}
	must.Len(t, 0, takeOrders[StartOrder](fx))
	must.MapNotContainsKey(t, fx.progress, "j", must.Sprint("the record is kept"))
	fx.apply(CancelRecorded{Job: "j"})
	batch := fx.al.Batch(fx.now)
	must.Len(t, 1, batch.Ended)
}

// FuzzStoredRecords loads any records that can be decoded, which must not end the
// process.
func FuzzStoredRecords(f *testing.F) {
	f.Add([]byte(`{"id":"j","queue":"q","steps":[{"count":2},{"count":1,"after":[0]}]}`), modeller.EncodeProgress(modeller.Progress{ID: "j", Queue: "q", Tasks: []modeller.TaskProgress{{Attempt: 1, IsDone: true}}}))
	f.Add([]byte(`{"id":"j","queue":"q","steps":[{"count":1}],"occurrences":3,"firstAtMs":1}`), []byte(`{"id":"j","tasks":[{"k":2,"attempt":7}]}`))
	f.Fuzz(func(t *testing.T, job, progress []byte) {
		fx := newFixture(t)
		if pg, err := modeller.DecodeProgress(progress); err == nil {
			fx.apply(ProgressLoaded{Progress: pg})
		}
		jr, err := modeller.DecodeJob(job)
		if err != nil || len(jr.Job.Steps) > 10 {
			return
		}
		for _, st := range jr.Job.Steps {
			if st.Count > 100 {
				return
			}
		}
		fx.apply(JobRecorded{Record: jr})
		fx.addReadyWorkers("a")
		fx.advance(100 * time.Millisecond)
		fx.storeBatch()
	})
}
