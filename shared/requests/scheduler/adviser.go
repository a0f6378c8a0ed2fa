package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// refusalDecayTime is the time constant of the exponential decay of the
	// refusal count.
	refusalDecayTime = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After value before
	// jitter.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfterEstimator computes Retry-After as the time needed to serve the
// queue and all recently refused requests, plus jitter.
type retryAfterEstimator struct {
	random         *rand.Rand
	recentRefusals float64
	updatedAt      time.Time
}

// estimate counts a refusal and returns its Retry-After. The interval is the
// mean time between two requests leaving the queue.
func (ra *retryAfterEstimator) estimate(now time.Time, waiting int, interval time.Duration) time.Duration {
	if !ra.updatedAt.IsZero() {
		ra.recentRefusals *= math.Exp(-float64(now.Sub(ra.updatedAt)) / float64(refusalDecayTime))
	}
	ra.updatedAt = now
	ra.recentRefusals++
	drain := (float64(waiting) + ra.recentRefusals) * float64(interval)
	base := time.Duration(min(max(drain, float64(minRetryAfter)), float64(maxRetryAfter)))
	return base + time.Duration(ra.random.Int64N(int64(base)))
}
