package submitter

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Limits of the tombstones that a manager stores. Each costs one write, and the holder of
// the scheduler's duty keeps it for the retention time of ended jobs, so that a manager
// has at most tombstoneBurst and, with 130 s, 1,040 more in the store.
const (
	// tombstoneRate is the sustained number of tombstones per second. The smallest
	// deployment has six managers, and its store accepts 400 writes/s.
	tombstoneRate = 8
	// tombstoneBurst is the number of tombstones at once. After an interruption of some
	// seconds callers cancel all jobs that they got no answer for.
	tombstoneBurst = 128
)

// errTooManyTombstones is the cause of refused cancellations of unknown jobs.
var errTooManyTombstones = errors.New("too many unknown jobs have been cancelled here lately")

// newTombstoneLimiter returns the limiter of a manager's tombstones.
func newTombstoneLimiter() *rate.Limiter { return rate.NewLimiter(tombstoneRate, tombstoneBurst) }

// takeTombstone takes the right to store a tombstone if there is one, and otherwise returns
// errTooManyTombstones.
func (sm *Submitter) takeTombstone(context.Context) error {
	if !sm.tombstones.Allow() {
		return errTooManyTombstones
	}
	return nil
}

// awaitTombstone waits for the right to store a tombstone.
func (sm *Submitter) awaitTombstone(ctx context.Context) error { return sm.tombstones.Wait(ctx) }

// storeTombstone makes sure that a job without a record isn't stored later, by a
// submission that was delayed in a manager or on its way to the store: it writes a record
// on which the condition of such a submission fails. The holder of the scheduler's duty
// removes the record as it does those of ended jobs. The error is JobUnknown once the
// record is stored, JobUnavailable if it must not be, and otherwise one of the store.
func (sm *Submitter) storeTombstone(ctx context.Context, cn cancellation, take func(ctx context.Context) error) error {
	id := cn.id
	if err := take(ctx); err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s is unknown", id)
	}
	data, err := modeller.EncodeJob(modeller.JobRecord{
		Job: modeller.Job{
			ID:     id,
			Queue:  cn.queue.Name,
			Origin: cn.queue,
			Team:   cn.team,
		},
		FinalState:  modeller.JobCancelled,
		EndedAtMS:   time.Now().UnixMilli(),
		IsTombstone: true,
	})
	if err != nil {
		return err
	}
	_, err = sm.store.Commit(ctx, storer.Transaction{
		Preconditions: []storer.Precondition{{Key: archiver.JobKey(id)}},
		Writes:        []storer.Write{{Key: archiver.JobKey(id), Value: data}},
	})
	if err != nil {
		return err
	}
	return classifier.New(classifier.JobUnknown, "job %s", id)
}
