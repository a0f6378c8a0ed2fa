// Package waiter waits until settings are in force on all nodes.
package waiter

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/reporter"
)

// The defaults of a Waiter.
const (
	defaultInterval = 200 * time.Millisecond
	defaultGrace    = 5 * time.Second
)

// Surveyor finds nodes and asks them for their status.
type Surveyor interface {
	// Members returns the nodes.
	Members(ctx context.Context) ([]reporter.Member, error)
	// Collect returns the answers of nodes.
	Collect(ctx context.Context, members []reporter.Member) []reporter.StatusResult
}

// Waiter waits for nodes. It goes on with the nodes that it knows of when the
// platform's service can't be reached.
type Waiter struct {
	surveyor Surveyor
	interval time.Duration
	grace    time.Duration
	progress func(Tally)
	members  []reporter.Member
}

// Option is an option of New.
type Option func(*Waiter)

// WithInterval sets the time between two rounds of questions.
func WithInterval(interval time.Duration) Option {
	return func(wr *Waiter) { wr.interval = interval }
}

// WithGrace sets how long nodes that are not heard are asked again once all
// that are heard have the settings.
func WithGrace(grace time.Duration) Option {
	return func(wr *Waiter) { wr.grace = grace }
}

// WithProgress sets a function that is told each tally that differs from the
// one before.
func WithProgress(progress func(Tally)) Option {
	return func(wr *Waiter) { wr.progress = progress }
}

// New returns a Waiter.
func New(surveyor Surveyor, opts ...Option) *Waiter {
	wr := &Waiter{
		surveyor: surveyor,
		interval: defaultInterval,
		grace:    defaultGrace,
		progress: func(Tally) {},
	}
	for _, opt := range opts {
		opt(wr)
	}
	return wr
}

// Learn takes note of the nodes there are, before a change. An error of the
// platform's service leaves the nodes known before.
func (wr *Waiter) Learn(ctx context.Context) {
	members, err := wr.surveyor.Members(ctx)
	if err == nil {
		wr.members = members
	}
}

// Wait asks all nodes until each has a revision or a higher one, and returns
// the last tally. It ends sooner when the context is done, or when all nodes
// that are heard have the revision and the others stay unheard for the grace.
func (wr *Waiter) Wait(ctx context.Context, revision uint64) Tally {
	started := time.Now()
	last := Tally{}
	for {
		wr.Learn(ctx)
		answers := wr.surveyor.Collect(ctx, wr.members)
		if ctx.Err() != nil && last.Revision != 0 {
			return last
		}
		tally := count(revision, answers)
		if !tally.equal(last) {
			wr.progress(tally)
		}
		last = tally
		if tally.Complete() || len(tally.Behind) == 0 && time.Since(started) >= wr.grace {
			return tally
		}
		if !wr.pause(ctx) {
			return tally
		}
	}
}

// pause waits for the interval and tells whether the context is still alive.
func (wr *Waiter) pause(ctx context.Context) bool {
	timer := time.NewTimer(wr.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
