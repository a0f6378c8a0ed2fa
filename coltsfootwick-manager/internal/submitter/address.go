package submitter

import (
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// isAddressedBy reports whether callers of a queue mean a stored job by its ID. The
// job's queue may have another name or another address by now, or may be gone, so
// only a job of a queue that is still configured belongs to other callers.
func (sm *Submitter) isAddressedBy(queue modeller.Queue, stored modeller.Job) bool {
	return stored.Queue == queue.Name || stored.Origin.HasAddressOf(queue) || !sm.queues.HasQueue(stored.Queue)
}

// unknownIn returns the error for the callers of a queue who ask for another queue's job.
func unknownIn(queue modeller.Queue, stored modeller.Job) error {
	return classifier.New(classifier.JobUnknown, "job %s belongs to queue %s and not to %s", stored.ID, stored.Queue, queue.Name)
}

// ofAnotherTeam returns the error for callers who ask for another team's job.
func ofAnotherTeam(id modeller.JobID) error {
	return classifier.New(classifier.JobUnknown, "job %s belongs to another team", id)
}

// isOpenTo reports whether a caller of a queue with the key of a team may query, cancel
// and submit again a job of another or the same team. A job without a team is open to
// all callers of its queue, and so is every job where callers are not known by keys or
// the queue is public.
func isOpenTo(queue modeller.Queue, team, owner string) bool {
	return owner == "" || team == "" || queue.IsPublic || owner == team
}

// checkStored returns nil if the stored job with the ID of a submitted one is that
// job, a JobRefused error if the job was cancelled before it could be stored, and a
// JobIDTaken error if the ID belongs to another queue or team. A record that can't be
// decoded says nothing of the job, which is not stored in any case.
func (sm *Submitter) checkStored(submitted modeller.Job, stored storer.Entry) error {
	jr, err := modeller.DecodeJob(stored.Value)
	switch {
	case err != nil:
		return classifier.Wrap(err, classifier.JobOutcomeUnknown, "job %s", submitted.ID)
	case !sm.isAddressedBy(submitted.Origin, jr.Job):
		return classifier.New(classifier.JobIDTaken, "job %s belongs to queue %s", submitted.ID, jr.Job.Queue)
	case !isOpenTo(submitted.Origin, submitted.Team, jr.Job.Team):
		return classifier.New(classifier.JobIDTaken, "job %s belongs to another team", submitted.ID)
	case jr.IsTombstone:
		return classifier.New(classifier.JobRefused, "job %s was cancelled before it was stored", submitted.ID)
	}
	return nil
}
