// Package waiter waits until a settings revision is in force on all nodes.
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

// StatusCollector lists the nodes and fetches their status.
type StatusCollector interface {
	// Members returns the nodes.
	Members(ctx context.Context) ([]reporter.Member, error)
	// Collect returns the status of each node, or the error of its request.
	Collect(ctx context.Context, members []reporter.Member) []reporter.StatusResult
}

// Waiter waits for nodes. While the platform's service is unavailable it uses the
// last known list of nodes.
type Waiter struct {
	collector StatusCollector
	interval  time.Duration
	grace     time.Duration
	progress  func(Tally)
	members   []reporter.Member
}

// Option is an option of New.
type Option func(*Waiter)

// WithInterval sets the time between two rounds of status requests.
func WithInterval(interval time.Duration) Option {
	return func(wr *Waiter) { wr.interval = interval }
}

// WithGrace sets the time after the start of a wait during which nodes that don't
// answer are retried, although all others have the settings in force.
func WithGrace(grace time.Duration) Option {
	return func(wr *Waiter) { wr.grace = grace }
}

// WithProgress sets a function that is called with each tally that differs from
// the previous tally.
func WithProgress(progress func(Tally)) Option {
	return func(wr *Waiter) { wr.progress = progress }
}

// New returns a Waiter.
func New(collector StatusCollector, opts ...Option) *Waiter {
	wr := &Waiter{
		collector: collector,
		interval:  defaultInterval,
		grace:     defaultGrace,
		progress:  func(Tally) {},
	}
	for _, opt := range opts {
		opt(wr)
	}
	return wr
}

// RefreshMembers reads the list of nodes. If that fails, the Waiter keeps the
// previous list, so call RefreshMembers before a change as well.
func (wr *Waiter) RefreshMembers(ctx context.Context) {
	members, err := wr.collector.Members(ctx)
	if err == nil {
		wr.members = members
	}
}

// Wait polls all nodes until each has the revision or a higher one, and returns
// the last tally. It returns earlier when the context is done, or when the grace
// is over and all nodes that answer have the revision.
func (wr *Waiter) Wait(ctx context.Context, revision uint64) Tally {
	started := time.Now()
	last := Tally{}
	for {
		wr.RefreshMembers(ctx)
		answers := wr.collector.Collect(ctx, wr.members)
		if ctx.Err() != nil && last.Revision != 0 {
			return last
		}
		tally := newTally(revision, answers)
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

// pause waits for the interval. It returns false if the context is done first.
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
