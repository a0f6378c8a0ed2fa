package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// refusalWindow is the time constant with which refusals are forgotten.
	refusalWindow = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice before jitter.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// adviser computes Retry-After: the time in which the queue and the requests
// refused lately could all be served, with jitter.
type adviser struct {
	random  *rand.Rand
	refused float64
	at      time.Time
}

// refuse counts a refusal and returns its Retry-After. The queue drains by one
// request in each interval.
func (ad *adviser) refuse(now time.Time, waiting int, interval time.Duration) time.Duration {
	if !ad.at.IsZero() {
		ad.refused *= math.Exp(-float64(now.Sub(ad.at)) / float64(refusalWindow))
	}
	ad.at = now
	ad.refused++
	drain := (float64(waiting) + ad.refused) * float64(interval)
	base := time.Duration(min(max(drain, float64(minRetryAfter)), float64(maxRetryAfter)))
	return base + time.Duration(ad.random.Int64N(int64(base)))
}
