package submitter

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// maxRefusedTries is the number of tries of a cancellation for a caller that waits, while
// the store refuses single calls.
const maxRefusedTries = 5

// cancellation is a caller's request to cancel a job.
type cancellation struct {
	queue modeller.Queue
	team  string
	id    modeller.JobID
}

// Cancel implements adapter.Jobs. A cancellation that fails is carried out later, since its
// caller may not repeat it.
func (sm *Submitter) Cancel(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) error {
	cn := cancellation{
		queue: queue,
		team:  team,
		id:    id,
	}
	err := sm.cancel(ctx, cn)
	if !isSettled(err) {
		err = sm.postpone(cn, err)
	}
	sm.logger.Info("cancellation", zap.String("job", string(id)), zap.String("queue", queue.Name), teamField(team), zap.Error(err))
	return err
}

// postpone has a cancellation carried out later that failed with an error, and returns the
// error for its caller.
func (sm *Submitter) postpone(cn cancellation, err error) error {
	if !errors.Is(err, errTooManyTombstones) {
		sm.refused.add(cn)
		return err
	}
	return &classifier.RetryError{
		Err:   err,
		After: time.Duration(sm.limited.add(cn)) * time.Second / tombstoneRate,
	}
}

// retryRefused tries a cancellation again that the store has refused.
func (sm *Submitter) retryRefused(ctx context.Context, cn cancellation) error {
	err := sm.cancelOnce(ctx, cn, sm.takeTombstone)
	if errors.Is(err, errTooManyTombstones) {
		sm.limited.add(cn)
	}
	return err
}

// retryLimited tries a cancellation again that was beyond the limit of tombstones.
func (sm *Submitter) retryLimited(ctx context.Context, cn cancellation) error {
	return sm.cancelOnce(ctx, cn, sm.awaitTombstone)
}

// isSettled reports whether a cancellation with this result need not be repeated: it is
// stored, or there is no such job for its caller, now or later.
func isSettled(err error) bool {
	return err == nil || classifier.CodeOf(err) == classifier.JobUnknown
}

func (sm *Submitter) cancel(ctx context.Context, cn cancellation) error {
	for tries := 1; ; tries++ {
		err := sm.cancelOnce(ctx, cn, sm.takeTombstone)
		isSingleRefusal := isUnavailable(err) && tries < maxRefusedTries && !sm.storeHealth.IsUnavailable()
		if !mustReadAgain(err) && !isSingleRefusal || storer.Pause(ctx, retryDelay) != nil {
			return cancelError(err, cn.id)
		}
	}
}

// mustReadAgain reports whether only the job's record tells what became of a write.
func mustReadAgain(err error) bool {
	code := classifier.CodeOf(err)
	return code == classifier.PlatformConflict || code == classifier.PlatformAmbiguous
}

// cancelError returns the result of a cancellation whose last try had the given one.
func cancelError(err error, id modeller.JobID) error {
	switch {
	case mustReadAgain(err):
		return classifier.Wrap(err, classifier.JobOutcomeUnknown, "job %s", id)
	case isUnavailable(err):
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	return err
}

// cancelOnce stores the cancellation request on the condition that the job's
// record has not changed since it was read, so that no request remains for a
// job that has ended in the meantime. take takes the right to store a tombstone. The error
// may be one of the store.
func (sm *Submitter) cancelOnce(ctx context.Context, cn cancellation, take func(ctx context.Context) error) error {
	et, err := sm.store.Get(ctx, archiver.JobKey(cn.id))
	switch {
	case err == nil:
	case classifier.CodeOf(err) == classifier.PlatformNotFound:
		return sm.storeTombstone(ctx, cn, take)
	case isUnavailable(err):
		return err
	default:
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", cn.id)
	}
	jr, err := modeller.DecodeJob(et.Value)
	if err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", cn.id)
	}
	switch {
	case !sm.isAddressedBy(cn.queue, jr.Job):
		return unknownIn(cn.queue, jr.Job)
	case !isOpenTo(cn.queue, cn.team, jr.Job.Team):
		return ofAnotherTeam(cn.id)
	case jr.IsTombstone:
		return classifier.New(classifier.JobUnknown, "job %s has been cancelled before", cn.id)
	case jr.FinalState != "":
		return nil
	}
	_, err = sm.store.Commit(ctx, storer.Transaction{
		Preconditions: []storer.Precondition{{Key: et.Key, Revision: et.Revision}},
		Writes:        []storer.Write{{Key: archiver.CancelKey(cn.id), Value: []byte("{}")}},
	})
	return err
}
