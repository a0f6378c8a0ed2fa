package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/ranker"
)

// maxBacklogTeams bounds the teams whose levels a backlog has.
const maxBacklogTeams = 32

// scheduledUntil is the end of a band of scheduled jobs, which have no virtual start and
// precede the others.
const scheduledUntil = -time.Hour

// Backlogs returns the backlogs of the pools with waiting jobs, by pool, or none without
// WithCostOrder or before all records are loaded. Only those of pools for which the fleet
// falls short have bands and levels, since nothing is refused elsewhere.
func (al *Allocator) Backlogs(now time.Time) map[string]admitter.Backlog {
	if !al.hasCostOrder || !al.isLoaded {
		return nil
	}
	backlogs := map[string]admitter.Backlog{}
	capacity := al.averageCapacity()
	for _, pn := range al.fleet.needs {
		wl := al.waiting[pn.name]
		if wl == nil || wl.jobs == 0 {
			continue
		}
		bl := al.poolBacklog(now, pn.name)
		bl.TargetCores = float64(pn.target) * float64(capacity.MilliCores) / 1000
		bl.IsShort = pn.target < pn.urgent
		if bl.IsShort {
			levels := wl.levels(now)
			bl.Excess = greatestLevels(levels)
			bl.Bands = bandsOf(now, al.waitingWork(now, wl, levels))
			bl.LateWork = al.lateWork(now, wl)
		}
		backlogs[pn.name] = bl
	}
	return backlogs
}

// poolBacklog returns what a pool's workers have.
func (al *Allocator) poolBacklog(now time.Time, pool string) admitter.Backlog {
	var bl admitter.Backlog
	for _, wk := range al.workers.byPool[pool] {
		if !wk.isOpen() {
			continue
		}
		bl.Cores += float64(wk.info.Capacity.MilliCores) / 1000
		if al.isEligible(now, wk) {
			bl.FreeMilliCores = max(bl.FreeMilliCores, wk.free().MilliCores)
		}
	}
	return bl
}

// levels returns by how much teams with waiting jobs exceed their shares. Those that don't
// are left out.
func (wl *waitingList) levels(now time.Time) map[string]int {
	levels := map[string]int{}
	if wl.shares == nil {
		return levels
	}
	for team, tl := range wl.teams {
		if len(tl.ranked) == 0 {
			continue
		}
		if level := wl.shares.Excess(now, team); level > 0 {
			levels[team] = level
		}
	}
	return levels
}

// greatestLevels returns the greatest levels, at most maxBacklogTeams of them. A team that
// is left out counts as within its share, so that fewer of its jobs are refused.
func greatestLevels(levels map[string]int) map[string]int {
	if len(levels) <= maxBacklogTeams {
		return levels
	}
	teams := slices.SortedFunc(maps.Keys(levels), func(a, b string) int {
		return cmp.Or(cmp.Compare(levels[b], levels[a]), cmp.Compare(a, b))
	})
	greatest := make(map[string]int, maxBacklogTeams)
	for _, team := range teams[:maxBacklogTeams] {
		greatest[team] = levels[team]
	}
	return greatest
}

// jobWork is the work of a waiting job at its place in the order of service.
type jobWork struct {
	excess int
	key    ranker.Key
	work   time.Duration
}

// compare orders work for service.
func (jw jobWork) compare(other jobWork) int {
	return cmp.Or(cmp.Compare(jw.key.Priority, other.key.Priority), cmp.Compare(jw.excess, other.excess), jw.key.VirtualStart.Compare(other.key.VirtualStart), cmp.Compare(jw.work, other.work))
}

// isSameGroup reports whether only the virtual starts order the two.
func (jw jobWork) isSameGroup(other jobWork) bool {
	return jw.key.Priority == other.key.Priority && jw.excess == other.excess
}

// waitingWork returns the work of a pool's waiting jobs that can still be on time, in the
// order of service. Jobs that their team's cap holds back take no room from others.
func (al *Allocator) waitingWork(now time.Time, wl *waitingList, levels map[string]int) []jobWork {
	var all []jobWork
	for team, tl := range wl.teams {
		if tl.isHeld || al.usage.isHeldBack(tl) {
			continue
		}
		for _, rj := range tl.ranked {
			if rj.class > classOnTime {
				break
			}
			// The class of a job changes with the next placement.
			isLate := !rj.until.IsZero() && now.After(rj.until)
			if rj.class != classOnTime || isLate || rj.job.outcome != "" || rj.job.isCancelled || al.isHeldBack(rj.job) {
				continue
			}
			if work := rj.job.waitingCoreTime(); work > 0 {
				all = append(all, jobWork{
					excess: levels[team],
					key:    ranker.Key{Priority: rj.priority, VirtualStart: rj.key.VirtualStart},
					work:   work,
				})
			}
		}
	}
	slices.SortFunc(all, jobWork.compare)
	return all
}

// lateWork returns the work of a pool's waiting jobs that are late and still have value.
func (al *Allocator) lateWork(now time.Time, wl *waitingList) time.Duration {
	var late time.Duration
	for _, tl := range wl.teams {
		if tl.isHeld || al.usage.isHeldBack(tl) {
			continue
		}
		for _, rj := range tl.ranked {
			isLate := rj.class == classLate || rj.class == classOnTime && !rj.until.IsZero() && now.After(rj.until)
			if isLate && rj.job.outcome == "" && !rj.job.isCancelled {
				late += rj.job.waitingCoreTime()
			}
		}
	}
	return late
}

// waitingCoreTime returns the estimated core time of the tasks that aren't done and have no
// run.
func (jb *job) waitingCoreTime() time.Duration {
	var waiting time.Duration
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			waiting += st.spec.CoreTime(st.waitingCount)
		}
	}
	return waiting
}

// bandsOf divides work, which is in the order of service, into at most admitter.MaxBands
// bands of about the same work. A band has jobs of one priority and level, unless there are
// more of these groups than bands: then the last ones are together, by the end of their
// order, so that they count as ahead of no job that isn't behind all of them.
func bandsOf(now time.Time, all []jobWork) []admitter.Band {
	var total time.Duration
	groups := 0
	for idx, jw := range all {
		total += jw.work
		if idx == 0 || !jw.isSameGroup(all[idx-1]) {
			groups++
		}
	}
	// Each group may have a last band with less than the share.
	share := total / time.Duration(max(admitter.MaxBands-groups, 1))
	var bands []admitter.Band
	for idx, jw := range all {
		isNew := idx == 0 || !jw.isSameGroup(all[idx-1]) || bands[len(bands)-1].Work >= share
		if isNew && len(bands) < admitter.MaxBands {
			bands = append(bands, admitter.Band{})
		}
		bd := &bands[len(bands)-1]
		bd.Excess = jw.excess
		bd.Priority = jw.key.Priority
		bd.Until = max(jw.key.VirtualStart.Sub(now), scheduledUntil)
		bd.Work += jw.work
	}
	return bands
}
