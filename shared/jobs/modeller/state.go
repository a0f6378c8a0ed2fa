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

// JobStatus is the state of a job, with what decides who may see it.
type JobStatus struct {
	// State is the job's state.
	State JobState
	// Queue is the name of the queue when the job was accepted, and Host and Prefix are
	// its address then. They are empty if they aren't known.
	Queue, Host, Prefix string
	// Team is the job's team. It is empty if the job has none or it isn't known.
	Team string
}

// Status returns the status that a job has according to its record alone.
func (jr JobRecord) Status() JobStatus {
	state := JobRunning
	if jr.FinalState != "" {
		state = jr.FinalState
	}
	return JobStatus{
		State:  state,
		Queue:  jr.Job.Queue,
		Host:   jr.Job.Origin.Host,
		Prefix: jr.Job.Origin.Prefix,
		Team:   jr.Job.Team,
	}
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
