package submitter

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// defaultRetention is how long the tombstones of cancelled jobs are kept at least, unless
	// WithRetention says otherwise.
	defaultRetention = 2 * time.Minute
	// minStandstill is the least limit of a standstill. Tombstones are kept for longer than
	// the states of jobs.
	minStandstill = 5 * time.Second
	// noticesPerLimit is how often the passing of time is noticed in the limit.
	noticesPerLimit = 4
	// settleTime is the time after a standstill in which requests are read that arrived
	// before its end.
	settleTime = 5 * time.Second
)

// WithRetention sets how long the records of ended jobs and the tombstones are kept at least.
func WithRetention(retention time.Duration) Option {
	return func(sm *Submitter) { sm.standstill.limit = max(retention/2, minStandstill) }
}

// standstill notices that the process stood still for so long that submissions which arrived
// meanwhile may be older than the tombstones of their jobs: the process was stopped, or its VM
// was suspended.
type standstill struct {
	now func() time.Time
	// limit is the longest time for which the process may stand still.
	limit time.Duration

	mu sync.Mutex
	// noticedAt is when the process last ran, or zero, and endedAt the end of the last
	// standstill over the limit.
	noticedAt, endedAt time.Time
}

func newStandstill() *standstill {
	return &standstill{
		now:   timekeeper.Now,
		limit: defaultRetention / 2,
	}
}

// notice notices the passing of time. It reports whether a standstill over the limit has ended
// less than settleTime ago.
func (ss *standstill) notice() (isRecent bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	now := ss.now()
	if !ss.noticedAt.IsZero() && now.Sub(ss.noticedAt) > ss.limit {
		ss.endedAt = now
	}
	ss.noticedAt = now
	return !ss.endedAt.IsZero() && now.Sub(ss.endedAt) < settleTime
}

// run notices the passing of time until the context is done.
func (ss *standstill) run(ctx context.Context) {
	for storer.Pause(ctx, ss.limit/noticesPerLimit) == nil {
		ss.notice()
	}
}

// check returns an error while submissions may be older than the tombstones of their jobs.
func (ss *standstill) check() error {
	if !ss.notice() {
		return nil
	}
	return &classifier.RetryError{
		Err:   classifier.New(classifier.JobRefused, "the manager stood still for over %s, and the request may be as old", ss.limit),
		After: settleTime,
	}
}
