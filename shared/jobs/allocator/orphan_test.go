package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Guards against starts over the capacity of a worker that is known from the roster alone
// when it reports a run of an unknown job: the directory gives its capacity only later, and
// the run holds the whole worker until its end is reported.
func TestOrphanedRunHoldsWorkerWhoseCapacityBecomesKnownLater(t *testing.T) {
	fx := newFixture(t)
	rostered := workerIn("a", "p")
	rostered.Capacity = modeller.Resources{} // The stored roster doesn't contain it.
	fx.apply(RosterLoaded{Workers: rosterOf(rostered)})
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	orphan := modeller.Run{Task: taskName("gone", 0), Attempt: 3, Progress: 100}
	for range 2 {
		fx.advance(50 * time.Millisecond)
		fx.report("a", []modeller.Run{orphan})
	}
	fx.listWorker("a")
	fx.submitJob("j", oneTaskStep())
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("a", []modeller.Run{orphan})
	must.Len(t, 0, takeOrders[StartOrder](fx), must.Sprint("starts beside the orphaned run"))

	fx.report("a", nil, modeller.End{Number: 1, Task: orphan.Task, Attempt: 3, Kind: modeller.EndStopped})
	fx.storeBatch()
	must.Len(t, 1, takeOrders[StartOrder](fx), must.Sprint("starts after its end"))
}
