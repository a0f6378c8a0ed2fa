package submitter

import (
	"context"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/limiter"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

// checkCap returns an error for a job that can't run under the cap of its team. One that
// is stored already was accepted under an earlier cap, and its repetition is answered as
// any other.
func (sm *Submitter) checkCap(ctx context.Context, jb modeller.Job) error {
	refusal := limiter.CanEverRun(sm.queues.Cap(jb.Team), jb.Steps)
	if refusal == nil {
		return nil
	}
	isStored, err := sm.isStored(ctx, jb.ID)
	switch {
	case err != nil:
		return classifier.Wrap(err, classifier.JobRefused, "it is unknown whether the job was accepted under an earlier cap")
	case isStored:
		return nil
	}
	return refusal
}

// isStored reports whether a job of this ID is stored.
func (sm *Submitter) isStored(ctx context.Context, id modeller.JobID) (bool, error) {
	_, err := sm.store.Get(ctx, archiver.JobKey(id))
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return false, nil
	}
	return err == nil, err
}
