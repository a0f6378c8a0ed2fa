package allocator

import (
	"container/heap"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// waitingList holds the jobs of a pool that may have waiting tasks.
type waitingList struct {
	// ranked are the jobs in the order of service. Jobs that have no waiting
	// tasks any more stay until they are considered for placement.
	ranked []rankedJob
	due    dueChanges
	// insertions counts the insertions.
	insertions int
	// smallest is at most the demand of any waiting task, in each resource.
	smallest modeller.Resources
	// hasAdvice is true if a queue of the pool has an advice service, which is
	// asked even while no worker has room.
	hasAdvice bool
}

// enlist adds a job to the waiting list of its pool, or updates the list if it
// contains the job.
func (al *Allocator) enlist(now time.Time, jb *job) {
	pool := jb.queue.Pool
	if pool == "" || !jb.mayWait() {
		return
	}
	al.addStartPool(jb)
	al.changes.note(pool)
	wl := al.waiting[pool]
	if wl == nil {
		wl = &waitingList{}
		al.waiting[pool] = wl
	}
	wl.hasAdvice = wl.hasAdvice || jb.queue.Advice != nil
	wl.smallest = smallestDemand(jb, wl.smallest, len(wl.ranked) == 0)
	if jb.list == nil {
		wl.insert(newRankedJob(now, jb))
		al.effort.jobs++
	}
}

// minDueChanges is the number of due changes up to which void ones are kept.
const minDueChanges = 64

// insert adds a job at its place in the order of service.
func (wl *waitingList) insert(rj rankedJob) {
	wl.insertions++
	rj.insertion = wl.insertions
	rj.job.list = wl
	rj.job.rank = rj
	position, _ := slices.BinarySearchFunc(wl.ranked, rj, rankedJob.compare)
	wl.ranked = slices.Insert(wl.ranked, position, rj)
	wl.due.discardVoid(2*len(wl.ranked) + minDueChanges)
	if !rj.until.IsZero() {
		heap.Push(&wl.due, dueChange{
			at:        rj.until,
			job:       rj.job,
			insertion: rj.insertion,
		})
	}
}

// withdraw removes a job from its waiting list.
func (jb *job) withdraw() {
	if jb.list == nil {
		return
	}
	if position, ok := slices.BinarySearchFunc(jb.list.ranked, jb.rank, rankedJob.compare); ok {
		jb.list.ranked = slices.Delete(jb.list.ranked, position, position+1)
	}
	jb.list = nil
}

// rerank updates a job's place in its waiting list.
func (al *Allocator) rerank(now time.Time, jb *job) {
	wl := jb.list
	if wl == nil {
		return
	}
	al.effort.jobs++
	jb.withdraw()
	wl.insert(newRankedJob(now, jb))
}

// rerankDue updates the places of the jobs whose service class has changed with
// time.
func (al *Allocator) rerankDue(now time.Time, wl *waitingList) {
	for jb := wl.due.takeDue(now); jb != nil; jb = wl.due.takeDue(now) {
		al.rerank(now, jb)
	}
}

// smallestDemand returns the smaller of a demand and those of a job's waiting
// tasks, in each resource. It ignores the given demand if isFirst is true.
func smallestDemand(jb *job, smallest modeller.Resources, isFirst bool) modeller.Resources {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount == 0 {
				continue
			}
			demand := st.reserved
			if isFirst {
				smallest = demand
				isFirst = false
				continue
			}
			smallest = modeller.Resources{
				MilliCores:   min(smallest.MilliCores, demand.MilliCores),
				MemoryMB:     min(smallest.MemoryMB, demand.MemoryMB),
				Accelerators: min(smallest.Accelerators, demand.Accelerators),
			}
		}
	}
	return smallest
}

// mayWait reports whether the job has tasks that wait for a start.
func (jb *job) mayWait() bool {
	return jb.outcome == "" && !jb.isCancelled && jb.hasWaitingTasks()
}
