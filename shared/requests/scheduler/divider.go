package scheduler

import (
	"math"
	"time"
)

const (
	// peakWindow is the length of a window of the peak of urgent demand. A peak
	// counts for one to two windows.
	peakWindow = 2 * time.Minute
	// demandSmoothingTime is the time constant of the smoothing of urgent
	// demand. A shorter burst is not counted and waits for a slot of urgent
	// work to become free.
	demandSmoothingTime = 500 * time.Millisecond
	// turnoverWindow is the time ahead within which slots that long work is
	// expected to free count as available to urgent work.
	turnoverWindow = 500 * time.Millisecond
	// minHeadroom is the minimum number of slots left free by long work that
	// borrows beyond its share.
	minHeadroom = 1
)

// divider divides the slots of a service between urgent and long work. Long
// work has a guaranteed share. Beyond it, long work borrows only slots that the
// recent peak of urgent demand did not need, because a running long request
// can't be preempted.
type divider struct {
	share       float64
	running     [kindCount]int
	lastStarted kind
	demand      smoothed
	peak        peak
	unlimited   bool
}

// guaranteed returns how many of the slots are reserved for long work.
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

// choose returns the kind of work that gets the next free slot, or false if no
// slot is free or neither kind may use it.
func (dv *divider) choose(now time.Time, waiting [kindCount]int, total, free int, longMean time.Duration) (kind, bool) {
	peakDemand := dv.observe(now, waiting)
	switch {
	case free == 0:
		return 0, false
	case waiting[longWork] == 0:
		return urgentWork, waiting[urgentWork] > 0
	case dv.isBelowShare(waiting, total):
		return longWork, true
	case waiting[urgentWork] > 0:
		return urgentWork, true
	default:
		return longWork, dv.mayBorrow(peakDemand, total, free, longMean)
	}
}

// observe records the current urgent demand and returns its recent peak.
func (dv *divider) observe(now time.Time, waiting [kindCount]int) int {
	demand := dv.running[urgentWork] + waiting[urgentWork]
	return dv.peak.observe(now, int(math.Ceil(dv.demand.observe(now, float64(demand)))))
}

// isBelowShare reports whether long work is entitled to the next slot because
// it runs on fewer slots than its share. On a single slot the two kinds
// alternate.
func (dv *divider) isBelowShare(waiting [kindCount]int, total int) bool {
	if dv.running[longWork] >= dv.guaranteed(total) {
		return false
	}
	return total > 1 || waiting[urgentWork] == 0 || dv.lastStarted == urgentWork
}

// mayBorrow reports whether long work may take one slot beyond its share. The
// remaining free slots must cover the peak of urgent demand.
func (dv *divider) mayBorrow(peakDemand, total, free int, longMean time.Duration) bool {
	if dv.unlimited {
		return true
	}
	urgentSlots := total - dv.guaranteed(total)
	missing := min(peakDemand, urgentSlots) - dv.running[urgentWork]
	headroom := max(missing-dv.turnover(longMean), minHeadroom)
	return free-1 >= headroom
}

// turnover estimates the number of slots that long work frees within
// turnoverWindow.
func (dv *divider) turnover(longMean time.Duration) int {
	if longMean <= 0 {
		return 0
	}
	share := min(float64(turnoverWindow)/float64(longMean), 1)
	return int(share * float64(dv.running[longWork]))
}

func (dv *divider) start(kd kind) {
	dv.running[kd]++
	dv.lastStarted = kd
}

func (dv *divider) finish(kd kind) { dv.running[kd]-- }

// smoothed is an exponentially smoothed value with the time constant
// demandSmoothingTime.
type smoothed struct {
	mean, lastValue float64
	updatedAt       time.Time
}

// observe returns the smoothed value up to now and records the current value.
func (sm *smoothed) observe(now time.Time, value float64) float64 {
	if !sm.updatedAt.IsZero() {
		weight := 1 - math.Exp(-float64(now.Sub(sm.updatedAt))/float64(demandSmoothingTime))
		sm.mean += (sm.lastValue - sm.mean) * weight
	}
	sm.updatedAt = now
	sm.lastValue = value
	return sm.mean
}

// peak is the maximum over the current and the previous window. It is unbounded
// until the first window has ended.
type peak struct {
	current   int
	previous  int
	windowEnd time.Time
}

func (pe *peak) observe(now time.Time, value int) int {
	switch {
	case pe.windowEnd.IsZero():
		pe.previous = math.MaxInt
		pe.windowEnd = now.Add(peakWindow)
	case !now.Before(pe.windowEnd.Add(peakWindow)):
		pe.previous = 0
		pe.current = 0
		pe.windowEnd = now.Add(peakWindow)
	case !now.Before(pe.windowEnd):
		pe.previous = pe.current
		pe.current = 0
		pe.windowEnd = pe.windowEnd.Add(peakWindow)
	}
	pe.current = max(pe.current, value)
	return max(pe.current, pe.previous)
}
