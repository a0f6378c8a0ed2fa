package submitter

import (
	"context"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

// State implements adapter.Jobs. It queries the holder of the scheduler's duty,
// which has the latest state, and falls back to the store if there is no holder
// or the query fails.
func (sm *Submitter) State(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) (modeller.JobState, error) {
	if holder, ok := sm.locator.Holder(); ok {
		status, err := sm.scheduler.Status(ctx, holder, id)
		if err == nil {
			return sm.visibleState(queue, team, id, status)
		}
	}
	return sm.storedState(ctx, queue, team, id)
}

// visibleState returns the state of a job to a caller of a queue, or a JobUnknown error
// if the job belongs to another queue or isn't open to the caller's team. A holder of an
// earlier version doesn't tell the queue.
func (sm *Submitter) visibleState(queue modeller.Queue, team string, id modeller.JobID, status modeller.JobStatus) (modeller.JobState, error) {
	switch {
	case status.Queue != "" && !sm.isAddressedBy(queue, status.Job(id)):
		return "", unknownIn(queue, status.Job(id))
	case !isOpenTo(queue, team, status.Team):
		return "", ofAnotherTeam(id)
	}
	return status.State, nil
}

// storedState returns the state of a job according to its records in the store.
func (sm *Submitter) storedState(ctx context.Context, queue modeller.Queue, team string, id modeller.JobID) (modeller.JobState, error) {
	key := archiver.JobKey(id)
	entries, _, err := sm.store.List(ctx, key)
	if err != nil {
		return "", classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
	}
	var status modeller.JobStatus
	isCancelled := false
	for _, et := range entries {
		switch et.Key {
		case key:
			jr, err := modeller.DecodeJob(et.Value)
			if err != nil {
				return "", classifier.Wrap(err, classifier.JobUnavailable, "job %s", id)
			}
			if jr.IsTombstone {
				return "", classifier.New(classifier.JobUnknown, "job %s was cancelled before it was stored", id)
			}
			status = jr.Status()
		case archiver.CancelKey(id):
			isCancelled = true
		}
	}
	switch {
	case status.State == "":
		return "", classifier.New(classifier.JobUnknown, "job %s", id)
	case isCancelled && !status.State.IsFinal():
		status.State = modeller.JobCancelled
	}
	return sm.visibleState(queue, team, id, status)
}

// Pending implements adapter.Jobs.
func (sm *Submitter) Pending(ctx context.Context, queue modeller.Queue) (int, error) {
	holder, ok := sm.locator.Holder()
	if !ok {
		return 0, classifier.New(classifier.JobUnavailable, "no holder of the scheduler's duty is known")
	}
	return sm.scheduler.Pending(ctx, holder, queue)
}
