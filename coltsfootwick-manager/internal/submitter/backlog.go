package submitter

import (
	"context"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
)

// Backlogs knows the pools' waiting work as the holder of the scheduler's duty publishes it.
type Backlogs interface {
	// Backlog returns the last backlog of a pool and when it was published, by package
	// timekeeper, or false if there is none.
	Backlog(pool string) (bl admitter.Backlog, publishedAt time.Time, ok bool)
}

// shownPrecision is that of the durations in a refusal, which are estimates.
const shownPrecision = 100 * time.Millisecond

// Option is an option of New.
type Option func(*Submitter)

// WithBacklogs refuses jobs that can't be done while they have value behind the backlog. It calls onRefusal with
// the queue of each.
func WithBacklogs(backlogs Backlogs, onRefusal func(queue string)) Option {
	return func(sm *Submitter) {
		sm.backlogs = backlogs
		sm.onRefusal = onRefusal
	}
}

// checkBacklog returns an error for a job that has no value any more when the work that waits
// in its pool is done. One that is stored already was accepted, and one of which that is unknown goes
// on to the store, which decides: its refusal would promise that it never runs.
func (sm *Submitter) checkBacklog(ctx context.Context, jb modeller.Job) error {
	if sm.backlogs == nil || !hasObjective(jb) {
		return nil
	}
	bl, publishedAt, ok := sm.backlogs.Backlog(jb.Origin.Pool)
	if !ok {
		return nil
	}
	refuse, isRefused := admitter.Decide(timekeeper.Now(), admittedJob(jb), bl, publishedAt, rand.Float64()).(admitter.Refuse)
	if !isRefused {
		return nil
	}
	isStored, err := sm.isStored(ctx, jb.ID)
	if mayBeStored := isStored || err != nil; mayBeStored {
		return nil
	}
	sm.onRefusal(jb.Queue)
	return &classifier.RetryError{
		Err: classifier.New(classifier.BacklogTooLong, "pool %s has more work than the fleet has room for: all of it takes %s, after which the job has no value, retry after %s",
			jb.Origin.Pool, refuse.Wait.Round(shownPrecision), refuse.RetryAfter.Round(shownPrecision)),
		After: refuse.RetryAfter,
	}
}

// hasObjective reports whether a job has a time by which it is on time. Long-running and
// scheduled ones have none.
func hasObjective(jb modeller.Job) bool {
	for _, st := range jb.Steps {
		if st.IsLongRunning {
			return false
		}
	}
	return jb.Occurrences == 0
}

// admittedJob returns what a decision depends on.
func admittedJob(jb modeller.Job) admitter.Job {
	work, criticalPath := jb.EstimateWork()
	widest := 0
	for _, st := range jb.Steps {
		widest = max(widest, st.ReservedResources().MilliCores)
	}
	return admitter.Job{
		Team:         jb.Team,
		Priority:     jb.Origin.Priority,
		Work:         work,
		CriticalPath: criticalPath,
		Objective:    jb.Origin.Objective(criticalPath),
		ValueEnd:     jb.Origin.ValueEnd(criticalPath),
		WidestTask:   widest,
	}
}
