package modeller

// Progress is the state of a job's tasks that has to outlast the scheduler that
// stores it.
type Progress struct {
	// ID and Queue identify the job.
	ID    JobID
	Queue string
	// Pools are the pools in which runs of the job may have been started. None
	// means that they are not known.
	Pools []string
	// HasStarted is true if a worker was known to have begun a task.
	HasStarted bool
	// Tasks are the tasks of which a start was ordered at least once, in no
	// particular order.
	Tasks []TaskProgress
}

// TaskProgress is the stored state of a task.
type TaskProgress struct {
	// Occurrence, Step and Index identify the task within its job.
	Occurrence, Step, Index int
	// IsDone is true once a run of the task has succeeded.
	IsDone bool
	// Attempt is the highest known attempt that was started.
	Attempt int
	// FailedAttempts are the attempts that have failed.
	FailedAttempts []int
	// Checkpoint is the saved progress to resume from, or empty.
	Checkpoint string
}

// JobRecord is the stored record of a job. It holds the job, without its payload,
// until this has ended, and then only its final state.
type JobRecord struct {
	// Job is the job as submitted. Once it has ended, only its ID, queue and team
	// are kept.
	Job Job
	// HasPayload is true if the job's payload is known. It is stored apart from
	// the record.
	HasPayload bool
	// FinalState is the final state, or empty while the job has not ended.
	FinalState JobState
	// EndedAtMS is the Unix millisecond at which the job ended.
	EndedAtMS int64
	// IsTombstone is true if the job was cancelled while it had no record. The final
	// state is JobCancelled then. The record keeps a submission that is still on its
	// way from being stored; for callers there is no such job.
	IsTombstone bool
}
