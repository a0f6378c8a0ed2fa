package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// rank is a job's place in the order of service.
type rank struct {
	job      *job
	standing standing
	priority int
	work     time.Duration
}

// standing says how much a job still earns.
type standing int

// The standings, in the order in which jobs are served.
const (
	// standingLasting is for long-running jobs, which earn all the time.
	standingLasting standing = iota
	// standingInTime is for jobs that can still meet their objective.
	standingInTime
	// standingLate is for jobs that can't.
	standingLate
	// standingWorthless is for jobs that are too late to earn.
	standingWorthless
)

// lateFactor is up to how many times its objective a late job earns.
const lateFactor = 3

// ranks returns the jobs with waiting tasks in the order of service: those that
// can still meet their objective before the rest, urgent queues first, and then
// those with the most worth for their work, which are the small ones.
func (al *Allocator) ranks(now time.Time) []rank {
	var ranks []rank
	for _, jb := range al.jobs {
		if jb.outcome != "" || jb.isCancelled || !jb.isWaiting() {
			continue
		}
		qu, ok := al.configuration.Queues[jb.info.Queue]
		if !ok {
			continue
		}
		ranks = append(ranks, rank{
			job:      jb,
			standing: jb.standing(now, qu),
			priority: qu.Priority,
			work:     jb.work,
		})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		if order := cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(a.priority, b.priority)); order != 0 {
			return order
		}
		if a.standing == standingInTime {
			if order := cmp.Compare(a.work, b.work); order != 0 {
				return order
			}
		}
		return cmp.Or(a.job.acceptedAt.Compare(b.job.acceptedAt), cmp.Compare(a.job.info.ID, b.job.info.ID))
	})
	return ranks
}

// standing returns how much the job still earns.
func (jb *job) standing(now time.Time, qu modeller.Queue) standing {
	for _, st := range jb.info.Steps {
		if st.IsLongRunning {
			return standingLasting
		}
	}
	if jb.info.Occurrences > 0 {
		return standingInTime
	}
	objective := time.Duration(qu.Stretch*float64(jb.chain)) + qu.Slack
	age := now.Sub(jb.acceptedAt)
	switch remaining := jb.remainingChain(); {
	case age+remaining <= objective:
		return standingInTime
	case age+remaining <= lateFactor*objective:
		return standingLate
	}
	return standingWorthless
}

func (jb *job) isWaiting() bool {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// remainingChain returns the longest chain of steps that aren't done.
func (jb *job) remainingChain() time.Duration {
	var longest time.Duration
	for _, oc := range jb.occurrences {
		ends := make([]time.Duration, len(oc.steps))
		for idx, st := range oc.steps {
			if st.done == len(st.tasks) {
				continue
			}
			ends[idx] = st.spec.Estimate
			for _, earlier := range st.spec.After {
				ends[idx] = max(ends[idx], ends[earlier]+st.spec.Estimate)
			}
			longest = max(longest, ends[idx])
		}
	}
	return longest
}
