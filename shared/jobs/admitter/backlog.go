// Package admitter decides whether a job is accepted into a pool that has more work than
// room. It performs no I/O and reads no clock.
//
// It answers the load in which a pool's demand exceeds what the whole fleet can give it. Jobs
// that can still be on time are served first then, so that a job which misses its latest
// start waits until the shortage ends. A job that can't start in time behind the work ahead
// of it, and will have no value any more when all waiting work is done, is refused at once,
// with the time after which it could be on time. One that is only late is accepted: its
// caller would lose the time until it returns. Nothing is refused while the pool has room or
// may still get VMs.
//
// The decision rests on figures that the scheduler's holder publishes. Without present
// figures every job is accepted, so that a lost holder or connection costs no caller a
// job.
package admitter

import (
	"time"

	"coltsfootwick.example/shared/jobs/ranker"
)

// Backlog is a pool's waiting work and what there is for it, as the scheduler's holder
// publishes it.
type Backlog struct {
	// Cores are the cores of the workers that get tasks, and TargetCores those of the VMs
	// that the fleet can give to the pool once they have been moved.
	Cores, TargetCores float64
	// FreeMilliCores is the most that any worker which gets tasks has free.
	FreeMilliCores int
	// IsShort is true if the fleet can't give the pool the VMs for all its jobs that can
	// still be on time.
	IsShort bool
	// Bands are the waiting jobs that can still be on time, in the order of service.
	Bands []Band
	// LateWork is the core time of the waiting jobs that are late and still have value.
	LateWork time.Duration
	// Excess are the levels of the teams that are beyond their share.
	Excess map[string]int
}

// Band is a part of the waiting jobs.
type Band struct {
	// Excess is by how much the teams of these jobs are beyond their share. Lower levels
	// are served first within a priority.
	Excess int
	// Priority is the priority of their queue.
	Priority int
	// Until is the virtual start of the last of these jobs, from the time of publication.
	Until time.Duration
	// Work is the core time that these jobs still require.
	Work time.Duration
}

// MaxBands is how many bands a backlog has at most.
const MaxBands = 24

// isAhead reports whether the jobs of a band are served before a job of another priority
// or excess.
func (bd Band) isAhead(key ranker.Key, excess int) bool {
	if bd.Priority != key.Priority {
		return bd.Priority < key.Priority
	}
	return bd.Excess < excess
}

// workAhead returns the core time of the jobs that are served before one with a key.
func (bl Backlog) workAhead(publishedAt time.Time, key ranker.Key, excess int) time.Duration {
	var ahead time.Duration
	for _, bd := range bl.Bands {
		isSameGroup := bd.Priority == key.Priority && bd.Excess == excess
		if bd.isAhead(key, excess) || isSameGroup && !key.VirtualStart.Before(publishedAt.Add(bd.Until)) {
			ahead += bd.Work
		}
	}
	return ahead
}

// totalWork returns the core time of all waiting jobs that have value.
func (bl Backlog) totalWork() time.Duration {
	total := bl.LateWork
	for _, bd := range bl.Bands {
		total += bd.Work
	}
	return total
}

// drainTime returns how long the pool takes for an amount of work. Until moveTime it has
// only its present workers.
func (bl Backlog) drainTime(work, moveTime time.Duration) time.Duration {
	now := max(bl.Cores, 1)
	byMoves := time.Duration(now * float64(moveTime))
	if work <= byMoves {
		return time.Duration(float64(work) / now)
	}
	return moveTime + time.Duration(float64(work-byMoves)/max(bl.TargetCores, now))
}
