package allocator

import (
	"cmp"
	"container/heap"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

// teamList holds the jobs of a team in a waiting list. Without teams a waiting list
// has one, that of the team without a name.
type teamList struct {
	team string
	// pool is the waiting list that the list is a part of.
	pool *waitingList
	// ranked are the jobs in the order of service. Jobs that have no waiting tasks any
	// more stay until they are considered for placement.
	ranked []rankedJob
	// position is that of the next job to be considered in a placement, and zero
	// between placements.
	position int
	// index is that in the pool's order, or -1 if the list isn't part of it, since it
	// is empty or held back.
	index int
	// level is how far the team exceeds its share of the pool, when that was last
	// determined.
	level int
	// isHeld is true while the team's cap allows no waiting task.
	isHeld bool
	// least is at most the demand of any waiting task, in each resource.
	// considered is that of the jobs that a placement has considered and that still
	// wait, and consideredCount the number of these.
	least, considered leastDemand
	consideredCount   int
}

// leastDemand is a lower bound of the demands of tasks, in each resource.
type leastDemand struct {
	// reserved is for what the tasks reserve on their workers, and charged for what
	// counts against their team's cap.
	reserved, charged modeller.Resources
}

// leastDemand returns the least demand of the job's waiting tasks, of which there are
// some.
func (jb *job) leastDemand() leastDemand {
	var least leastDemand
	isFirst := true
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount > 0 {
				least.include(leastDemand{reserved: st.reserved, charged: st.spec.Demand}, isFirst)
				isFirst = false
			}
		}
	}
	return least
}

// include lowers the bound to another one, or replaces it if isFirst is true.
func (ld *leastDemand) include(other leastDemand, isFirst bool) {
	if isFirst {
		*ld = other
		return
	}
	ld.reserved = ld.reserved.Min(other.reserved)
	ld.charged = ld.charged.Min(other.charged)
}

// teamOrder is a heap of the lists with waiting jobs by the next job of each.
type teamOrder []*teamList

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (to teamOrder) Len() int { return len(to) }

// Less orders lists by their next jobs. Lists without any come last.
func (to teamOrder) Less(i, j int) bool {
	if to[i].isExhausted() || to[j].isExhausted() {
		return !to[i].isExhausted()
	}
	return to[i].compare(to[j]) < 0
}

// Swap exchanges two lists.
func (to teamOrder) Swap(i, j int) {
	to[i], to[j] = to[j], to[i]
	to[i].index, to[j].index = i, j
}

// Push appends a list.
func (to *teamOrder) Push(list any) {
	tl := list.(*teamList)
	tl.index = len(*to)
	*to = append(*to, tl)
}

// Pop removes the last list.
func (to *teamOrder) Pop() any {
	last := len(*to) - 1
	tl := (*to)[last]
	tl.index = -1
	(*to)[last] = nil
	*to = (*to)[:last]
	return tl
}

// isExhausted reports whether a placement has considered all jobs of the list.
func (tl *teamList) isExhausted() bool { return tl.position >= len(tl.ranked) }

// compare orders lists by their next jobs. Within a service class and priority, jobs of
// teams that exceed their shares more come later. Long-running jobs have no share.
func (tl *teamList) compare(other *teamList) int {
	next, otherNext := tl.ranked[tl.position], other.ranked[other.position]
	if next.class == classLongRunning {
		return next.compare(otherNext)
	}
	return cmp.Or(cmp.Compare(next.class, otherNext.class), cmp.Compare(next.priority, otherNext.priority), cmp.Compare(tl.level, other.level), next.compare(otherNext))
}

// insert adds a job at its place in the order of service.
func (tl *teamList) insert(rj rankedJob) {
	position, _ := slices.BinarySearchFunc(tl.ranked, rj, rankedJob.compare)
	tl.ranked = slices.Insert(tl.ranked, position, rj)
	tl.restoreOrder()
}

// remove removes a job.
func (tl *teamList) remove(rj rankedJob) {
	position, ok := slices.BinarySearchFunc(tl.ranked, rj, rankedJob.compare)
	if !ok {
		return
	}
	tl.ranked = slices.Delete(tl.ranked, position, position+1)
	if position < tl.position {
		tl.position--
	}
	tl.restoreOrder()
}

// restoreOrder updates the place of the list in its pool's order after a change of its
// next job.
func (tl *teamList) restoreOrder() {
	isOrdered := len(tl.ranked) > 0 && !tl.isHeld
	switch {
	case isOrdered && tl.index < 0:
		heap.Push(&tl.pool.order, tl)
	case isOrdered:
		heap.Fix(&tl.pool.order, tl.index)
	case tl.index >= 0:
		heap.Remove(&tl.pool.order, tl.index)
	}
}
