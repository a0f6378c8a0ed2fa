package scheduler

import (
	"math"
	"time"
)

const (
	// peakWindow is the time over which the peak of urgent work is kept, at
	// least once and at most twice.
	peakWindow = 2 * time.Minute
	// demandTime is the time constant over which urgent demand is smoothed; a
	// shorter excess waits for a slot of urgent work.
	demandTime = 500 * time.Millisecond
	// turnoverTime is the time within which slots that long work frees count
	// as available to urgent work.
	turnoverTime = 500 * time.Millisecond
	// minHeadroom is the number of slots that long work beyond its share
	// leaves free.
	minHeadroom = 1
)

// divider divides a service's slots between urgent and long work. Long work
// keeps its share, and beyond it borrows slots that urgent work has not needed
// for a while, because a long request can't be interrupted.
type divider struct {
	share     float64
	running   [kindCount]int
	last      kind
	demand    smoothed
	peak      peak
	unlimited bool
}

// guaranteed returns the slots that long work keeps of the total.
func (dv *divider) guaranteed(total int) int {
	if dv.share <= 0 || total == 0 {
		return 0
	}
	if total == 1 {
		return 1
	}
	slots := int(math.Round(dv.share * float64(total)))
	return min(max(slots, 1), total-1)
}

// choose returns the kind of work that gets the next free slot; false if
// neither may have it.
func (dv *divider) choose(now time.Time, waiting [kindCount]int, total, free int, longTime time.Duration) (kind, bool) {
	peakDemand := dv.observe(now, waiting)
	switch {
	case free == 0:
		return 0, false
	case waiting[longWork] == 0:
		return urgentWork, waiting[urgentWork] > 0
	case dv.isOwed(waiting, total):
		return longWork, true
	case waiting[urgentWork] > 0:
		return urgentWork, true
	default:
		return longWork, dv.mayBorrow(peakDemand, total, free, longTime)
	}
}

// observe takes the present urgent demand and returns its recent peak.
func (dv *divider) observe(now time.Time, waiting [kindCount]int) int {
	demand := dv.running[urgentWork] + waiting[urgentWork]
	return dv.peak.observe(now, int(math.Ceil(dv.demand.observe(now, float64(demand)))))
}

// isOwed reports whether long work has less than its share. With a single
// slot the kinds take turns.
func (dv *divider) isOwed(waiting [kindCount]int, total int) bool {
	if dv.running[longWork] >= dv.guaranteed(total) {
		return false
	}
	return total > 1 || waiting[urgentWork] == 0 || dv.last == urgentWork
}

// mayBorrow reports whether long work may take one slot beyond its share: the
// rest must do for the peak of urgent work.
func (dv *divider) mayBorrow(peakDemand, total, free int, longTime time.Duration) bool {
	if dv.unlimited {
		return true
	}
	most := total - dv.guaranteed(total)
	missing := min(peakDemand, most) - dv.running[urgentWork]
	headroom := max(missing-dv.turnover(longTime), minHeadroom)
	return free-1 >= headroom
}

// turnover returns the slots that long work frees within turnoverTime.
func (dv *divider) turnover(longTime time.Duration) int {
	if longTime <= 0 {
		return 0
	}
	share := min(float64(turnoverTime)/float64(longTime), 1)
	return int(share * float64(dv.running[longWork]))
}

func (dv *divider) start(kd kind) {
	dv.running[kd]++
	dv.last = kd
}

func (dv *divider) finish(kd kind) { dv.running[kd]-- }

// smoothed is a value smoothed over demandTime.
type smoothed struct {
	mean, last float64
	at         time.Time
}

// observe returns the smoothed value up to now and takes the present one.
func (sm *smoothed) observe(now time.Time, value float64) float64 {
	if !sm.at.IsZero() {
		weight := 1 - math.Exp(-float64(now.Sub(sm.at))/float64(demandTime))
		sm.mean += (sm.last - sm.mean) * weight
	}
	sm.at = now
	sm.last = value
	return sm.mean
}

// peak is the largest value seen in the present and the previous window. It
// is unbounded until a whole window has passed.
type peak struct {
	present  int
	previous int
	ends     time.Time
}

func (pe *peak) observe(now time.Time, value int) int {
	switch {
	case pe.ends.IsZero():
		pe.previous = math.MaxInt
		pe.ends = now.Add(peakWindow)
	case !now.Before(pe.ends.Add(peakWindow)):
		pe.previous = 0
		pe.present = 0
		pe.ends = now.Add(peakWindow)
	case !now.Before(pe.ends):
		pe.previous = pe.present
		pe.present = 0
		pe.ends = pe.ends.Add(peakWindow)
	}
	pe.present = max(pe.present, value)
	return max(pe.present, pe.previous)
}
