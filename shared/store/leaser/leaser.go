// Package leaser provides leader election for the duties of an availability zone.
// At most one process at a time holds a duty, under a lease of the platform's
// service. The holder's epoch is a fencing token that protects records against
// the writes of earlier holders.
//
// A duty is represented by the key duties/ZONE/DUTY, which the service deletes
// with its lease. The holder's epoch is the revision of the write that created
// the key. The service's revisions increase with every write, even across
// deletions, so a later holder always has a higher epoch, and a single write
// both acquires the duty and assigns the epoch.
//
// Every record that a holder writes carries the holder's epoch. A write is a
// compare-and-swap on the record as it was read, and is rejected if the record
// has a higher epoch. So once a holder has written a record, no earlier holder
// can write it, however long it was paused or its writes were delayed. A new
// holder that relies on a record has to write it first.
package leaser

import (
	"context"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// The defaults of a Leaser.
const (
	defaultTTL         = 5 * time.Second
	defaultWait        = 30 * time.Second
	initialPause       = 50 * time.Millisecond
	maxPause           = 2 * time.Second
	defaultRelease     = time.Second
	renewalsPerTTL     = 3
	clockMarginDivisor = 10
	// renewalTimeoutDivisor is the part of the TTL, as 1/n, for which the answer to a
	// renewal is awaited.
	renewalTimeoutDivisor = 2
)

// Option is an option of New.
type Option func(*Leaser)

// WithTTL sets the time after which the lease expires unless it is renewed.
func WithTTL(ttl time.Duration) Option {
	return func(lr *Leaser) { lr.ttl = ttl }
}

// WithRenewalInterval sets the interval between renewals of the lease, which is a third
// of its TTL if none is set.
func WithRenewalInterval(interval time.Duration) Option {
	return func(lr *Leaser) { lr.renewalInterval = interval }
}

// WithNotify sets a function that receives the notices about the duty. It must not
// block.
func WithNotify(notify func(nt Notice)) Option {
	return func(lr *Leaser) { lr.notify = notify }
}

// WithClock sets the clock by which the holder's deadline is checked. The clock may
// stop while the process is suspended.
func WithClock(now func() time.Time) Option {
	return func(lr *Leaser) { lr.now = now }
}

// WithWait sets how long a watch of a duty held by another process waits. The wait
// also bounds the time until a connection that is dead without having been closed
// is detected.
func WithWait(wait time.Duration) Option {
	return func(lr *Leaser) { lr.wait = wait }
}

// WithOverrun lets the holder act for the given time after its lease may have
// expired, unless the service reports that it has. Use it only for duties of
// which every order is fenced by the process that executes it.
func WithOverrun(overrun time.Duration) Option {
	return func(lr *Leaser) { lr.overrun = overrun }
}

// WithReleaseTimeout sets how long the release of the duty may take. Without an
// answer the duty becomes free when its lease expires.
func WithReleaseTimeout(timeout time.Duration) Option {
	return func(lr *Leaser) { lr.releaseTimeout = timeout }
}

// WithPrecedence sets a function that returns how long this candidate waits
// before it competes for a duty that has become free, so that preferable
// candidates can acquire it first.
func WithPrecedence(delay func(ctx context.Context) time.Duration) Option {
	return func(lr *Leaser) { lr.delay = delay }
}

// Leaser is a candidate for one duty.
type Leaser struct {
	store  storer.Store
	key    string
	holder string
	ttl    time.Duration
	wait   time.Duration
	// overrun is how long the holder may act after the lease may have expired.
	overrun         time.Duration
	renewalInterval time.Duration
	releaseTimeout  time.Duration
	notify          func(nt Notice)
	now             func() time.Time
	delay           func(ctx context.Context) time.Duration
}

// New returns a Leaser for a duty of an availability zone. The holder's name is
// stored as information for operators.
func New(store storer.Store, zone, duty, holder string, opts ...Option) *Leaser {
	lr := &Leaser{
		store:  store,
		key:    storer.DutyPrefix + zone + "/" + duty,
		holder: holder,
		ttl:    defaultTTL,
		wait:   defaultWait,
		notify: func(Notice) {},
		now:    time.Now,
		delay:  func(context.Context) time.Duration { return 0 },

		releaseTimeout: defaultRelease,
	}
	for _, opt := range opts {
		opt(lr)
	}
	if lr.renewalInterval == 0 {
		lr.renewalInterval = lr.ttl / renewalsPerTTL
	}
	return lr
}

// Key returns the duty's key.
func (lr *Leaser) Key() string { return lr.key }

// Run competes for the duty until the context is done, and returns the context's
// error. Each time it acquires the duty, it calls serve with a context that is
// cancelled when the duty is lost. When serve returns, Run releases the duty and
// competes for it again.
func (lr *Leaser) Run(ctx context.Context, serve func(ctx context.Context, hd HeldDuty) error) error {
	backoff := storer.NewBackoff(initialPause, maxPause)
	for ctx.Err() == nil {
		hd, err := lr.acquire(ctx)
		if err == nil {
			backoff.Reset()
			err = lr.hold(ctx, hd, serve)
		}
		if ctx.Err() != nil {
			break
		}
		lr.notify(Retrying{
			Err: err,
		})
		_ = backoff.Pause(ctx)
	}
	return ctx.Err()
}

// hold calls serve while renewing the lease concurrently, then releases the duty.
func (lr *Leaser) hold(ctx context.Context, hd *heldDuty, serve func(ctx context.Context, hd HeldDuty) error) error {
	serving, cancel := context.WithCancelCause(ctx)
	hd.cancel = cancel
	lr.notify(Acquired{
		Epoch: hd.epoch,
	})
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		lr.renew(serving, hd)
	}()
	err := serve(serving, hd)
	if cause := context.Cause(serving); cause != nil && ctx.Err() == nil {
		err = cause
	}
	cancel(context.Canceled)
	<-renewed
	lr.release(ctx, hd.lease)
	lr.notify(Lost{
		Epoch: hd.epoch,
		Err:   err,
	})
	return err
}

// release revokes the lease, so that another candidate can acquire the duty without
// waiting for the lease to expire.
func (lr *Leaser) release(ctx context.Context, lease storer.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lr.releaseTimeout)
	defer cancel()
	_ = lr.store.Revoke(ctx, lease)
}
