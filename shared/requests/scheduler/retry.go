package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// maxFailures bounds the number of failed attempts of one request.
	maxFailures = 4
	// minBackoff is the upper bound of the pause before the first retry. It
	// doubles with each further retry up to maxBackoff.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
)

// backoff computes the pauses before retries: exponential backoff with full
// jitter.
type backoff struct {
	random *rand.Rand
}

// next returns the pause after the given number of failures.
func (bo *backoff) next(failures int) time.Duration {
	bound := min(minBackoff<<min(failures-1, 10), maxBackoff)
	return time.Duration(bo.random.Int64N(int64(bound)))
}

// retry schedules the next attempt of a request that has none in flight. It
// returns false if no further attempt is allowed. A retry after a refusal costs
// no token, because the target read nothing and gets no further work.
func (po *policy) retry(now time.Time, pd *pending, result Result) bool {
	if result == Failed && !pd.Repeatable {
		return false
	}
	if result == Refused {
		if !po.canMeetDeadline(now, pd) {
			return false
		}
		po.queue.push(now, pd)
		return true
	}
	pd.failures++
	pause := po.backoff.next(pd.failures)
	if pd.failures >= maxFailures || !po.canMeetDeadline(now.Add(pause), pd) || !po.budget.take(now) {
		return false
	}
	pd.stage = backingOff
	po.timers.set(pd, now.Add(pause))
	return true
}

// canMeetDeadline reports whether a request started at the given time can
// finish before its deadline.
func (po *policy) canMeetDeadline(at time.Time, pd *pending) bool {
	serviceTime := po.estimator.decayedLow(po.now, po.queue.kindOf(pd.Urgency))
	return at.Add(serviceTime).Before(pd.Deadline)
}

// fireTimers requeues or hedges the requests whose timers are due.
func (po *policy) fireTimers(now time.Time) {
	for pd := po.timers.pop(now); pd != nil; pd = po.timers.pop(now) {
		switch pd.stage {
		case backingOff:
			po.queue.push(now, pd)
		case running:
			po.hedge(now, pd)
		case queued, answered:
		}
	}
}

// hedge starts a second attempt in parallel with a slow first one if there is a
// free slot and the retry budget allows it.
func (po *policy) hedge(now time.Time, pd *pending) {
	if len(pd.attempts) != 1 || pd.attemptCount != 1 || !po.canMeetDeadline(now, pd) {
		return
	}
	tt := po.picker.pickUntried(now, pd, urgentWork)
	if tt == nil || !po.budget.take(now) {
		return
	}
	po.hedges++
	po.start(now, pd, tt, urgentWork, true)
}
