package allocator

import (
	"container/heap"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/jobs/sharer"
)

// levelInterval is the interval at which the levels of all teams above their shares are
// determined anew. They sink while others start, also if no job of theirs is considered.
const levelInterval = 250 * time.Millisecond

// setWeights applies the weights of a configuration's teams.
func (al *Allocator) setWeights(teams map[string]modeller.Team) {
	al.weights = make(map[string]float64, len(teams))
	for name, tm := range teams {
		al.weights[name] = tm.Weight
	}
	if len(teams) == 0 {
		clear(al.shares)
	}
	for _, sr := range al.shares {
		sr.SetWeights(al.weights)
	}
}

// sharesOf returns the measure of the teams' shares of a pool, or nil without teams.
func (al *Allocator) sharesOf(pool string) *sharer.Sharer {
	if len(al.weights) == 0 {
		return nil
	}
	sr := al.shares[pool]
	if sr == nil {
		sr = sharer.New()
		sr.SetWeights(al.weights)
		al.shares[pool] = sr
	}
	return sr
}

// chargeShare records the start of a task of a step. Long-running tasks aren't charged,
// since their duration is unknown.
func (al *Allocator) chargeShare(now time.Time, st *step) {
	sr := al.shares[st.job.queue.Pool]
	if sr == nil || st.spec.IsLongRunning {
		return
	}
	sr.Charge(now, st.job.info.Team, time.Duration(st.reserved.Cores()*float64(st.spec.Estimate)))
}

// updateLevel determines the level of a list, and reports whether it has changed.
func (wl *waitingList) updateLevel(now time.Time, tl *teamList) bool {
	if wl.shares == nil || tl.ranked[tl.position].class == classLongRunning {
		return false
	}
	level := wl.shares.Excess(now, tl.team)
	if level == tl.level {
		return false
	}
	tl.level = level
	tl.restoreOrder()
	return true
}

// refreshLevels determines the levels of the teams above their shares if that is due.
func (wl *waitingList) refreshLevels(now time.Time) {
	if wl.shares == nil || now.Sub(wl.refreshedAt) < levelInterval {
		return
	}
	wl.refreshedAt = now
	for _, tl := range wl.order {
		if tl.level > 0 {
			tl.level = wl.shares.Excess(now, tl.team)
		}
	}
	heap.Init(&wl.order)
}
