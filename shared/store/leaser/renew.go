package leaser

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// renew renews the lease until the context is done or the duty is lost.
func (lr *Leaser) renew(ctx context.Context, hd *heldDuty) {
	backoff := storer.NewBackoff(initialPause, lr.renewalInterval)
	next := lr.renewalInterval
	for {
		err := lr.pauseWithin(ctx, hd, next)
		if err == nil {
			err = lr.renewOnce(ctx, hd)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff.Reset()
			next = lr.renewalInterval
		case classifier.CodeOf(err) == classifier.LeaseLost:
			hd.cancel(err)
			return
		case storer.IsOverdue(err):
			backoff.Reset()
			next = 0
		default:
			next = backoff.Next()
		}
	}
}

// renewOnce makes one call to renew the lease, which has to succeed before the
// holder's deadline. A call without an answer leaves time for another one.
func (lr *Leaser) renewOnce(ctx context.Context, hd *heldDuty) error {
	ctx, cancel := context.WithTimeout(ctx, min(hd.remaining(), lr.ttl/renewalTimeoutDivisor))
	defer cancel()
	sentAt := lr.now()
	if err := lr.store.Renew(ctx, hd.lease); err != nil {
		return err
	}
	hd.confirmedAt.Store(&sentAt)
	hd.extend(lr.leaseDeadline(sentAt))
	return nil
}

// pauseWithin waits for a duration. It returns a LeaseLost error if the holder's
// deadline passes first.
func (lr *Leaser) pauseWithin(ctx context.Context, hd *heldDuty, duration time.Duration) error {
	timer := time.NewTimer(min(duration, hd.remaining()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return hd.check()
	case <-ctx.Done():
		return ctx.Err()
	}
}
