package modeller

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// JobStatus is the state of a job, with what decides who may see it.
type JobStatus struct {
	// State is the job's state.
	State JobState
	// Queue is the name of the job's queue when it was accepted, and Team that of its
	// team. An empty name is not known, or the job has no team.
	Queue, Team string
}

// IsFinal reports whether the job has ended.
func (js JobState) IsFinal() bool {
	return js == JobCompleted || js == JobFailed || js == JobCancelled
}
