package allocator

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

var testBounds = Bounds{
	RunLease:        5 * time.Second,
	MaxRunLease:     10 * time.Second,
	MaxOverrun:      6 * time.Second,
	PollWait:        time.Second,
	DutyLease:       1500 * time.Millisecond,
	StopGrace:       900 * time.Millisecond,
	StatusRetention: time.Minute,
	MaintenanceTime: 2 * time.Second,
	VMOrderRate:     64,
}

// fixture is an allocator in virtual time. Workers report only when a test
// makes them report.
type fixture struct {
	t   testing.TB
	al  *Allocator
	now time.Time
	// wallAhead is by how much the holder's wall clock is ahead.
	wallAhead time.Duration
	// confirmsDuty is true while the duty is confirmed whenever time advances.
	confirmsDuty bool
	orders       []Order
	// progress is the stored progress of the jobs.
	progress map[modeller.JobID]modeller.Progress
	// roster is the stored roster, and waves the stored progress of the waves.
	roster []modeller.RosterEntry
	waves  map[int64]WaveProgress
}

func newFixture(t testing.TB, opts ...Option) *fixture {
	begin := time.Unix(1_700_000_000, 0)
	fx := &fixture{
		t:            t,
		al:           New(begin, testBounds, opts...),
		now:          begin,
		confirmsDuty: true,
		progress:     map[modeller.JobID]modeller.Progress{},
		waves:        map[int64]WaveProgress{},
	}
	fx.apply(ConfigurationLoaded{
		Configuration: modeller.Configuration{
			Version: 1,
			Queues: map[string]modeller.Queue{"q": {
				Name:        "q",
				Pool:        "p",
				MaxAttempts: 2,
				Stretch:     1.6,
				Slack:       600 * time.Millisecond,
			}},
			Pools: map[string]modeller.Pool{"p": {Name: "p"}},
		},
	})
	return fx
}

func (fx *fixture) apply(ev Event) { fx.al.Apply(fx.now, ev) }

// state returns the state of a job, or an empty one if it is unknown.
func (fx *fixture) state(id modeller.JobID) modeller.JobState {
	status, _ := fx.al.Status(id)
	return status.State
}

// advance advances the time in steps and plans after each.
func (fx *fixture) advance(duration time.Duration) {
	const step = 25 * time.Millisecond
	for end := fx.now.Add(duration); fx.now.Before(end); {
		fx.now = fx.now.Add(step)
		if fx.confirmsDuty {
			fx.al.ConfirmDuty(fx.now)
		}
		fx.orders = append(fx.orders, fx.al.Plan(fx.now, fx.now.Add(fx.wallAhead))...)
	}
}

// takeOrders advances the time by 25 ms, returns the orders of a type since the
// last call, and discards all others.
func takeOrders[T Order](fx *fixture) []T {
	fx.advance(25 * time.Millisecond)
	var found []T
	for _, od := range fx.orders {
		if match, ok := od.(T); ok {
			found = append(found, match)
		}
	}
	fx.orders = nil
	return found
}

// listWorker lists a worker of pool p in the directory.
func (fx *fixture) listWorker(id string) {
	fx.apply(WorkerListed{
		Worker: modeller.Worker{
			ID:      modeller.WorkerID(id),
			Pool:    "p",
			Address: netip.MustParseAddrPort("127.0.0.1:9000"),
			Capacity: modeller.Resources{
				MilliCores: 4000,
				MemoryMB:   4000,
			},
			VM:          "vm-" + id,
			StartedAtMS: 1,
		},
	})
}

// report applies a worker's answer to a poll that was sent 1 ms ago.
func (fx *fixture) report(id string, running []modeller.Run, ended ...modeller.End) {
	fx.reportPollSentAt(fx.now.Add(-time.Millisecond), id, running, ended...)
}

// rosterOf returns a roster of workers of which no incarnation is settled.
func rosterOf(workers ...modeller.Worker) []modeller.RosterEntry {
	var roster []modeller.RosterEntry
	for _, wk := range workers {
		roster = append(roster, modeller.RosterEntry{Worker: wk})
	}
	return roster
}

// reportPollSentAt applies a worker's answer to a poll that was sent at the
// given time.
func (fx *fixture) reportPollSentAt(sentAt time.Time, id string, running []modeller.Run, ended ...modeller.End) {
	fx.apply(ReportReceived{
		Worker:     modeller.WorkerID(id),
		SentAt:     sentAt,
		ReceivedAt: fx.now,
		Report: modeller.Report{
			StartedAtMS: 1,
			Clock:       time.Hour + fx.now.Sub(time.Unix(1_700_000_000, 0)),
			Running:     running,
			Ended:       ended,
		},
	})
}

