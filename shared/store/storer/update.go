package storer

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// The pauses between the attempts of an update.
const (
	firstUpdatePause = 10 * time.Millisecond
	maxUpdatePause   = time.Second
)

// ErrUnchanged is returned by Change.Apply when the entry needs no write.
var ErrUnchanged = errors.New("unchanged")

// Change is a change of one key.
type Change struct {
	// Apply returns the new value for an entry. An entry with the revision zero
	// is absent. It is called again for each attempt. Any error ends the
	// update; ErrUnchanged ends it with success.
	Apply func(et Entry) ([]byte, error)
	// IsApplied reports whether the change is already part of an entry. It decides
	// after an answer was lost whether the write took effect, so it has to
	// recognise the change also below later changes of others. When it is nil,
	// the entry's value has to be equal to the value sent; that does only for
	// values that nobody else writes or overwrites.
	IsApplied func(et Entry) bool
	// Lease is the lease that the key is put under, or zero.
	Lease LeaseID
}

// Update changes a key by compare-and-swap: it reads the key, applies the
// change and writes it, and repeats that with growing random pauses until the
// write took effect, the change refused, or the context is done. It returns
// the entry as written.
//
// An ambiguous write is settled by reading back. A write that is still on its
// way then can't take effect twice, since at most one write takes effect at
// each revision. When the context is done before a write is settled, the error
// is PlatformAmbiguous.
func Update(ctx context.Context, store Store, key string, change Change) (Entry, error) {
	ur := &updater{
		store:  store,
		key:    key,
		change: change,
	}
	backoff := NewBackoff(firstUpdatePause, maxUpdatePause)
	for {
		et, err := ur.attempt(ctx)
		if err == nil || errors.Is(err, ErrUnchanged) {
			return et, nil
		}
		if !isTransient(err) {
			return Entry{}, err
		}
		if backoff.Pause(ctx) != nil {
			return Entry{}, ur.abandoned(err)
		}
	}
}

// updater is an update in progress.
type updater struct {
	store  Store
	key    string
	change Change
	// sent is the value of the last write without a known result.
	sent []byte
	// isInDoubt is true after a write without a known result.
	isInDoubt bool
}

// attempt reads the key and writes the changed value once.
func (ur *updater) attempt(ctx context.Context) (Entry, error) {
	et, err := ur.read(ctx)
	if err != nil {
		return Entry{}, err
	}
	if ur.isInDoubt && ur.wrote(et) {
		return et, nil
	}
	value, err := ur.change.Apply(et)
	if err != nil {
		return et, err
	}
	revision, err := ur.store.Put(ctx, ur.key, value, et.Revision, ur.change.Lease)
	if classifier.CodeOf(err) == classifier.PlatformAmbiguous {
		ur.isInDoubt = true
		ur.sent = value
	}
	if err != nil {
		return Entry{}, err
	}
	return Entry{
		Key:      ur.key,
		Value:    value,
		Revision: revision,
		Lease:    ur.change.Lease,
	}, nil
}

// read returns the entry, which has the revision zero if the key is absent.
func (ur *updater) read(ctx context.Context) (Entry, error) {
	et, err := ur.store.Get(ctx, ur.key)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return Entry{
			Key: ur.key,
		}, nil
	}
	return et, err
}

// wrote reports whether the write in doubt took effect.
func (ur *updater) wrote(et Entry) bool {
	if ur.change.IsApplied != nil {
		return ur.change.IsApplied(et)
	}
	return et.Revision != 0 && bytes.Equal(et.Value, ur.sent)
}

// abandoned returns the error of an update that ran out of time.
func (ur *updater) abandoned(last error) error {
	if ur.isInDoubt {
		return classifier.Wrap(last, classifier.PlatformAmbiguous, "update of %s not settled", ur.key)
	}
	return last
}

// isTransient reports whether a call may succeed when it is repeated.
func isTransient(err error) bool {
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable,
		classifier.PlatformRateLimited,
		classifier.PlatformConflict,
		classifier.PlatformAmbiguous:
		return true
	default:
		return false
	}
}
