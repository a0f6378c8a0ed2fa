package scheduler

import "time"

// shedInterval is the time for which the queue delay must stay above its
// target until a level is shed.
const shedInterval = 100 * time.Millisecond

// shedder decides which urgencies are shed. A level whose queue delay stays
// above the target for a whole interval has a standing queue; then one more
// level is shed in each interval, least urgent first.
type shedder struct {
	// from is the most urgent level that is shed; levelCount if none.
	from int
	// ends is the end of the present interval; zero before the first.
	ends time.Time
	// least is the least delay of each level in the present interval.
	least    [levelCount]time.Duration
	disabled bool
}

func newShedder(disabled bool) *shedder {
	return &shedder{
		from:     levelCount,
		disabled: disabled,
	}
}

// limit returns how long a request of an urgency may wait.
func (sh *shedder) limit(urgency int, target, most time.Duration) time.Duration {
	if urgency >= sh.from {
		return min(target, most)
	}
	return most
}

// observe takes the present delays of the urgent levels.
func (sh *shedder) observe(now time.Time, qu *queue, target time.Duration) {
	if sh.disabled {
		return
	}
	_, to := qu.span(urgentWork)
	if sh.ends.IsZero() || !now.Before(sh.ends.Add(shedInterval)) {
		sh.restart(now, qu)
		return
	}
	for le := range to {
		sh.least[le] = min(sh.least[le], qu.delay(now, le))
	}
	if now.Before(sh.ends) {
		return
	}
	sh.judge(to, target)
	sh.restart(now, qu)
}

// restart begins an interval.
func (sh *shedder) restart(now time.Time, qu *queue) {
	sh.ends = now.Add(shedInterval)
	for le := range sh.least {
		sh.least[le] = qu.delay(now, le)
	}
	if qu.lenOf(urgentWork) == 0 {
		sh.from = levelCount
		sh.ends = time.Time{}
	}
}

// judge sheds one more level, or takes back levels without a standing queue.
// A level that is shed has a standing queue down to half the target.
func (sh *shedder) judge(to int, target time.Duration) {
	for le := min(sh.from, to) - 1; le >= 0; le-- {
		if sh.least[le] > target {
			sh.from = le
			return
		}
	}
	for le := sh.from; le < to; le++ {
		if sh.least[le] > target/2 {
			sh.from = le
			return
		}
	}
	sh.from = levelCount
}

// next returns when observe is next due while requests wait.
func (sh *shedder) next() time.Time {
	return sh.ends
}
