package storer

import (
	"sync"
	"time"
)

// The bounds of a Patience.
const (
	// minPatience is above the time of an answer of a service a hundred times
	// slower than it should be, 400 ms, which must not be taken for out.
	minPatience = 600 * time.Millisecond
	// maxPatience is longer than an answer of a slow one takes.
	maxPatience = time.Second
	// patienceFactor is how many times as long as the last answer took the next
	// is waited for.
	patienceFactor = 4
	// minPause is above the time of most answers, 4 ms, and of what delays one.
	minPause = 100 * time.Millisecond
	// pauseFactor is how many times as long as the last answer took a further
	// copy is put off.
	pauseFactor = 2
)

// AdaptiveTimeout tells how long an answer to a write is worth waiting for, where the
// write may be sent again: not long while the service answers quickly, so that a
// lost answer costs little, and longer once it is slow. It is safe for
// concurrent use.
type AdaptiveTimeout struct {
	mu   sync.Mutex
	wait time.Duration
	// pause is from one copy of a write to the next.
	pause time.Duration
}

// Timeout returns how long the next answer is waited for.
func (pa *AdaptiveTimeout) Timeout() time.Duration {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(pa.wait, minPatience)
}

// HedgeDelay returns after what time a write without an answer is sent once more.
func (pa *AdaptiveTimeout) HedgeDelay() time.Duration {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(pa.pause, minPause)
}

// RecordAnswer tells that an answer took a time.
func (pa *AdaptiveTimeout) RecordAnswer(latency time.Duration) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.wait = min(max(patienceFactor*latency, minPatience), maxPatience)
	pa.pause = pauseFactor * latency
}

// RecordTimeout tells that no answer came in time.
func (pa *AdaptiveTimeout) RecordTimeout() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.wait = min(2*max(pa.wait, minPatience), maxPatience)
}
