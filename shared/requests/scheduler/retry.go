package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// maxFailures bounds the failed attempts of one request.
	maxFailures = 4
	// minBackoff bounds the pause before a first retry; it doubles for each
	// further one up to maxBackoff.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
)

// backoff computes pauses before retries: exponential with full jitter.
type backoff struct {
	random *rand.Rand
}

// pause returns the pause after the number of failures.
func (bo *backoff) pause(failures int) time.Duration {
	bound := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return time.Duration(bo.random.Int64N(int64(bound)))
}

// retry arranges the next attempt of a request that has none running; false
// if there may be none. A refusal costs no token, as the target read nothing
// and gets no further work.
func (po *policy) retry(now time.Time, pd *pending, result Result) bool {
	if result == Failed && !pd.Repeatable {
		return false
	}
	if result == Refused {
		if !po.isInTime(now, pd) {
			return false
		}
		po.queue.push(now, pd)
		return true
	}
	pd.failures++
	pause := po.backoff.pause(pd.failures)
	if pd.failures >= maxFailures || !po.isInTime(now.Add(pause), pd) || !po.budget.take(now) {
		return false
	}
	pd.stage = backingOff
	po.alarms.set(pd, now.Add(pause))
	return true
}

// isInTime reports whether a request started at a time can end before its
// deadline.
func (po *policy) isInTime(at time.Time, pd *pending) bool {
	least := po.estimator.leastToRefuse(po.now, po.queue.kindOf(pd.Urgency))
	return at.Add(least).Before(pd.Deadline)
}

// ring does what the alarms call for.
func (po *policy) ring(now time.Time) {
	for pd := po.alarms.pop(now); pd != nil; pd = po.alarms.pop(now) {
		switch pd.stage {
		case backingOff:
			po.queue.push(now, pd)
		case running:
			po.hedge(now, pd)
		case queued, over:
		}
	}
}

// hedge starts a second attempt beside a slow first one, if a slot is idle and
// the budget allows it.
func (po *policy) hedge(now time.Time, pd *pending) {
	if len(pd.attempts) != 1 || pd.made != 1 || !po.isInTime(now, pd) {
		return
	}
	tt := po.picker.pickUntried(now, pd, urgentWork)
	if tt == nil || !po.budget.take(now) {
		return
	}
	po.hedges++
	po.start(now, pd, tt, urgentWork, true)
}
