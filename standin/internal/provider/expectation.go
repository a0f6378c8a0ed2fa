package provider

import (
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// expectedJob is a job that callers submit.
type expectedJob struct {
	job modeller.Job
	// isCancelled is true once a caller may have cancelled the job.
	isCancelled bool
}

// Expect announces a job that callers submit from now on. The job's steps then
// define what its tasks need, and its Origin whether they need tickets. A payload that
// is JSON may contain workMs, the duration of a task instead of its estimate, and
// isFatal, which makes each run fail. Once a job was announced, a start of any that
// wasn't violates RuleUnasked.
func (pv *Provider) Expect(job modeller.Job) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	if pv.expected == nil {
		pv.expected = map[modeller.JobID]*expectedJob{}
	}
	pv.expected[job.ID] = &expectedJob{
		job: job,
	}
}

// ExpectCancel announces that callers cancel a job from now on.
func (pv *Provider) ExpectCancel(id modeller.JobID) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	if ej := pv.expected[id]; ej != nil {
		ej.isCancelled = true
	}
}

// step returns the expected job of a task with its step, or false if no caller
// submitted such a task.
func (pv *Provider) step(name modeller.TaskName) (*expectedJob, modeller.Step, bool) {
	ej := pv.expected[name.Job]
	if ej == nil || name.Step >= len(ej.job.Steps) || name.Occurrence >= max(ej.job.Occurrences, 1) {
		return nil, modeller.Step{}, false
	}
	st := ej.job.Steps[name.Step]
	return ej, st, name.Index < st.Count
}

// profile returns the behaviour of a task: what its payload says, and for a task of
// an expected job what its step says.
func (pv *Provider) profile(name modeller.TaskName) executor.Profile {
	profile := pv.profiles[name]
	_, st, ok := pv.step(name)
	if !ok {
		return profile
	}
	profile.Demand = st.ReservedResources()
	profile.IsLongRunning = st.IsLongRunning
	profile.IsCheckpointing = st.IsCheckpointing
	profile.IsGang = st.IsGang
	if profile.Duration == 0 {
		profile.Duration = st.Estimate
	}
	return profile
}

// queuesOf returns the queue of a job in all configurations, and as it was when the
// job was submitted.
func (pv *Provider) queuesOf(job modeller.Job) []modeller.Queue {
	queues := slices.DeleteFunc(slices.Clone(pv.queues), func(qu modeller.Queue) bool {
		return qu.Name != job.Queue && !qu.HasAddressOf(job.Origin)
	})
	if job.Origin.Pool != "" {
		queues = append(queues, job.Origin)
	}
	return queues
}
