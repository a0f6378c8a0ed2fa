package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// waitingList holds the jobs of a pool that may have waiting tasks.
type waitingList struct {
	// ranked are the jobs in the order of service, as of rankedAt. Jobs that
	// have no waiting tasks any more stay until the list is ranked again.
	ranked   []rankedJob
	rankedAt time.Time
	// smallest is at most the demand of any waiting task, in each resource.
	smallest modeller.Resources
	// hasAdvice is true if a queue of the pool has an advice service, which is
	// asked even while no worker has room.
	hasAdvice bool
}

// enlist adds a job to the waiting list of its pool, or updates the list if it
// contains the job.
func (al *Allocator) enlist(now time.Time, jb *job) {
	qu, ok := al.configuration.Queues[jb.info.Queue]
	if !ok || !jb.mayWait() {
		return
	}
	al.changes.note(qu.Pool)
	wl := al.waiting[qu.Pool]
	if wl == nil {
		wl = &waitingList{}
		al.waiting[qu.Pool] = wl
	}
	wl.hasAdvice = wl.hasAdvice || qu.Advice != nil
	wl.include(jb, len(wl.ranked) == 0)
	if jb.list == wl {
		return
	}
	jb.list = wl
	al.effort.jobs++
	rj := newRankedJob(now, jb, qu)
	position, _ := slices.BinarySearchFunc(wl.ranked, rj, rankedJob.compare)
	wl.ranked = slices.Insert(wl.ranked, position, rj)
}

// withdraw removes a job that is no longer known from its waiting list.
func (jb *job) withdraw() {
	if jb.list == nil {
		return
	}
	jb.list.ranked = slices.DeleteFunc(jb.list.ranked, func(rj rankedJob) bool { return rj.job == jb })
	jb.list = nil
}

// enlistAll builds the waiting lists anew.
func (al *Allocator) enlistAll(now time.Time) {
	clear(al.waiting)
	for _, jb := range al.jobs {
		jb.list = nil
		al.enlist(now, jb)
	}
}

// rank updates the order of service, at most once per periodicInterval.
func (al *Allocator) rank(now time.Time, wl *waitingList) {
	if now.Sub(wl.rankedAt) < periodicInterval {
		return
	}
	wl.rankedAt = now
	kept := wl.ranked[:0]
	for _, rj := range wl.ranked {
		al.effort.jobs++
		jb := rj.job
		if !jb.mayWait() {
			jb.list = nil
			continue
		}
		wl.include(jb, len(kept) == 0)
		kept = append(kept, newRankedJob(now, jb, al.configuration.Queues[jb.info.Queue]))
	}
	clear(wl.ranked[len(kept):])
	wl.ranked = kept
	slices.SortFunc(wl.ranked, rankedJob.compare)
}

// include lowers the smallest demand to that of a job's waiting tasks. For the
// first job of a list it replaces the smallest demand.
func (wl *waitingList) include(jb *job, isFirst bool) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount == 0 {
				continue
			}
			demand := st.spec.ReservedResources()
			if isFirst {
				wl.smallest = demand
				isFirst = false
				continue
			}
			wl.smallest = modeller.Resources{
				MilliCores:   min(wl.smallest.MilliCores, demand.MilliCores),
				MemoryMB:     min(wl.smallest.MemoryMB, demand.MemoryMB),
				Accelerators: min(wl.smallest.Accelerators, demand.Accelerators),
			}
		}
	}
}

// mayWait reports whether the job has tasks that wait for a start.
func (jb *job) mayWait() bool {
	return jb.outcome == "" && !jb.isCancelled && jb.hasWaitingTasks()
}
