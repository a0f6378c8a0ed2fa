package scheduler

import "time"

// shedInterval is how long the queue delay of a level must stay above the
// target delay before a level is shed.
const shedInterval = 100 * time.Millisecond

// shedder decides which urgency levels are shed. As in CoDel, a level whose
// queue delay stays above the target delay for a whole interval has a standing
// queue. Then one more level is shed in each interval, least urgent first.
type shedder struct {
	// firstShed is the most urgent level that is shed, or levelCount if none
	// is.
	firstShed int
	// intervalEnd is the end of the current interval, or zero before the first
	// one.
	intervalEnd time.Time
	// minDelay is the minimum queue delay of each level in the current
	// interval.
	minDelay [levelCount]time.Duration
	disabled bool
}

func newShedder(disabled bool) *shedder {
	return &shedder{
		firstShed: levelCount,
		disabled:  disabled,
	}
}

// maxWait returns how long a request with the given urgency may be queued.
func (sh *shedder) maxWait(urgency int, targetDelay, maxDelay time.Duration) time.Duration {
	if urgency >= sh.firstShed {
		return min(targetDelay, maxDelay)
	}
	return maxDelay
}

// observe records the current queue delays of the urgent levels and, at the end
// of an interval, updates the shed levels.
func (sh *shedder) observe(now time.Time, qu *queue, targetDelay time.Duration) {
	if sh.disabled {
		return
	}
	_, to := qu.levelRange(urgentWork)
	if sh.intervalEnd.IsZero() || !now.Before(sh.intervalEnd.Add(shedInterval)) {
		sh.startInterval(now, qu)
		return
	}
	for le := range to {
		sh.minDelay[le] = min(sh.minDelay[le], qu.oldestWait(now, le))
	}
	if now.Before(sh.intervalEnd) {
		return
	}
	sh.updateFirstShed(to, targetDelay)
	sh.startInterval(now, qu)
}

// startInterval starts a new interval.
func (sh *shedder) startInterval(now time.Time, qu *queue) {
	sh.intervalEnd = now.Add(shedInterval)
	for le := range sh.minDelay {
		sh.minDelay[le] = qu.oldestWait(now, le)
	}
	if qu.lenOf(urgentWork) == 0 {
		sh.firstShed = levelCount
		sh.intervalEnd = time.Time{}
	}
}

// updateFirstShed sheds one more level, or stops shedding levels without a
// standing queue. For a level that is already shed, a delay above half the
// target delay counts as a standing queue.
func (sh *shedder) updateFirstShed(to int, targetDelay time.Duration) {
	for le := min(sh.firstShed, to) - 1; le >= 0; le-- {
		if sh.minDelay[le] > targetDelay {
			sh.firstShed = le
			return
		}
	}
	for le := sh.firstShed; le < to; le++ {
		if sh.minDelay[le] > targetDelay/2 {
			sh.firstShed = le
			return
		}
	}
	sh.firstShed = levelCount
}

// next returns when observe is next due while requests are queued.
func (sh *shedder) next() time.Time {
	return sh.intervalEnd
}
