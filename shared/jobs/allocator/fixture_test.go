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

// testBounds are the bounds of the tests.
var testBounds = Bounds{
	RunLease:        5 * time.Second,
	MaxOverrun:      6 * time.Second,
	PollWait:        time.Second,
	DutyLease:       1500 * time.Millisecond,
	StopGrace:       900 * time.Millisecond,
	StatusRetention: time.Minute,
	MaintenanceTime: 2 * time.Second,
}

// fixture is an allocator in virtual time. Workers report only when a test has
// them report.
type fixture struct {
	t   *testing.T
	al  *Allocator
	now time.Time
	// isConfirmed has the duty confirmed whenever time passes.
	isConfirmed bool
	orders      []Order
}

func newFixture(t *testing.T) *fixture {
	begin := time.Unix(1_700_000_000, 0)
	fx := &fixture{
		t:           t,
		al:          New(begin, testBounds),
		now:         begin,
		isConfirmed: true,
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

// pass lets time pass in steps, with plans between.
func (fx *fixture) pass(duration time.Duration) {
	const stride = 25 * time.Millisecond
	for end := fx.now.Add(duration); fx.now.Before(end); {
		fx.now = fx.now.Add(stride)
		if fx.isConfirmed {
			fx.al.ConfirmDuty(fx.now)
		}
		fx.orders = append(fx.orders, fx.al.Plan(fx.now, fx.now)...)
	}
}

// ordersOf returns the orders of a kind since the last call and forgets all.
func ordersOf[T Order](fx *fixture) []T {
	fx.pass(25 * time.Millisecond)
	var found []T
	for _, od := range fx.orders {
		if of, ok := od.(T); ok {
			found = append(found, of)
		}
	}
	fx.orders = nil
	return found
}

// worker lists a worker of the pool.
func (fx *fixture) worker(id string) {
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

// report has a worker answer a poll that was sent a moment ago.
func (fx *fixture) report(id string, running []modeller.Run, ended ...modeller.End) {
	fx.reportTo(fx.now.Add(-time.Millisecond), id, running, ended...)
}

// reportTo has a worker answer a poll that was sent at a time.
func (fx *fixture) reportTo(sentAt time.Time, id string, running []modeller.Run, ended ...modeller.End) {
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

// ready lists workers, tells that all is loaded and has them report twice, so
// that they have leases.
func (fx *fixture) ready(ids ...string) {
	for _, id := range ids {
		fx.worker(id)
	}
	fx.apply(RecordsLoaded{})
	fx.store()
	for range 2 {
		fx.pass(50 * time.Millisecond)
		for _, id := range ids {
			fx.report(id, nil)
		}
	}
	fx.pass(50 * time.Millisecond)
	fx.orders = nil
}

// submit records a job with one step.
func (fx *fixture) submit(id string, st modeller.Step) {
	fx.apply(JobRecorded{
		Record: modeller.JobRecord{
			Job: modeller.Job{
				ID:    modeller.JobID(id),
				Queue: "q",
				Steps: []modeller.Step{st},
			},
		},
	})
	fx.store()
}

// store has what is due stored.
func (fx *fixture) store() {
	if batch := fx.al.Batch(fx.now); batch != nil {
		fx.apply(BatchStored{Batch: batch})
	}
}

// oneTask is a step of one task.
func oneTask() modeller.Step {
	return modeller.Step{
		Count: 1,
		Demand: modeller.Resources{
			MilliCores: 1000,
			MemoryMB:   100,
		},
		Estimate: time.Second,
	}
}

// lasting is a long-running step that may miss one of its tasks.
func lasting(count int) modeller.Step {
	st := oneTask()
	st.Count = count
	st.IsLongRunning = true
	st.MaxPerWorker = 1
	st.MaxUnavailable = 1
	return st
}

func name(job string, index int) modeller.TaskName {
	return modeller.TaskName{Job: modeller.JobID(job), Index: index}
}

// accept has a worker accept a start.
func (fx *fixture) accept(so StartOrder) {
	fx.apply(StartResult{Worker: so.Worker.ID, Task: so.Task, Attempt: so.Attempt, Outcome: Accepted})
}

// startOne submits a job of one task and has its start accepted.
func (fx *fixture) startOne(id string) StartOrder {
	fx.submit(id, oneTask())
	starts := ordersOf[StartOrder](fx)
	must.Len(fx.t, 1, starts, must.Sprint(fmt.Sprintf("starts of job %s", id)))
	fx.accept(starts[0])
	return starts[0]
}

// wave records a wave of VMs and lists all VMs of the fixture as they are.
func (fx *fixture) wave(maxDown int, vms ...modeller.VM) {
	wave := modeller.Wave{
		Number:   1,
		Duration: 5 * time.Second,
		MaxDown:  maxDown,
	}
	for _, vm := range vms {
		wave.VMs = append(wave.VMs, vm.Name)
	}
	fx.apply(WaveRecorded{Wave: wave})
	fx.list(vms...)
}

func (fx *fixture) list(vms ...modeller.VM) {
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

// failPolls leaves the polls of a worker that were ordered since the last call
// without an answer.
func (fx *fixture) failPolls(id modeller.WorkerID) {
	fx.orders = slices.DeleteFunc(fx.orders, func(od Order) bool {
		po, ok := od.(PollOrder)
		if !ok || po.Worker.ID != id {
			return false
		}
		fx.apply(PollFailed{Worker: id, Outcome: Unanswered})
		return true
	})
}
