package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// TestRecordsOfEndedJobsAreRemovedAsFastAsJobsEnd guards against records that add up,
// since more jobs end in a second than one batch removes.
func TestRecordsOfEndedJobsAreRemovedAsFastAsJobsEnd(t *testing.T) {
	const count = 4 * maxExpiredJobs
	fx := newFixture(t)
	fx.apply(RecordsLoaded{})
	fx.storeBatch()
	for number := range count {
		fx.apply(JobRecorded{Record: modeller.JobRecord{
			Job:        modeller.Job{ID: modeller.JobID(fmt.Sprintf("%016x", number)), Queue: "q"},
			FinalState: modeller.JobCompleted,
		}})
	}
	fx.now = fx.now.Add(testBounds.StatusRetention + expiryMargin)
	must.Nil(t, fx.al.Batch(fx.now))
	fx.now = fx.now.Add(2 * expiryInterval)
	removed := map[modeller.JobID]bool{}
	for range 4 {
		bt := fx.al.Batch(fx.now)
		must.NotNil(t, bt)
		must.LessEq(t, maxExpiredJobs, len(bt.Expired))
		for _, ej := range bt.Expired {
			removed[ej.ID] = true
		}
		fx.apply(BatchStored{Batch: bt})
		fx.now = fx.now.Add(40 * time.Millisecond)
	}
	must.MapLen(t, count, removed)
}
