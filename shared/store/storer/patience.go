package storer

import (
	"sync"
	"time"
)

// The bounds and factors of an AdaptiveTimeout.
const (
	// minTimeout is above 400 ms, the latency of a service that is a hundred
	// times slower than normal: such a service must not be taken to be down.
	minTimeout = 600 * time.Millisecond
	// maxTimeout is above the latency of a slow service.
	maxTimeout = time.Second
	// timeoutFactor is the ratio of the timeout to the latency of the last
	// answer.
	timeoutFactor = 4
	// minHedgeDelay is above the latency of most answers, 4 ms, and the usual
	// delays that add to it.
	minHedgeDelay = 100 * time.Millisecond
	// hedgeDelayFactor is the ratio of the hedge delay to the latency of the
	// last answer.
	hedgeDelayFactor = 2
)

// AdaptiveTimeout derives the timeout of hedged writes from the latency of the
// previous answer. The timeout is short while the service is fast, so that a lost
// answer costs little time, and grows when the service is slow. The zero value
// is ready to use. It is safe for concurrent use.
type AdaptiveTimeout struct {
	mu      sync.Mutex
	timeout time.Duration
	// hedgeDelay is the delay from the first copy of a write to the second.
	hedgeDelay time.Duration
}

// Timeout returns the timeout of the next write.
func (at *AdaptiveTimeout) Timeout() time.Duration {
	at.mu.Lock()
	defer at.mu.Unlock()
	return max(at.timeout, minTimeout)
}

// HedgeDelay returns the delay after which a second copy of an unanswered write is
// sent.
func (at *AdaptiveTimeout) HedgeDelay() time.Duration {
	at.mu.Lock()
	defer at.mu.Unlock()
	return max(at.hedgeDelay, minHedgeDelay)
}

// RecordAnswer adapts the timeout and the hedge delay to the latency of an answer.
func (at *AdaptiveTimeout) RecordAnswer(latency time.Duration) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.timeout = min(max(timeoutFactor*latency, minTimeout), maxTimeout)
	at.hedgeDelay = hedgeDelayFactor * latency
}

// RecordTimeout doubles the timeout, up to its maximum, after a write without an
// answer.
func (at *AdaptiveTimeout) RecordTimeout() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.timeout = min(2*max(at.timeout, minTimeout), maxTimeout)
}