// addReadyWorkers lists workers, marks the records as loaded and applies two
// reports of each worker, so that they have leases.
func (fx *fixture) addReadyWorkers(ids ...string) {
	for _, id := range ids {
		fx.listWorker(id)
	}
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	for range 2 {
		fx.advance(50 * time.Millisecond)
		for _, id := range ids {
			fx.report(id, nil)
		}
		fx.storeBatch()
	}
	fx.advance(50 * time.Millisecond)
	fx.orders = nil
}

// submitJob records a job with one step and stores the pending batch.
func (fx *fixture) submitJob(id string, st modeller.Step) {
	fx.apply(JobRecorded{
		Record: modeller.JobRecord{
			Job: modeller.Job{
				ID:    modeller.JobID(id),
				Queue: "q",
				Steps: []modeller.Step{st},
			},
		},
	})
	fx.storeBatch()
}

// oneTaskJobRecorded returns the record of a job with one task.
func oneTaskJobRecorded(id string) JobRecorded {
	return JobRecorded{
		Record: modeller.JobRecord{
			Job: modeller.Job{
				ID:    modeller.JobID(id),
				Queue: "q",
				Steps: []modeller.Step{oneTaskStep()},
			},
		},
	}
}

// storeBatch stores the pending batch, if there is one.
func (fx *fixture) storeBatch() {
	if batch := fx.al.Batch(fx.now); batch != nil {
		for _, pg := range batch.Progress {
			fx.progress[pg.ID] = pg
		}
		for _, wp := range batch.Waves {
			fx.waves[wp.Number] = wp
		}
		if batch.Roster != nil {
			fx.roster = batch.Roster
		}
		fx.apply(BatchStored{Batch: batch})
	}
}

// takeMaintenance stores what is to be stored before maintenance is ordered, and
// returns the VM orders since the last call.
func (fx *fixture) takeMaintenance() []VMOrder {
	fx.advance(25 * time.Millisecond)
	fx.storeBatch()
	return takeOrders[VMOrder](fx)
}

// oneTaskStep returns a step of one task.
func oneTaskStep() modeller.Step {
	return modeller.Step{
		Count: 1,
		Demand: modeller.Resources{
			MilliCores: 1000,
			MemoryMB:   100,
		},
		Estimate: time.Second,
	}
}

// longRunningStep returns a long-running step of which one task may be
// unavailable.
func longRunningStep(count int) modeller.Step {
	st := oneTaskStep()
	st.Count = count
	st.IsLongRunning = true
	st.MaxPerWorker = 1
	st.MaxUnavailable = 1
	return st
}

func taskName(job string, index int) modeller.TaskName {
	return modeller.TaskName{Job: modeller.JobID(job), Index: index}
}

// acceptStart applies a worker's acceptance of a start.
func (fx *fixture) acceptStart(so StartOrder) {
	fx.apply(StartResult{Worker: so.Worker.ID, Task: so.Task, Attempt: so.Attempt, Outcome: Accepted})
}

// startOneTaskJob submits a job of one task and accepts its start.
func (fx *fixture) startOneTaskJob(id string) StartOrder {
	fx.submitJob(id, oneTaskStep())
	starts := takeOrders[StartOrder](fx)
	must.Len(fx.t, 1, starts, must.Sprint(fmt.Sprintf("start orders of job %s", id)))
	fx.acceptStart(starts[0])
	return starts[0]
}

// addWave records a wave of the given VMs and lists these VMs.
func (fx *fixture) addWave(maxDown int, vms ...modeller.VM) {
	wave := modeller.Wave{
		Number:   1,
		Duration: 5 * time.Second,
		MaxDown:  maxDown,
	}
	for _, vm := range vms {
		wave.VMs = append(wave.VMs, vm.Name)
	}
	fx.apply(WaveRecorded{Wave: wave})
	fx.listVMs(vms...)
}

func (fx *fixture) listVMs(vms ...modeller.VM) {
	fx.apply(VMsListed{VMs: vms, RequestedAt: fx.now})
}

func vmOf(worker string, state modeller.VMState) modeller.VM {
	return modeller.VM{
		Name:   "vm-" + worker,
		Pool:   "p",
		State:  state,
		Worker: modeller.WorkerID(worker),
	}
}

// failPendingPolls fails the polls of a worker that were ordered since the last
// call.
func (fx *fixture) failPendingPolls(id modeller.WorkerID) {
	fx.orders = slices.DeleteFunc(fx.orders, func(od Order) bool {
		po, ok := od.(PollOrder)
		if !ok || po.Worker.ID != id {
			return false
		}
		fx.apply(PollFailed{Worker: id, Outcome: Unanswered})
		return true
	})
}
