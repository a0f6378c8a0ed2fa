package storer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff draws the pauses between attempts: each at random between zero and a
// bound that doubles up to a maximum.
type Backoff struct {
	first time.Duration
	limit time.Duration
	bound time.Duration
}

// NewBackoff returns a Backoff whose bound starts at first and ends at limit.
func NewBackoff(first, limit time.Duration) *Backoff {
	return &Backoff{
		first: first,
		limit: limit,
		bound: first,
	}
}

// Next returns the next pause.
func (bf *Backoff) Next() time.Duration {
	pause := rand.N(bf.bound + 1)
	bf.bound = min(2*bf.bound, bf.limit)
	return pause
}

// Reset puts the bound back to where it started.
func (bf *Backoff) Reset() { bf.bound = bf.first }

// Pause waits for the next pause, or until the context is done.
func (bf *Backoff) Pause(ctx context.Context) error {
	return Pause(ctx, bf.Next())
}

// Pause waits for a time, or until the context is done.
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
