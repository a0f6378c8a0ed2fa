package allocator

import (
	"container/heap"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/jobs/sharer"
)

// waitingList holds the jobs of a pool that may have waiting tasks.
type waitingList struct {
	// name is the pool's name.
	name string
	// teams are the lists of the teams by name. order are those with waiting jobs that
	// aren't held back.
	teams map[string]*teamList
	order teamOrder
	// considered are the lists of which the present placement has considered a job.
	considered []*teamList
	// shares measures the teams' shares of the pool, or is nil without teams. The
	// levels of all lists were last determined at refreshedAt.
	shares      *sharer.Sharer
	refreshedAt time.Time
	due         dueChanges
	// jobs is the number of jobs in the list, and insertions counts the insertions.
	jobs, insertions int
	// smallest is at most the demand of any waiting task that isn't held back, in each
	// resource.
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
		wl = &waitingList{
			name:   pool,
			teams:  map[string]*teamList{},
			shares: al.sharesOf(pool),
		}
		al.waiting[pool] = wl
	}
	wl.hasAdvice = wl.hasAdvice || jb.queue.Advice != nil
	tl := wl.teamList(jb.info.Team)
	least := jb.leastDemand()
	tl.least.include(least, len(tl.ranked) == 0)
	if !tl.isHeld {
		wl.lower(least.reserved)
	}
	if jb.list == nil {
		wl.insert(al.rankedJob(now, jb))
		al.effort.jobs++
	}
	if tl.isHeld && !al.usage.isHeldBack(tl) {
		al.usage.released[tl.team] = struct{}{}
	}
}

// teamList returns the list of a team.
func (wl *waitingList) teamList(team string) *teamList {
	tl := wl.teams[team]
	if tl == nil {
		tl = &teamList{
			team:  team,
			pool:  wl,
			index: -1,
		}
		wl.teams[team] = tl
	}
	return tl
}

// lower lowers the smallest demand, unless there is no other one.
func (wl *waitingList) lower(demand modeller.Resources) {
	if len(wl.order) == 0 {
		wl.smallest = demand
		return
	}
	wl.smallest = wl.smallest.Min(demand)
}

// minDueChanges is the number of due changes up to which void ones are kept.
const minDueChanges = 64

// insert adds a job at its place in the order of service.
func (wl *waitingList) insert(rj rankedJob) {
	wl.insertions++
	rj.insertion = wl.insertions
	tl := wl.teamList(rj.job.info.Team)
	rj.job.list = tl
	rj.job.rank = rj
	tl.insert(rj)
	wl.jobs++
	wl.due.discardVoid(2*wl.jobs + minDueChanges)
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
	jb.list.pool.jobs--
	jb.list.remove(jb.rank)
	jb.list = nil
}

// rerank updates a job's place in its waiting list.
func (al *Allocator) rerank(now time.Time, jb *job) {
	if jb.list == nil {
		return
	}
	al.effort.jobs++
	wl := jb.list.pool
	jb.withdraw()
	wl.insert(al.rankedJob(now, jb))
}

// rerankDue updates the places of the jobs whose service class has changed with
// time.
func (al *Allocator) rerankDue(now time.Time, wl *waitingList) {
	for jb := wl.due.takeDue(now); jb != nil; jb = wl.due.takeDue(now) {
		al.rerank(now, jb)
	}
}

// mayWait reports whether the job has tasks that wait for a start.
func (jb *job) mayWait() bool {
	return jb.outcome == "" && !jb.isCancelled && jb.hasWaitingTasks()
}
