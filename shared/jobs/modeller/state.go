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

// IsFinal reports whether the job has ended.
func (js JobState) IsFinal() bool {
	return js == JobCompleted || js == JobFailed || js == JobCancelled
}
