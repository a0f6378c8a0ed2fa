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

// checkStored returns nil if the stored job with the ID of a submitted one is that
// job, a JobRefused error if the job was cancelled before it could be stored, and a
// JobIDTaken error if the ID belongs to another queue. A record that can't be
// decoded says nothing of the job, which is not stored in any case.
func (sm *Submitter) checkStored(submitted modeller.Job, stored storer.Entry) error {
	jr, err := modeller.DecodeJob(stored.Value)
	switch {
	case err != nil:
		return classifier.Wrap(err, classifier.JobOutcomeUnknown, "job %s", submitted.ID)
	case !sm.isAddressedBy(submitted.Origin, jr.Job):
		return classifier.New(classifier.JobIDTaken, "job %s belongs to queue %s", submitted.ID, jr.Job.Queue)
	case jr.IsTombstone:
		return classifier.New(classifier.JobRefused, "job %s was cancelled before it was stored", submitted.ID)
	}
	return nil
}
