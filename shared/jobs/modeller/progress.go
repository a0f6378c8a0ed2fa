package modeller

// Progress is what has become of a job's tasks, as far as it must outlast the
// scheduler.
type Progress struct {
	// ID and Queue name the job.
	ID    JobID
	Queue string
	// Tasks are those that have ended at least once, in no order.
	Tasks []TaskProgress
}

// TaskProgress is what has become of one task.
type TaskProgress struct {
	// Occurrence, Step and Index name the task within its job.
	Occurrence, Step, Index int
	// IsDone is true once a run has ended done.
	IsDone bool
	// Attempt is the highest attempt that was started as far as is known.
	Attempt int
	// FailedAttempts are the attempts that ended failed.
	FailedAttempts []int
	// Checkpoint is the saved progress to go on from, or empty.
	Checkpoint string
}

// JobRecord is the durable record of a job: the job as accepted until it has
// ended, then its final state alone.
type JobRecord struct {
	// Job is the job as submitted. Once the job has ended only its ID and
	// queue are kept.
	Job Job
	// FinalState is empty until the job has ended.
	FinalState JobState
	// EndedAtMS is the Unix millisecond at which it ended.
	EndedAtMS int64
}
