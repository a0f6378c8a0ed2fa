package leaser

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// HeldDuty is a duty that is held.
type HeldDuty interface {
	// Epoch returns the holder's epoch. Later holders have higher ones.
	Epoch() uint64
	// ConfirmedAt returns when the last call was sent that has shown the lease
	// to be held, by the clock of WithClock.
	ConfirmedAt() time.Time
	// Check returns a LeaseLost error if the holder must not act any more.
	Check() error
	// Write changes a record under the fence until the context is done, which
	// has to be the one that serve got or made from it. It returns the entry as
	// written,
	// a StaleEpoch error if the record shows a later holder, or a LeaseLost
	// error if the lease may have ended. Each of the two also ends the duty;
	// an earlier attempt whose answer was lost may then have taken effect.
	Write(ctx context.Context, key string, change Change) (storer.Entry, error)
}

// Change is a change of a record that carries its writer's epoch. Such records
// must not be deleted, since an absent record can't refuse anybody.
type Change struct {
	// EpochOf returns the epoch that a record's value carries.
	EpochOf func(value []byte) (uint64, error)
	// Apply returns the new value for an entry, which has to carry the epoch.
	// An entry with the revision zero is absent. It is called again for each
	// attempt. storer.ErrUnchanged ends the change without a write.
	Apply func(et storer.Entry, epoch uint64) ([]byte, error)
}

// holding implements Holding.
type holding struct {
	store storer.Store
	lease storer.LeaseID
	epoch uint64
	now   func() time.Time
	// deadline is until when the lease surely lasts.
	deadline atomic.Pointer[time.Time]
	// confirmedAt is when the last call was sent that showed the lease.
	confirmedAt atomic.Pointer[time.Time]
	lose        context.CancelCauseFunc
}

// Epoch implements Holding.
func (hd *holding) Epoch() uint64 { return hd.epoch }

// ConfirmedAt implements Holding.
func (hd *holding) ConfirmedAt() time.Time { return *hd.confirmedAt.Load() }

// Check implements Holding.
func (hd *holding) Check() error { return hd.check() }

// Write implements Holding.
func (hd *holding) Write(ctx context.Context, key string, change Change) (storer.Entry, error) {
	et, err := storer.Update(ctx, hd.store, key, storer.Change{
		Apply: func(et storer.Entry) ([]byte, error) { return hd.apply(et, change) },
	})
	switch classifier.CodeOf(err) {
	case classifier.StaleEpoch, classifier.LeaseLost:
		hd.lose(err)
	}
	return et, err
}

// apply returns the new value unless the holder has been replaced. It runs
// before each attempt to write; the compare-and-swap on the entry's revision
// catches whoever is replaced after it.
func (hd *holding) apply(et storer.Entry, change Change) ([]byte, error) {
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
		return nil, errors.Wrap(err, "new value")
	}
	if carried != hd.epoch {
		return nil, classifier.New(classifier.Internal, "record %s is written with epoch %d in place of %d", et.Key, carried, hd.epoch)
	}
	return value, nil
}

// fence returns a StaleEpoch error if a later holder has written the entry.
func (hd *holding) fence(et storer.Entry, change Change) error {
	if et.Revision == 0 {
		return nil
	}
	written, err := change.EpochOf(et.Value)
	if err != nil {
		return err
	}
	if written > hd.epoch {
		return classifier.New(classifier.StaleEpoch, "record %s has epoch %d, the holder has %d", et.Key, written, hd.epoch)
	}
	return nil
}

// check returns a LeaseLost error if the lease may have ended.
func (hd *holding) check() error {
	if hd.now().Before(hd.validUntil()) {
		return nil
	}
	return classifier.New(classifier.LeaseLost, "lease %d was not renewed in time", hd.lease)
}

// remaining returns how much longer the lease surely lasts.
func (hd *holding) remaining() time.Duration { return hd.validUntil().Sub(hd.now()) }

func (hd *holding) validUntil() time.Time { return *hd.deadline.Load() }

func (hd *holding) extend(deadline time.Time) { hd.deadline.Store(&deadline) }
