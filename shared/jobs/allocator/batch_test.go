package allocator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// storeRoundTrip is the time that a slow store takes for a transaction.
const storeRoundTrip = 300 * time.Millisecond

// slowStore stores the batches of a fixture, each storeRoundTrip after it was
// submitted.
type slowStore struct {
	*fixture
	inFlight []submittedBatch
}

type submittedBatch struct {
	batch    *Batch
	storedAt time.Time
}

// advance advances the time and submits the batches that are due.
func (ss *slowStore) advance(duration time.Duration) {
	const step = 25 * time.Millisecond
	for end := ss.now.Add(duration); ss.now.Before(end); {
		ss.fixture.advance(step)
		ss.inFlight = slices.DeleteFunc(ss.inFlight, func(sb submittedBatch) bool {
			if ss.now.Before(sb.storedAt) {
				return false
			}
			ss.apply(BatchStored{Batch: sb.batch})
			return true
		})
		for batch := ss.al.Batch(ss.now); batch != nil; batch = ss.al.Batch(ss.now) {
			ss.inFlight = append(ss.inFlight, submittedBatch{batch: batch, storedAt: ss.now.Add(storeRoundTrip)})
		}
	}
}

// submitUnstoredJob records a job of one task and leaves its batch to the slow
// store.
func (ss *slowStore) submitUnstoredJob(id string) {
	ss.apply(oneTaskJobRecorded(id))
}

func TestStartsWaitForOneRoundTripOfASlowStoreOnly(t *testing.T) {
	fx := newFixture(t)
	var workers []string
	for number := range 30 {
		workers = append(workers, fmt.Sprintf("w%02d", number))
	}
	fx.addReadyWorkers(workers...)
	ss := &slowStore{fixture: fx}
	submittedAt := map[string]time.Time{}
	var longest time.Duration
	started := 0
	for number := range 100 {
		if number < 60 {
			id := fmt.Sprintf("j%03d", number)
			submittedAt[id] = ss.now
			ss.submitUnstoredJob(id)
		}
		ss.advance(25 * time.Millisecond)
		if number%20 == 0 {
			for _, id := range workers {
				fx.report(id, nil)
			}
		}
		for _, so := range takeOrders[StartOrder](fx) {
			started++
			longest = max(longest, ss.now.Sub(submittedAt[string(so.Task.Job)]))
		}
	}
	must.Eq(t, 60, started)
	const batching = 200 * time.Millisecond
	must.LessEq(t, storeRoundTrip+batching, longest, must.Sprint("longest time from a job's record to its start"))
}

func TestBatchesInFlightHaveNoJobInCommon(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	fx.submitJob("j", oneTaskStep())
	ss := &slowStore{fixture: fx}
	for round := range 40 {
		ss.al.markDirty(ss.al.jobs["j"])
		ss.submitUnstoredJob(fmt.Sprintf("k%03d", round))
		ss.advance(50 * time.Millisecond)
		count := 0
		for _, sb := range ss.inFlight {
			for _, jv := range sb.batch.versions {
				if jv.job.info.ID == "j" {
					count++
				}
			}
		}
		must.LessEq(t, 1, count, must.Sprint("batches in flight with the same job"))
	}
	must.Greater(t, 1, ss.al.jobs["j"].storedVersion)
}

func TestSharedRecordsAreStoredInOrder(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	ss := &slowStore{fixture: fx}
	for round := range 40 {
		ss.listWorker(fmt.Sprintf("x%02d", round))
		ss.submitUnstoredJob(fmt.Sprintf("k%03d", round))
		ss.advance(50 * time.Millisecond)
		rosters := 0
		for _, sb := range ss.inFlight {
			if sb.batch.Roster != nil {
				rosters++
				must.Eq(t, sharedLane, sb.batch.Lane)
			}
		}
		must.LessEq(t, 1, rosters, must.Sprint("rosters in flight"))
	}
}

func TestFastStoreCombinesChangesInOneLane(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("w1")
	fx.apply(oneTaskJobRecorded("a"))
	batch := fx.al.Batch(fx.now)
	must.NotNil(t, batch)
	fx.apply(oneTaskJobRecorded("b"))
	fx.now = fx.now.Add(laneDelay - time.Millisecond)
	must.Nil(t, fx.al.Batch(fx.now), must.Sprint("a batch beside one that is not late"))
	fx.apply(BatchStored{Batch: batch})
	next := fx.al.Batch(fx.now)
	must.NotNil(t, next)
	must.Eq(t, batch.Lane, next.Lane)
}

// TestProgressOfFailingLongRunningTasksStaysSmall guards against records that grow
// with each failure, until the store refuses them.
func TestProgressOfFailingLongRunningTasksStaysSmall(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	fx.submitJob("l", longRunningStep(1))
	for number := range int64(100) {
		fx.report("a", nil, modeller.End{Number: number + 1, Task: taskName("l", 0), Attempt: int(number) + 1, Kind: modeller.EndFailed})
		fx.storeBatch()
	}
	must.LessEq(t, 100, len(modeller.EncodeProgress(fx.progress["l"])))
}
