package allocator

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Guards against lasting jobs that are taken for completed.
func TestLongRunningTaskThatEndedDoneStartsAgain(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.submitJob("l", longRunningStep(1))
	start := takeOrders[StartOrder](fx)[0]
	fx.acceptStart(start)
	fx.advance(100 * time.Millisecond)
	fx.report(string(start.Worker.ID), nil, modeller.End{Number: 1, Task: start.Task, Attempt: start.Attempt, Kind: modeller.EndDone})
	fx.storeBatch()
	must.Len(t, 1, takeOrders[StartOrder](fx))
	state := fx.state("l")
	must.Eq(t, modeller.JobRunning, state)
}

// permitAttempts sets the limit of attempts of the queue.
func (fx *fixture) permitAttempts(maxAttempts int) {
	cf := configurationWith(2, "p")
	qu := cf.Configuration.Queues["q"]
	qu.MaxAttempts = maxAttempts
	cf.Configuration.Queues["q"] = qu
	fx.apply(cf)
}

// failOnEachWorker fails a task on each worker of the pool, and returns its last start.
func (fx *fixture) failOnEachWorker(ids ...string) StartOrder {
	numbers := map[modeller.WorkerID]int64{}
	var start StartOrder
	for range ids {
		starts := takeOrders[StartOrder](fx)
		must.Len(fx.t, 1, starts)
		start = starts[0]
		fx.acceptStart(start)
		fx.advance(200 * time.Millisecond)
		numbers[start.Worker.ID]++
		for _, id := range ids {
			if id != string(start.Worker.ID) {
				fx.report(id, nil)
				continue
			}
			fx.report(id, nil, modeller.End{Number: numbers[start.Worker.ID], Task: start.Task, Attempt: start.Attempt, Kind: modeller.EndFailed})
		}
		fx.storeBatch()
	}
	return start
}

// Guards against accepted jobs that stand still beside idle workers.
func TestTaskThatHasFailedOnAllWorkersStartsAgain(t *testing.T) {
	fx := newFixture(t)
	fx.permitAttempts(3)
	fx.addReadyWorkers("a", "b")
	fx.submitJob("j", oneTaskStep())
	fx.failOnEachWorker("a", "b")
	for range 10 {
		fx.advance(250 * time.Millisecond)
		fx.report("a", nil)
		fx.report("b", nil)
		fx.storeBatch()
	}
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

// Guards against failing jobs that keep all others from idle workers.
func TestJobsStartThoughAllWorkersAreQuarantined(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	for _, id := range []string{"a", "b"} {
		for number, job := range []string{"x" + id, "y" + id} {
			st := oneTaskStep()
			fx.submitJob(job, st)
			fx.report(id, nil, modeller.End{Number: int64(number + 1), Task: taskName(job, 0), Attempt: 1, Kind: modeller.EndFailed})
		}
	}
	fx.orders = nil
	fx.submitJob("j", oneTaskStep())
	for range 10 {
		fx.advance(250 * time.Millisecond)
		fx.report("a", nil)
		fx.report("b", nil)
		fx.storeBatch()
	}
	starts := takeOrders[StartOrder](fx)
	must.True(t, slices.ContainsFunc(starts, func(so StartOrder) bool { return so.Task.Job == "j" }))
}
