package leaser

import (
	"context"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// acquire waits until no process holds the duty and acquires it.
func (lr *Leaser) acquire(ctx context.Context) (*heldDuty, error) {
	if err := lr.awaitRelease(ctx); err != nil {
		return nil, err
	}
	if err := storer.Pause(ctx, lr.delay(ctx)); err != nil {
		return nil, err
	}
	sentAt := lr.now()
	lease, err := lr.store.Grant(ctx, lr.ttl)
	if err != nil {
		return nil, err
	}
	revision, err := lr.createKey(ctx, lease)
	if err != nil {
		lr.release(ctx, lease)
		return nil, err
	}
	hd := &heldDuty{
		store:    lr.store,
		lease:    lease,
		epoch:    uint64(revision),
		now:      lr.now,
		validity: lr.validity(),
	}
	hd.confirmedAt.Store(&sentAt)
	hd.extend(lr.leaseDeadline(sentAt))
	return hd, nil
}

// createKey creates the duty's key under the lease and returns its revision. If
// the answer is lost, it reads the key: the key's lease shows whether the write
// took effect. If it did not, the caller revokes the lease, so that a write that
// is still in flight fails.
func (lr *Leaser) createKey(ctx context.Context, lease storer.LeaseID) (storer.Revision, error) {
	revision, err := lr.store.Put(ctx, lr.key, []byte(lr.holder), 0, lease)
	if classifier.CodeOf(err) != classifier.PlatformAmbiguous {
		return revision, err
	}
	et, readErr := lr.store.Get(ctx, lr.key)
	if readErr == nil && et.Lease == lease {
		return et.Revision, nil
	}
	return 0, err
}

// awaitRelease waits until the duty's key is absent.
func (lr *Leaser) awaitRelease(ctx context.Context) error {
	for {
		entries, revision, err := lr.store.List(ctx, lr.key)
		if err != nil {
			return err
		}
		isHeld := slices.ContainsFunc(entries, func(et storer.Entry) bool { return et.Key == lr.key })
		if !isHeld {
			return nil
		}
		lr.notify(StandingBy{})
		err = lr.awaitDeletion(ctx, revision)
		if classifier.CodeOf(err) != classifier.PlatformNotFound {
			return err
		}
	}
}

// awaitDeletion watches the duty's key until it is deleted. It returns a
// PlatformNotFound error if the service no longer holds the events to watch.
func (lr *Leaser) awaitDeletion(ctx context.Context, after storer.Revision) error {
	for {
		events, revision, err := lr.store.Watch(ctx, lr.key, after, lr.wait)
		if err != nil {
			return err
		}
		for _, ev := range events {
			if ev.Entry.Key == lr.key && ev.Deleted {
				return nil
			}
		}
		after = revision
		lr.notify(StandingBy{})
	}
}

// leaseDeadline returns the time until which a holder may act, given when the call
// that granted or renewed the lease was sent.
func (lr *Leaser) leaseDeadline(sentAt time.Time) time.Time {
	return sentAt.Add(lr.validity() + lr.overrun)
}

// validity returns how long a confirmation of the lease holds: its TTL, less a margin
// for clock drift.
func (lr *Leaser) validity() time.Duration { return lr.ttl - lr.ttl/clockMarginDivisor }
