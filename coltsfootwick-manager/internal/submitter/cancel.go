package submitter

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Cancel implements adapter.Jobs.
func (sm *Submitter) Cancel(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) error {
	err := sm.cancel(ctx, queue, team, id)
	sm.logger.Info("cancellation", zap.String("job", string(id)), zap.String("queue", queue.Name), teamField(team), zap.Error(err))
	return err
}

func (sm *Submitter) cancel(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) error {
	for {
		err := sm.cancelOnce(ctx, queue, team, id)
		if code := classifier.CodeOf(err); code != classifier.PlatformConflict && code != classifier.PlatformAmbiguous {
			return err
		}
		if storer.Pause(ctx, retryDelay) != nil {
			return classifier.Wrap(err, classifier.JobOutcomeUnknown, "job %s", id)
		}
	}
}

// cancelOnce stores the cancellation request on the condition that the job's
// record has not changed since it was read, so that no request remains for a
// job that has ended in the meantime.
func (sm *Submitter) cancelOnce(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) error {
	et, err := sm.store.Get(ctx, archiver.JobKey(id))
	switch classifier.CodeOf(err) {
	case classifier.OK:
	case classifier.PlatformNotFound:
		return sm.storeTombstone(ctx, queue, team, id)
	default:
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	jr, err := modeller.DecodeJob(et.Value)
	if err != nil {
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	switch {
	case !sm.isAddressedBy(queue, jr.Job):
		return unknownIn(queue, jr.Job)
	case !isOpenTo(queue, team, jr.Job.Team):
		return ofAnotherTeam(id)
	case jr.IsTombstone:
		return classifier.New(classifier.JobUnknown, "job %s has been cancelled before", id)
	case jr.FinalState != "":
		return nil
	}
	_, err = sm.store.Commit(ctx, storer.Transaction{
		Preconditions: []storer.Precondition{{Key: et.Key, Revision: et.Revision}},
		Writes:        []storer.Write{{Key: archiver.CancelKey(id), Value: []byte("{}")}},
	})
	return refusedWrite(err, id)
}

// refusedWrite converts the error of a cancellation's write that had no effect and need
// not be repeated at once.
func refusedWrite(err error, id modeller.JobID) error {
	if isUnavailable(err) {
		return classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	return err
}
