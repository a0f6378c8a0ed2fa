package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func (fx *fixture) submitLongRunningJob() {
	fx.addReadyWorkers("a")
	fx.submitJob("l", longRunningStep(1))
	fx.apply(JobsSynced{At: fx.now.Add(-maxJobsAge)})
	fx.advance(25 * time.Millisecond)
}

func TestNoTaskStartsWhileCancellationsMayBeUnknown(t *testing.T) {
	fx := newFixture(t)
	fx.submitLongRunningJob()
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("the job may have been cancelled"))
	fx.apply(CancelRecorded{Job: "l"})
	fx.apply(JobsSynced{At: fx.now})
	must.Len(t, 0, takeOrders[StartOrder](fx))
}

func TestTasksStartOnceCancellationsAreKnown(t *testing.T) {
	fx := newFixture(t)
	fx.submitLongRunningJob()
	must.Len(t, 0, takeOrders[StartOrder](fx))
	fx.apply(JobsSynced{At: fx.now})
	must.Len(t, 1, takeOrders[StartOrder](fx))
}

func TestTasksStartWithoutAWatchWhileTheStoreIsDown(t *testing.T) {
	fx := newFixture(t)
	fx.submitLongRunningJob()
	fx.confirmsDuty = false
	fx.advance(testBounds.DutyLease)
	fx.report("a", nil)
	must.Len(t, 1, takeOrders[StartOrder](fx))
}
