package admitter

import (
	"time"

	"coltsfootwick.example/shared/jobs/ranker"
)

const (
	// maxAge is the greatest age of a backlog by which jobs are refused. Figures come four
	// times a second.
	maxAge = time.Second
	// moveTime is how long it takes until a VM that another pool gives up runs tasks here:
	// its tasks end, it moves, and its worker registers.
	moveTime = 3 * time.Second
	// minRetryDelay is the least time after which a refused caller may come back.
	minRetryDelay = time.Second
	// workCertainty is the part of the estimated work that is certain. Declared sizes and
	// durations are often far off, and a job that could be served is not refused.
	workCertainty = 2.0 / 3
	// retrySpread is the part of the delay by which callers' returns are spread.
	retrySpread = 0.5
)

// Job is a job that asks to be accepted.
type Job struct {
	// Team is the job's team, or empty.
	Team string
	// Priority is the priority of the job's queue.
	Priority int
	// Work is the core time of the job, and CriticalPath the duration of its longest chain
	// of steps.
	Work, CriticalPath time.Duration
	// Objective is the duration within which the job is on time, and ValueEnd the one after
	// which its result has no value.
	Objective, ValueEnd time.Duration
	// WidestTask is the largest demand of a task, in thousandths of a core.
	WidestTask int
}

// Decision is Accept or Refuse.
type Decision interface {
	decision()
}

// Accept accepts the job.
type Accept struct{}

// Refuse refuses the job, which can't be done while it has value.
type Refuse struct {
	// RetryAfter is the time after which so much of the waiting work will have been done
	// that the job can be on time.
	RetryAfter time.Duration
	// Wait is the expected time until all waiting work is done.
	Wait time.Duration
}

func (Accept) decision() {}
func (Refuse) decision() {}

// Decide decides about a job by a backlog that was published at the given time. spread is
// a random number from 0 to 1, so that callers that are refused together don't return
// together.
func Decide(now time.Time, jb Job, bl Backlog, publishedAt time.Time, spread float64) Decision {
	if now.Sub(publishedAt) > maxAge || !bl.IsShort || jb.WidestTask <= bl.FreeMilliCores {
		return Accept{}
	}
	slack := jb.Objective - jb.CriticalPath
	key := ranker.New(ranker.Job{
		Priority:    jb.Priority,
		LatestStart: now.Add(slack),
		Work:        jb.Work,
	})
	ahead := bl.workAhead(publishedAt, key, bl.Excess[jb.Team])
	age := now.Sub(publishedAt)
	if bl.drainTime(certainPart(ahead), moveTime)-age <= slack {
		return Accept{}
	}
	// A job that misses its latest start is served after all that can be on time.
	total := bl.totalWork()
	if bl.drainTime(certainPart(total), moveTime)-age+jb.CriticalPath <= jb.ValueEnd {
		return Accept{}
	}
	wait := bl.drainTime(total, moveTime) - age
	delay := max(wait-slack, minRetryDelay)
	return Refuse{
		RetryAfter: delay + time.Duration(spread*retrySpread*float64(delay)),
		Wait:       wait,
	}
}

// certainPart returns the part of an estimated amount of work that is certain.
func certainPart(work time.Duration) time.Duration {
	return time.Duration(workCertainty * float64(work))
}
