package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// TestLongRunningTaskThatEndedDoneStartsAgain guards against lasting jobs that are taken
// for completed.
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
