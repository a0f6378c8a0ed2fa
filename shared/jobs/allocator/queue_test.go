package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// recordOfQueue returns the record of a job of queue q with a number of steps, one
// after the other, as a manager stores it that knows the queue.
func recordOfQueue(t *testing.T, id string, steps int) JobRecorded {
	t.Helper()
	qu := configurationWith(1, "p").Configuration.Queues["q"]
	qu.Host, qu.Prefix = "h", "/q/"
	jb := modeller.Job{
		ID:     modeller.JobID(id),
		Queue:  "q",
		Origin: qu,
	}
	for number := range steps {
		st := oneTaskStep()
		if number > 0 {
			st.DependsOn = []int{number - 1}
		}
		jb.Steps = append(jb.Steps, st)
	}
	data, err := modeller.EncodeJob(modeller.JobRecord{Job: jb})
	must.NoError(t, err)
	jr, err := modeller.DecodeJob(data)
	must.NoError(t, err)
	return JobRecorded{Record: jr}
}

// withoutQueues returns a configuration without queues.
func withoutQueues(version int64) ConfigurationLoaded {
	cf := configurationWith(version, "p")
	cf.Configuration.Queues = map[string]modeller.Queue{}
	return cf
}

// TestJobOfRemovedQueueGoesOn guards against accepted jobs that stop for good when
// their queue is removed.
func TestJobOfRemovedQueueGoesOn(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.apply(recordOfQueue(t, "j", 2))
	fx.storeBatch()
	first := takeOrders[StartOrder](fx)
	must.Len(t, 1, first)
	fx.acceptStart(first[0])
	fx.apply(withoutQueues(2))
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: first[0].Task, Attempt: 1, Kind: modeller.EndDone})
	second := takeOrders[StartOrder](fx)
	must.Len(t, 1, second)
	must.Eq(t, 1, second[0].Task.Step)
	must.Eq(t, 1, fx.al.demandByPool(fx.now)["p"].resources.MilliCores/1000, must.Sprint("the pool keeps VMs for the job"))
}

// TestLaterHolderRunsJobsOfRemovedQueues guards against accepted jobs that stop when
// the duty changes hands, since the new holder has never known their queue.
func TestLaterHolderRunsJobsOfRemovedQueues(t *testing.T) {
	fx := newFixture(t)
	fx.apply(withoutQueues(2))
	fx.addReadyWorkers("a")
	fx.apply(recordOfQueue(t, "j", 1))
	fx.storeBatch()
	must.Len(t, 1, takeOrders[StartOrder](fx))
	must.Eq(t, 0, fx.al.Pending(modeller.Queue{Name: "other"}))
}

// TestAttemptsAreCountedWhileAQueueIsMissing guards against a start after the last
// permitted attempt has failed, since the limit wasn't known at that time.
func TestAttemptsAreCountedWhileAQueueIsMissing(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.apply(recordOfQueue(t, "j", 1))
	fx.storeBatch()
	for number := range int64(2) {
		starts := takeOrders[StartOrder](fx)
		must.Len(t, 1, starts)
		fx.acceptStart(starts[0])
		if number == 1 {
			fx.apply(withoutQueues(2))
		}
		fx.advance(50 * time.Millisecond)
		fx.report(string(starts[0].Worker.ID), nil, modeller.End{Number: number + 1, Task: starts[0].Task, Attempt: starts[0].Attempt, Kind: modeller.EndFailed})
		fx.storeBatch()
	}
	fx.apply(configurationWith(3, "p"))
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil)
	fx.report("b", nil)
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("both attempts have failed"))
	must.Eq(t, modeller.JobFailed, fx.al.retained["j"].state)
}

// TestLowerLimitOfAttemptsHolds guards against a start beyond a limit that a newer
// configuration has lowered.
func TestLowerLimitOfAttemptsHolds(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.apply(recordOfQueue(t, "j", 1))
	fx.storeBatch()
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	cf := configurationWith(2, "p")
	qu := cf.Configuration.Queues["q"]
	qu.MaxAttempts = 1
	cf.Configuration.Queues["q"] = qu
	fx.report(string(starts[0].Worker.ID), nil, modeller.End{Number: 1, Task: starts[0].Task, Attempt: 1, Kind: modeller.EndFailed})
	fx.apply(cf)
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

// TestPoolOfRemovedQueueGetsVMs guards against a pool that gets no VMs for jobs whose
// queue, its only one, was removed.
func TestPoolOfRemovedQueueGetsVMs(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	cf := withoutQueues(2)
	cf.Configuration.Pools["spare"] = modeller.Pool{Name: "spare", IsStandby: true}
	fx.apply(cf)
	for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"} {
		fx.apply(recordOfQueue(t, id, 1))
	}
	spare := modeller.VM{Name: "vm-spare", Pool: "spare", State: modeller.VMUp}
	fx.listVMs(vmOf("a", modeller.VMUp), spare)
	fx.advance(500 * time.Millisecond)
	moves := takeOrders[VMOrder](fx)
	must.Len(t, 1, moves)
	must.Eq(t, "p", moves[0].Pool)
}
