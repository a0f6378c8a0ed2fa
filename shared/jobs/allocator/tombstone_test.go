package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// TestTombstoneIsNoJobAndIsRemoved guards against cancelled jobs that run since their
// tombstone isn't known to the holder, and against tombstones that stay in the store.
func TestTombstoneIsNoJobAndIsRemoved(t *testing.T) {
	tombstone := JobRecorded{Record: modeller.JobRecord{
		Job:         modeller.Job{ID: "j", Queue: "q"},
		FinalState:  modeller.JobCancelled,
		IsTombstone: true,
	}}
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.apply(tombstone)
	later := fx.takeOver(configurationWith(1, "p"), tombstone)
	later.apply(RecordsLoaded{})
	for _, holder := range []*fixture{fx, later} {
		_, isKnown := holder.al.Status("j")
		must.False(t, isKnown)
		holder.apply(oneTaskJobRecorded("j"))
		must.SliceEmpty(t, takeOrders[StartOrder](holder))
		holder.now = holder.now.Add(testBounds.StatusRetention + expiryMargin + time.Second)
		bt := holder.al.Batch(holder.now)
		must.NotNil(t, bt)
		must.Len(t, 1, bt.Expired)
		must.Eq(t, "j", string(bt.Expired[0].ID))
	}
}
