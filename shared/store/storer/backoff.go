package storer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with full jitter: each pause is drawn at
// random between zero and a bound, and the bound doubles up to a limit.
type Backoff struct {
	initial time.Duration
	limit   time.Duration
	bound   time.Duration
}

// NewBackoff returns a Backoff whose bound starts at initial and grows to limit.
func NewBackoff(initial, limit time.Duration) *Backoff {
	return &Backoff{
		initial: initial,
		limit:   limit,
		bound:   initial,
	}
}

// Next returns the next pause and doubles the bound.
func (bf *Backoff) Next() time.Duration {
	pause := rand.N(bf.bound + 1)
	bf.bound = min(2*bf.bound, bf.limit)
	return pause
}

// Reset sets the bound to its initial value.
func (bf *Backoff) Reset() { bf.bound = bf.initial }

// Pause waits for the next pause, or returns the context's error if it is done
// before.
func (bf *Backoff) Pause(ctx context.Context) error {
	return Pause(ctx, bf.Next())
}

// Pause waits for a duration, or returns the context's error if it is done before.
func Pause(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
