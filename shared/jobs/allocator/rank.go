package allocator

import (
	"cmp"
	"time"

	"coltsfootwick.example/shared/jobs/ranker"
)

// rankedJob is a job with the keys of the service order.
type rankedJob struct {
	job      *job
	class    serviceClass
	priority int
	coreTime time.Duration
	// key is the place among jobs that can still be on time, or zero if the order by cost
	// is off.
	key ranker.Key
	// until is the time until which the class stays, or zero.
	until time.Time
	// insertion is the number of the job's insertion into its list.
	insertion int
}

// serviceClass groups jobs by the value that they still have.
type serviceClass int

// The service classes, in the order in which jobs are served.
const (
	// classLongRunning is for long-running jobs, which always have value.
	classLongRunning serviceClass = iota
	// classOnTime is for jobs that can still meet their objective.
	classOnTime
	// classLate is for jobs that miss their objective but still have value.
	classLate
	// classExpired is for jobs that are too late to have any value.
	classExpired
)

// rankedJob returns a job with its present keys.
func (al *Allocator) rankedJob(now time.Time, jb *job) rankedJob {
	class, until := jb.serviceClass(now)
	rj := rankedJob{
		job:      jb,
		class:    class,
		priority: jb.queue.Priority,
		coreTime: jb.coreTime,
		until:    until,
	}
	if al.hasCostOrder && class == classOnTime && !until.IsZero() {
		rj.key = ranker.New(ranker.Job{
			Priority:    jb.queue.Priority,
			LatestStart: until,
			Work:        jb.remainingCoreTime(),
		})
	}
	return rj
}

// compare orders jobs for service: by service class, then by queue priority.
// Among the jobs that can still meet their objective, small ones come first,
// since they have the most value for their work. With the order by cost, the place
// that package ranker gives them counts instead. Scheduled jobs have no latest start:
// their zero key puts them before the others of their priority, the smallest first, since
// their work is known ahead and isn't part of a burst of callers.
func (rj rankedJob) compare(other rankedJob) int {
	if order := cmp.Or(cmp.Compare(rj.class, other.class), cmp.Compare(rj.priority, other.priority)); order != 0 {
		return order
	}
	if rj.class == classOnTime {
		order := cmp.Or(rj.key.VirtualStart.Compare(other.key.VirtualStart), cmp.Compare(rj.coreTime, other.coreTime))
		if order != 0 {
			return order
		}
	}
	return cmp.Or(rj.job.acceptedAt.Compare(other.job.acceptedAt), cmp.Compare(rj.job.info.ID, other.job.info.ID))
}

// serviceClass returns the service class of the job, and the time until which
// the class stays unless a step ends, or zero.
func (jb *job) serviceClass(now time.Time) (class serviceClass, until time.Time) {
	for _, st := range jb.info.Steps {
		if st.IsLongRunning {
			return classLongRunning, time.Time{}
		}
	}
	if jb.info.Occurrences > 0 {
		return classOnTime, time.Time{}
	}
	objective := jb.queue.Objective(jb.criticalPath)
	remaining := jb.remainingCriticalPath()
	if until := jb.acceptedAt.Add(objective - remaining); !now.After(until) {
		return classOnTime, until
	}
	if until := jb.acceptedAt.Add(jb.queue.ValueEnd(jb.criticalPath) - remaining); !now.After(until) {
		return classLate, until
	}
	return classExpired, time.Time{}
}

func (jb *job) hasWaitingTasks() bool {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount > 0 {
				return true
			}
		}
	}
	return false
}

// remainingCriticalPath returns the estimated duration of the longest chain of
// steps that are not done.
func (jb *job) remainingCriticalPath() time.Duration {
	var longest time.Duration
	for _, oc := range jb.occurrences {
		ends := make([]time.Duration, len(oc.steps))
		for idx, st := range oc.steps {
			if st.doneCount == len(st.tasks) {
				continue
			}
			ends[idx] = st.spec.Estimate
			for _, dependency := range st.spec.DependsOn {
				ends[idx] = max(ends[idx], ends[dependency]+st.spec.Estimate)
			}
			longest = max(longest, ends[idx])
		}
	}
	return longest
}

// remainingCoreTime returns the estimated core time of the tasks that are not done.
func (jb *job) remainingCoreTime() time.Duration {
	var remaining time.Duration
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			remaining += st.spec.CoreTime(len(st.tasks) - st.doneCount)
		}
	}
	return remaining
}
