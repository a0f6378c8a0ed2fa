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
	state, _ := fx.al.State("l")
	must.Eq(t, modeller.JobRunning, state)
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
