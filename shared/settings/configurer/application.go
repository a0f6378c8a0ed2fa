package configurer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// application is the state of one call of Apply.
type application struct {
	rp     *Repository
	change Change
	time   time.Time
	// isAmbiguous is true if the outcome of a write of the head is unknown.
	isAmbiguous bool
}

// run retries the change until it is accepted or rejected or the context is
// done. Each attempt writes the same revision over the same base, so at most one
// takes effect, even if a write arrives late.
func (ap *application) run(ctx context.Context) (Record, error) {
	backoff := initialBackoff
	for {
		rc, err := ap.attempt(ctx)
		if err == nil {
			return rc, nil
		}
		if !isTransient(err) {
			return Record{}, err
		}
		ap.rp.onRetry(err)
		if storer.Pause(ctx, ap.rp.jitter(backoff)) != nil {
			return Record{}, ap.expiryError(err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt tries once to make the change the new head.
func (ap *application) attempt(ctx context.Context) (Record, error) {
	hd, err := ap.rp.readHead(ctx)
	if err != nil {
		return Record{}, err
	}
	if hd.record.Revision != ap.change.Base {
		return ap.resolveStaleBase(ctx, hd)
	}
	if err := ap.archiveHead(ctx, hd); err != nil {
		return Record{}, err
	}
	return ap.swapHead(ctx, hd)
}

// resolveStaleBase returns the result of a change whose base is not the head.
// Either an earlier attempt took effect and its response was lost, or another
// change was accepted first.
func (ap *application) resolveStaleBase(ctx context.Context, hd head) (Record, error) {
	base := Record{}
	if hd.record.Revision < ap.change.Base {
		return Record{}, classifier.New(classifier.SettingsNotFound, "the change starts from revision %d, but the latest revision is %d", ap.change.Base, hd.record.Revision)
	}
	next, err := ap.rp.readRevision(ctx, hd, ap.change.Base+1)
	if err != nil {
		return Record{}, err
	}
	if next.ChangeID == ap.change.ID {
		return next, nil
	}
	if ap.change.Base > 0 {
		base, err = ap.rp.readRevision(ctx, hd, ap.change.Base)
		if err != nil {
			return Record{}, err
		}
	}
	return Record{}, newConflict(ap.change, base, hd.record)
}

// archiveHead copies the head into the history. All operators write the same
// bytes to the key, so it does not matter whose write takes effect.
func (ap *application) archiveHead(ctx context.Context, hd head) error {
	if hd.record.Revision == 0 {
		return nil
	}
	_, err := ap.rp.store.Put(ctx, historyKey(hd.record.Revision), hd.entry.Value, 0, 0)
	if classifier.CodeOf(err) == classifier.PlatformConflict {
		return nil
	}
	return err
}

// swapHead replaces the head by the change, by compare-and-swap.
func (ap *application) swapHead(ctx context.Context, hd head) (Record, error) {
	rc := Record{
		Revision: ap.change.Base + 1,
		ChangeID: ap.change.ID,
		Author:   ap.change.Author,
		Time:     ap.time,
		Reason:   ap.change.Reason,
		Source:   ap.change.Source,
	}
	value, err := EncodeRecord(rc)
	if err != nil {
		return Record{}, err
	}
	_, err = ap.rp.store.Put(ctx, storer.SettingsHeadKey, value, hd.entry.Revision, 0)
	if classifier.CodeOf(err) == classifier.PlatformAmbiguous {
		ap.isAmbiguous = true
	}
	if err != nil {
		return Record{}, err
	}
	return rc, nil
}

// expiryError returns the error of a change whose context is done.
func (ap *application) expiryError(last error) error {
	if ap.isAmbiguous {
		return classifier.Wrap(last, classifier.PlatformAmbiguous,
			"it is not known whether change %s was accepted as revision %d; see cfw settings history", ap.change.ID, ap.change.Base+1)
	}
	return last
}

// isTransient reports whether a call that failed with err may succeed when it is
// retried.
func isTransient(err error) bool {
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable,
		classifier.PlatformAmbiguous,
		classifier.PlatformConflict,
		classifier.PlatformRateLimited:
		return true
	}
	return false
}
