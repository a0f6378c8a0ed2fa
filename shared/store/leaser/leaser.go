// Package leaser holds a duty for one availability zone: at most one process
// at a time under a lease of the platform's service, with an epoch that fences
// the writes of holders that have been replaced.
//
// The duty is the key duties/ZONE/DUTY, which is deleted with its lease. The
// epoch of a holder is the revision of the write that made the key. Revisions
// of the service only rise, whatever is deleted, so a later holder always has
// a higher epoch, and acquiring and numbering are one write.
//
// Every record that a holder writes carries the holder's epoch. A write is a
// compare-and-swap on the record as it was read, and a record with a higher
// epoch refuses it. So once a holder has written a record, no holder before it
// can, no matter how long it was paused or its writes were delayed. A new
// holder that relies on a record writes it first.
package leaser

import (
	"context"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// The defaults of a Leaser.
const (
	defaultTTL        = 5 * time.Second
	defaultWait       = 30 * time.Second
	firstPause        = 50 * time.Millisecond
	maxPause          = 2 * time.Second
	releaseTimeout    = time.Second
	renewalsPerTTL    = 3
	marginDenominator = 10
)

// Option is an option of New.
type Option func(*Leaser)

// WithTTL sets after what time without renewal the lease ends.
func WithTTL(ttl time.Duration) Option {
	return func(lr *Leaser) { lr.ttl = ttl }
}

// WithNotify sets a function that is told of what happens to the duty. It must
// not block.
func WithNotify(notify func(nt Notice)) Option {
	return func(lr *Leaser) { lr.notify = notify }
}

// WithClock sets the clock that the end of the lease is judged by. It may stand
// still while the process is suspended.
func WithClock(now func() time.Time) Option {
	return func(lr *Leaser) { lr.now = now }
}

// WithWait sets how long one watch of a duty that another holds waits. It bounds
// how late a connection that has fallen silent is noticed.
func WithWait(wait time.Duration) Option {
	return func(lr *Leaser) { lr.wait = wait }
}

// WithOverrun lets the holder go on for a while after its lease may have ended,
// as long as the service doesn't say that it has. It is only for duties whose
// every order is fenced by whoever carries it out.
func WithOverrun(overrun time.Duration) Option {
	return func(lr *Leaser) { lr.overrun = overrun }
}

// Leaser contends for one duty.
type Leaser struct {
	store  storer.Store
	key    string
	holder string
	ttl    time.Duration
	wait   time.Duration
	// overrun is how long the holder goes on after the lease may have ended.
	overrun time.Duration
	notify  func(nt Notice)
	now     func() time.Time
}

// New returns a Leaser for a duty of an availability zone. The holder's name
// is for people to read.
func New(store storer.Store, zone, duty, holder string, opts ...Option) *Leaser {
	lr := &Leaser{
		store:  store,
		key:    storer.DutyPrefix + zone + "/" + duty,
		holder: holder,
		ttl:    defaultTTL,
		wait:   defaultWait,
		notify: func(Notice) {},
		now:    time.Now,
	}
	for _, opt := range opts {
		opt(lr)
	}
	return lr
}

// Key returns the duty's key.
func (lr *Leaser) Key() string { return lr.key }

// Run contends for the duty until the context is done and returns the
// context's error. Each time the duty is acquired it calls serve, whose
// context is cancelled once the duty is lost. When serve returns, the duty is
// given up and contended for again.
func (lr *Leaser) Run(ctx context.Context, serve func(ctx context.Context, hd HeldDuty) error) error {
	backoff := storer.NewBackoff(firstPause, maxPause)
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

// hold serves the duty and renews the lease beside it, then gives it up.
func (lr *Leaser) hold(ctx context.Context, hd *holding, serve func(ctx context.Context, hd HeldDuty) error) error {
	serving, lose := context.WithCancelCause(ctx)
	hd.lose = lose
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
	lose(context.Canceled)
	<-renewed
	lr.release(ctx, hd.lease)
	lr.notify(Lost{
		Epoch: hd.epoch,
		Err:   err,
	})
	return err
}

// release ends a lease, so that others need not wait for its expiry.
func (lr *Leaser) release(ctx context.Context, lease storer.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = lr.store.Revoke(ctx, lease)
}
