package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// maxWallClockError is the greatest difference between the wall clocks of two holders,
	// each of which may be wrong by 2 s. A greater one only costs a longer wait.
	maxWallClockError = 4 * time.Second
	// settleInterval is the interval between searches for workers that are settled. It
	// bounds how often the roster is stored for them.
	settleInterval = time.Second
)

// Leases that a worker may have beyond those that this holder grants:
//
// An order with a lease goes to an incarnation that has reported to its sender and is on
// the stored roster. It names the end of the lease by the clock of that incarnation, at most
// RunLease ahead, so that incarnation has RunLease at most from its receipt on. Another one
// that carries the order out shortens the lease to MaxRunLease, since its clock may be
// anywhere. So the longest lease has to be awaited from the first report of an incarnation
// on: orders for the one before may have reached it until then. The token of the poll that
// it has answered keeps later ones from it.
//
// After a takeover that need not be awaited again for an incarnation that is settled by
// the roster: it had reported to the holder that stored the roster, and the longest lease
// had passed since. The orders that it has accepted since then have the token of that holder
// or of a later one. Later holders can have had reports of this incarnation only, as it was
// up before their terms began. So none has granted more than RunLease by its clock.

// limitEarlierLease limits the lease that an incarnation may have got by orders before its
// first report.
func (al *Allocator) limitEarlierLease(now time.Time, wk *worker) {
	switch {
	case wk.generation == 0 && !wk.mayHoldOldRuns:
	case wk.generation == 0 && al.isSameIncarnation(now, wk, wk.inherited):
		wk.isSettled = true
		wk.strayLeaseExpiry = now.Add(maxElapsed(al.bounds.RunLease) + leaseMargin)
	default:
		wk.strayLeaseExpiry = now.Add(al.maxLeaseTime())
	}
	wk.inherited = modeller.Incarnation{}
}

// isSameIncarnation reports whether a worker's incarnation is a recorded one. Start times
// alone don't tell, since a worker's wall clock may be set back.
func (al *Allocator) isSameIncarnation(now time.Time, wk *worker, recorded modeller.Incarnation) bool {
	if recorded.StartedAtMS == 0 || recorded.StartedAtMS != wk.startedAtMS {
		return false
	}
	elapsed := now.Add(al.wallClockOffset).Sub(recorded.ReadAt)
	tolerance := maxWallClockError + time.Duration(clockDrift*float64(elapsed.Abs()))
	return (al.estimateClock(now, wk) - recorded.Clock - elapsed).Abs() <= tolerance
}

// settleWorkers settles the incarnations that have no longer lease than a holder grants.
func (al *Allocator) settleWorkers(now time.Time) {
	if now.Sub(al.settledAt) < settleInterval {
		return
	}
	al.settledAt = now
	for _, wk := range al.workers.sorted {
		if wk.isSynced && !wk.isSettled && wk.startedAtMS != 0 && now.After(wk.strayLeaseExpiry) {
			wk.isSettled = true
			al.isRosterDirty = true
		}
	}
}

// settledIncarnation returns a worker's incarnation for the roster if it is settled. Until
// the worker reports, it is that of the roster before.
func (al *Allocator) settledIncarnation(now time.Time, wk *worker) modeller.Incarnation {
	if !wk.isSettled {
		return wk.inherited
	}
	return modeller.Incarnation{
		StartedAtMS: wk.startedAtMS,
		Clock:       al.estimateClock(now, wk),
		ReadAt:      now.Add(al.wallClockOffset),
	}
}
