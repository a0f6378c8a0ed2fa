package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// placement is one round of placing tasks.
type placement struct {
	now     time.Time
	pools   []*poolPlacement
	oldRuns oldRunChecks
	// advice is the request that is sent to the advice service, or nil.
	advice *adviceRequest
}

// poolPlacement is the part of a placement in one pool.
type poolPlacement struct {
	name    string
	list    *waitingList
	workers []*worker
	// hasHead is true while the next job is known to be that of the first list.
	hasHead bool
	// isFull is true once no worker has room for any waiting task.
	isFull bool
	// maxFree is, in each resource, at least what any eligible worker has free,
	// once hasMaxFree is true. Free resources only shrink during a placement.
	maxFree    modeller.Resources
	hasMaxFree bool
	// full are the demands for which no worker has room. They stay so during a
	// placement.
	full map[labelledDemand]struct{}
}

// labelledDemand is what a task requires of a worker, apart from constraints
// that depend on the worker's other runs.
type labelledDemand struct {
	resources modeller.Resources
	label     string
}

// newPlacement returns a placement in the pools that have changed since the
// last one and have waiting tasks and room.
func (al *Allocator) newPlacement(now time.Time) *placement {
	pl := &placement{
		now:     now,
		oldRuns: oldRunChecks{},
	}
	al.releaseHeld()
	for pool, wl := range al.waiting {
		if _, isChanged := al.changes.pools[pool]; !isChanged && !al.changes.isEveryPool || len(wl.order) == 0 {
			continue
		}
		pp := &poolPlacement{
			name:    pool,
			list:    wl,
			workers: al.workers.byPool[pool],
		}
		if al.hasRoom(now, pp) {
			al.rerankDue(now, wl)
			wl.refreshLevels(now)
			pl.pools = append(pl.pools, pp)
		}
	}
	clear(al.changes.pools)
	al.changes.isEveryPool = false
	return pl
}

// nextJob returns the next job of all pools in the order of service, and its pool.
// After the last job it returns nil.
func (al *Allocator) nextJob(pl *placement) (*job, *poolPlacement) {
	var best *poolPlacement
	for _, pp := range pl.pools {
		if pp.isFull || !al.findHead(pl.now, pp) {
			continue
		}
		if best == nil || pp.list.order[0].compare(best.list.order[0]) < 0 {
			best = pp
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.take(), best
}

// findHead reports whether a pool has a further job to consider, which is then the next
// one of the first list. It holds the lists of teams back that may not start any task, and
// moves those behind whose teams have exceeded their shares since.
func (al *Allocator) findHead(now time.Time, pp *poolPlacement) bool {
	if pp.hasHead {
		return true
	}
	wl := pp.list
	for len(wl.order) > 0 && !wl.order[0].isExhausted() {
		tl := wl.order[0]
		switch {
		case al.usage.isHeldBack(tl):
			al.usage.hold(tl)
		case !wl.updateLevel(now, tl):
			pp.hasHead = true
			return true
		}
	}
	return false
}

// take returns the next job of the first list and advances that list.
func (pp *poolPlacement) take() *job {
	pp.hasHead = false
	tl := pp.list.order[0]
	jb := tl.ranked[tl.position].job
	if tl.position == 0 {
		pp.list.considered = append(pp.list.considered, tl)
	}
	tl.position++
	tl.restoreOrder()
	return jb
}

// consider notes a job that has been considered. A job without waiting tasks
// leaves the list.
func (pp *poolPlacement) consider(jb *job) {
	if !jb.mayWait() {
		jb.withdraw()
		return
	}
	tl := jb.list
	tl.considered.include(jb.leastDemand(), tl.consideredCount == 0)
	tl.consideredCount++
}

// finish updates the smallest demands of the lists that were considered to the
// end, and resets the lists for the next placement.
func (pl *placement) finish() {
	for _, pp := range pl.pools {
		isFirst := true
		for _, tl := range pp.list.considered {
			if tl.isExhausted() && tl.consideredCount > 0 {
				tl.least = tl.considered
			}
			if !pp.isFull && !tl.isHeld && tl.consideredCount > 0 {
				if isFirst {
					pp.list.smallest = tl.least.reserved
				}
				pp.list.smallest = pp.list.smallest.Min(tl.least.reserved)
				isFirst = false
			}
			tl.consideredCount = 0
			tl.position = 0
			tl.restoreOrder()
		}
		clear(pp.list.considered)
		pp.list.considered = pp.list.considered[:0]
	}
}

// hasRoom reports whether placing tasks in a pool can have any effect. Steps that
// have no room may still be asked about.
func (al *Allocator) hasRoom(now time.Time, pp *poolPlacement) bool {
	return pp.list.hasAdvice && al.advice.isReady(now) || al.hasRoomFor(now, pp, labelledDemand{
		resources: pp.list.smallest,
	})
}

// hasRoomFor reports whether an eligible worker of a pool has room for a demand.
func (al *Allocator) hasRoomFor(now time.Time, pp *poolPlacement, ld labelledDemand) bool {
	if pp.hasMaxFree && !ld.resources.FitsIn(pp.maxFree) {
		return false
	}
	if _, isFull := pp.full[ld]; isFull {
		return false
	}
	var maxFree modeller.Resources
	for _, wk := range pp.workers {
		al.effort.workers++
		free := wk.free()
		if ld.resources.FitsIn(free) {
			if !al.isEligible(now, wk) {
				continue
			}
			if wk.info.HasLabel(ld.label) {
				return true
			}
		}
		maxFree = maxFree.Max(free)
	}
	pp.maxFree = maxFree
	pp.hasMaxFree = true
	if pp.full == nil {
		pp.full = map[labelledDemand]struct{}{}
	}
	pp.full[ld] = struct{}{}
	return false
}
