package storer

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// The bounds of the backoff between the attempts of an update.
const (
	initialUpdatePause = 10 * time.Millisecond
	maxUpdatePause     = time.Second
)

// ErrUnchanged is returned by Change.Apply when the entry needs no write.
var ErrUnchanged = errors.New("unchanged")

// Change is a change of one key's entry.
type Change struct {
	// Apply returns the new value for the current entry, whose revision is zero if
	// the key is absent. It is called for each attempt. An error ends the
	// update; ErrUnchanged ends it with success.
	Apply func(et Entry) ([]byte, error)
	// IsApplied reports whether an entry already contains the change. After the
	// answer to a write was lost, it decides whether the write took effect, so
	// it has to recognise the change even after later writes by other writers.
	// If it is nil, the entry's value is compared with the value sent, which is
	// correct only if no other writer writes the same value or overwrites it.
	IsApplied func(et Entry) bool
	// Lease is the lease that the key is written under, or zero.
	Lease LeaseID
}

// Update changes a key by compare-and-swap: it reads the key, applies the change
// and writes the result, and retries with exponential backoff until the write
// takes effect, the change returns an error, or the context is done. It returns
// the entry as written.
//
// After an ambiguous write, Update reads the key again to find out whether the
// write took effect. A write that is still in flight can't take effect in
// addition to its retry, because a write succeeds only at the revision that it
// expects, and at most one write succeeds at each revision. If the context is
// done while a write is still ambiguous, the error is PlatformAmbiguous.
func Update(ctx context.Context, store Store, key string, change Change) (Entry, error) {
	ur := &updater{
		store:  store,
		key:    key,
		change: change,
	}
	backoff := NewBackoff(initialUpdatePause, maxUpdatePause)
	for {
		et, err := ur.attempt(ctx)
		if err == nil || errors.Is(err, ErrUnchanged) {
			return et, nil
		}
		if !isTransient(err) {
			return Entry{}, err
		}
		if backoff.Pause(ctx) != nil {
			return Entry{}, ur.contextError(err)
		}
	}
}

// updater is an update in progress.
type updater struct {
	store  Store
	key    string
	change Change
	// pendingValue is the value of the last ambiguous write.
	pendingValue []byte
	// isAmbiguous is true after a write whose answer was lost.
	isAmbiguous bool
}

// attempt makes one attempt to read the key and write the changed value.
func (ur *updater) attempt(ctx context.Context) (Entry, error) {
	et, err := ur.read(ctx)
	if err != nil {
		return Entry{}, err
	}
	if ur.isAmbiguous && ur.isApplied(et) {
		return et, nil
	}
	value, err := ur.change.Apply(et)
	if err != nil {
		return et, err
	}
	revision, err := ur.store.Put(ctx, ur.key, value, et.Revision, ur.change.Lease)
	if classifier.CodeOf(err) == classifier.PlatformAmbiguous {
		ur.isAmbiguous = true
		ur.pendingValue = value
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

// read returns the current entry, with the revision zero if the key is absent.
func (ur *updater) read(ctx context.Context) (Entry, error) {
	et, err := ur.store.Get(ctx, ur.key)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return Entry{
			Key: ur.key,
		}, nil
	}
	return et, err
}

// isApplied reports whether the ambiguous write took effect.
func (ur *updater) isApplied(et Entry) bool {
	if ur.change.IsApplied != nil {
		return ur.change.IsApplied(et)
	}
	return et.Revision != 0 && bytes.Equal(et.Value, ur.pendingValue)
}

// contextError returns the error of an update whose context is done, given the
// error of its last attempt.
func (ur *updater) contextError(last error) error {
	if ur.isAmbiguous {
		return classifier.Wrap(last, classifier.PlatformAmbiguous, "update of key %s ended before an ambiguous write was resolved", ur.key)
	}
	return last
}

// isTransient reports whether a retry may succeed after the error.
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
