package configurer

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// application is one run of Apply.
type application struct {
	rp     *Repository
	change Change
	time   time.Time
	// isInDoubt is true once a write of the head was sent without an answer.
	isInDoubt bool
}

// run repeats the change until it is accepted, refused or the context is done.
// Each attempt writes the same revision over the same base, so that at most one
// of them takes effect, also one that arrives late.
func (ap *application) run(ctx context.Context) (Record, error) {
	pause := firstPause
	for {
		rc, err := ap.attempt(ctx)
		if err == nil {
			return rc, nil
		}
		if !isTransient(err) {
			return Record{}, err
		}
		ap.rp.retry(err)
		if storer.Pause(ctx, ap.rp.jitter(pause)) != nil {
			return Record{}, ap.abandoned(err)
		}
		pause = min(2*pause, maxPause)
	}
}

func (ap *application) attempt(ctx context.Context) (Record, error) {
	hd, err := ap.rp.readHead(ctx)
	if err != nil {
		return Record{}, err
	}
	if hd.record.Revision != ap.change.Base {
		return ap.settle(ctx, hd)
	}
	if err := ap.keepHistory(ctx, hd); err != nil {
		return Record{}, err
	}
	return ap.moveHead(ctx, hd)
}

// settle decides about a change whose base is not the head: either an earlier
// write of it took effect unseen, or another change was accepted first.
func (ap *application) settle(ctx context.Context, hd head) (Record, error) {
	base := Record{}
	if hd.record.Revision < ap.change.Base {
		return Record{}, classifier.New(classifier.SettingsNotFound, "the change starts from revision %d, but the newest is %d", ap.change.Base, hd.record.Revision)
	}
	next, err := ap.rp.revisionBelow(ctx, hd, ap.change.Base+1)
	if err != nil {
		return Record{}, err
	}
	if next.ChangeID == ap.change.ID {
		return next, nil
	}
	if ap.change.Base > 0 {
		base, err = ap.rp.revisionBelow(ctx, hd, ap.change.Base)
		if err != nil {
			return Record{}, err
		}
	}
	return Record{}, newConflict(ap.change, base, hd.record)
}

// keepHistory copies the head into the history. All operators write the same
// bytes under the key, so it makes no difference whose write takes effect.
func (ap *application) keepHistory(ctx context.Context, hd head) error {
	if hd.record.Revision == 0 {
		return nil
	}
	_, err := ap.rp.store.Put(ctx, historyKey(hd.record.Revision), hd.entry.Value, 0, 0)
	if classifier.CodeOf(err) == classifier.PlatformConflict {
		return nil
	}
	return err
}

func (ap *application) moveHead(ctx context.Context, hd head) (Record, error) {
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
		ap.isInDoubt = true
	}
	if err != nil {
		return Record{}, err
	}
	return rc, nil
}

// abandoned returns the error of a change that ran out of time.
func (ap *application) abandoned(last error) error {
	if ap.isInDoubt {
		return classifier.Wrap(last, classifier.PlatformAmbiguous,
			"it is not known whether change %s was accepted as revision %d; see cfw settings history", ap.change.ID, ap.change.Base+1)
	}
	return last
}

// isTransient tells whether a call may succeed when it is repeated.
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
