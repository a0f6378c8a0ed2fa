package leaser

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// HeldDuty is a duty that this process holds.
type HeldDuty interface {
	// Epoch returns the holder's epoch, a fencing token. Later holders have higher
	// epochs.
	Epoch() uint64
	// ConfirmedAt returns when the last successful call to grant or renew the
	// lease was sent, by the clock of WithClock.
	ConfirmedAt() time.Time
	// Check returns a LeaseLost error if the holder must no longer act.
	Check() error
	// IsConfirmed reports whether the lease can't have expired yet, so that there is
	// no later holder. Unlike Check it doesn't count the overrun.
	IsConfirmed() bool
	// Write changes a record, protected by the epoch, and returns the entry as
	// written. It retries until the context is done, which has to be the context
	// passed to serve or one derived from it. It returns a StaleEpoch error if
	// the record carries a later holder's epoch, and a LeaseLost error if the
	// lease may have expired. Either error also ends the duty; an earlier
	// attempt whose answer was lost may have taken effect even so.
	Write(ctx context.Context, key string, change Change) (storer.Entry, error)
}

// Change is a change of a record that carries its writer's epoch. Such records
// must not be deleted, since an absent record can't fence off an earlier holder.
type Change struct {
	// EpochOf returns the epoch that a record's value carries.
	EpochOf func(value []byte) (uint64, error)
	// Apply returns the new value for the current entry, whose revision is zero if
	// the record is absent. The new value has to carry the epoch. Apply is
	// called for each attempt. storer.ErrUnchanged ends the change without a
	// write.
	Apply func(et storer.Entry, epoch uint64) ([]byte, error)
}

// heldDuty implements HeldDuty.
type heldDuty struct {
	store storer.Store
	lease storer.LeaseID
	epoch uint64
	now   func() time.Time
	// validity is how long a confirmation of the lease holds.
	validity time.Duration
	// deadline is the time until which the holder may act.
	deadline atomic.Pointer[time.Time]
	// confirmedAt is when the last successful grant or renewal was sent.
	confirmedAt atomic.Pointer[time.Time]
	// cancel cancels the context of serve.
	cancel context.CancelCauseFunc
}

// Epoch implements HeldDuty.
func (hd *heldDuty) Epoch() uint64 { return hd.epoch }

// ConfirmedAt implements HeldDuty.
func (hd *heldDuty) ConfirmedAt() time.Time { return *hd.confirmedAt.Load() }

// Check implements HeldDuty.
func (hd *heldDuty) Check() error { return hd.check() }

// IsConfirmed implements HeldDuty.
func (hd *heldDuty) IsConfirmed() bool { return hd.now().Before(hd.ConfirmedAt().Add(hd.validity)) }

// Write implements HeldDuty.
func (hd *heldDuty) Write(ctx context.Context, key string, change Change) (storer.Entry, error) {
	et, err := storer.Update(ctx, hd.store, key, storer.Change{
		Apply: func(et storer.Entry) ([]byte, error) { return hd.apply(et, change) },
	})
	switch classifier.CodeOf(err) {
	case classifier.StaleEpoch, classifier.LeaseLost:
		hd.cancel(err)
	}
	return et, err
}

// apply returns the new value, or an error if the holder has been replaced. It is
// called before each attempt to write. If the holder is replaced after that, the
// compare-and-swap on the entry's revision fails.
func (hd *heldDuty) apply(et storer.Entry, change Change) ([]byte, error) {
	if err := hd.check(); err != nil {
		return nil, err
	}
	if err := hd.fence(et, change); err != nil {
		return nil, err
	}
	value, err := change.Apply(et, hd.epoch)
	if err != nil {
		return nil, err
	}
	carried, err := change.EpochOf(value)
	if err != nil {
		return nil, errors.Wrap(err, "read epoch of new value")
	}
	if carried != hd.epoch {
		return nil, classifier.New(classifier.Internal, "new value of record %s carries epoch %d instead of the holder's epoch %d", et.Key, carried, hd.epoch)
	}
	return value, nil
}

// fence returns a StaleEpoch error if the entry was written by a later holder.
func (hd *heldDuty) fence(et storer.Entry, change Change) error {
	if et.Revision == 0 {
		return nil
	}
	written, err := change.EpochOf(et.Value)
	if err != nil {
		return err
	}
	if written > hd.epoch {
		return classifier.New(classifier.StaleEpoch, "record %s carries epoch %d, which is later than the holder's epoch %d", et.Key, written, hd.epoch)
	}
	return nil
}

// check returns a LeaseLost error if the holder's deadline has passed.
func (hd *heldDuty) check() error {
	if hd.now().Before(hd.validUntil()) {
		return nil
	}
	return classifier.New(classifier.LeaseLost, "lease %d was not renewed before the holder's deadline", hd.lease)
}

// remaining returns the time left until the holder's deadline.
func (hd *heldDuty) remaining() time.Duration { return hd.validUntil().Sub(hd.now()) }

func (hd *heldDuty) validUntil() time.Time { return *hd.deadline.Load() }

func (hd *heldDuty) extend(deadline time.Time) { hd.deadline.Store(&deadline) }
