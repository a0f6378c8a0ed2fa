package leaser

import (
	"context"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// acquire waits until the duty is free and takes it.
func (lr *Leaser) acquire(ctx context.Context) (*holding, error) {
	if err := lr.awaitFree(ctx); err != nil {
		return nil, err
	}
	sent := lr.now()
	lease, err := lr.store.Grant(ctx, lr.ttl)
	if err != nil {
		return nil, err
	}
	revision, err := lr.take(ctx, lease)
	if err != nil {
		lr.release(ctx, lease)
		return nil, err
	}
	hd := &holding{
		store: lr.store,
		lease: lease,
		epoch: uint64(revision),
		now:   lr.now,
	}
	hd.confirmedAt.Store(&sent)
	hd.extend(lr.deadline(sent))
	return hd, nil
}

// take makes the duty's key under the lease and returns its revision. If the
// answer is lost, the key's lease tells whether the write took effect. A write
// that is still on its way fails once the lease has been revoked.
func (lr *Leaser) take(ctx context.Context, lease storer.LeaseID) (storer.Revision, error) {
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

// awaitFree waits until the duty's key is absent.
func (lr *Leaser) awaitFree(ctx context.Context) error {
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
// PlatformNotFound error when changes were missed.
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

// deadline returns until when a holder acts whose lease was granted or renewed
// by a call sent at a time: while the lease surely lasts, and for the overrun. A
// margin allows for clocks that run apart.
func (lr *Leaser) deadline(sent time.Time) time.Time {
	return sent.Add(lr.ttl - lr.ttl/marginDenominator + lr.overrun)
}
