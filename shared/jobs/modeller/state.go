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

// JobStatus is the state of a job with the queue it belongs to.
type JobStatus struct {
	// State is the job's state.
	State JobState
	// Queue is the name of the queue when the job was accepted, and Host and Prefix are
	// its address then. They are empty if they aren't known.
	Queue, Host, Prefix string
}

// Job returns a job with the ID that is only known by its queue.
func (js JobStatus) Job(id JobID) Job {
	return Job{
		ID:    id,
		Queue: js.Queue,
		Origin: Queue{
			Name:   js.Queue,
			Host:   js.Host,
			Prefix: js.Prefix,
		},
	}
}
