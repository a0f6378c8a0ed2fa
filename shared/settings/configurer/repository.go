package configurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// The pauses between attempts to reach the platform's service.
const (
	firstPause = 10 * time.Millisecond
	maxPause   = time.Second
)

// Repository keeps the settings and their history in the platform's service.
//
// The head record alone decides: a change is accepted when its compare-and-swap
// of the head takes effect. Before that write the operator copies the head it
// replaces into the history, so the history holds every revision below the
// head whatever process dies when. It is safe for concurrent use.
type Repository struct {
	store  storer.Store
	now    func() time.Time
	jitter func(limit time.Duration) time.Duration
	retry  func(err error)
}

// RepositoryOption is an option of NewRepository.
type RepositoryOption func(*Repository)

// WithClock sets the clock that stamps changes. The default is time.Now.
func WithClock(now func() time.Time) RepositoryOption {
	return func(rp *Repository) { rp.now = now }
}

// WithJitter sets the source of the pauses between repeated calls: it returns
// a duration from zero to the limit. The default is random.
func WithJitter(jitter func(limit time.Duration) time.Duration) RepositoryOption {
	return func(rp *Repository) { rp.jitter = jitter }
}

// WithRetryHook sets a function that is told the error of each call that Apply is
// about to repeat.
func WithRetryHook(retry func(err error)) RepositoryOption {
	return func(rp *Repository) { rp.retry = retry }
}

// NewRepository returns a Repository over the platform's service.
func NewRepository(store storer.Store, opts ...RepositoryOption) *Repository {
	rp := &Repository{
		store:  store,
		now:    time.Now,
		jitter: randomPause,
		retry:  func(error) {},
	}
	for _, opt := range opts {
		opt(rp)
	}
	return rp
}

// Head returns the record in force. Before the first change that is a
// SettingsNotFound error.
func (rp *Repository) Head(ctx context.Context) (Record, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return Record{}, err
	}
	if hd.record.Revision == 0 {
		return Record{}, classifier.New(classifier.SettingsNotFound, "no settings have been applied yet")
	}
	return hd.record, nil
}

// Current returns the settings in force.
func (rp *Repository) Current(ctx context.Context) (Settings, error) {
	rc, err := rp.Head(ctx)
	if err != nil {
		return Settings{}, err
	}
	return rc.Settings()
}

// Revision returns the record of a revision, or a SettingsNotFound error.
func (rp *Repository) Revision(ctx context.Context, revision uint64) (Record, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return Record{}, err
	}
	return rp.revisionBelow(ctx, hd, revision)
}

// History returns the latest revisions from the newest, at most limit.
func (rp *Repository) History(ctx context.Context, limit int) ([]Record, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	for revision := hd.record.Revision; revision > 0 && len(records) < limit; revision-- {
		rc, err := rp.revisionBelow(ctx, hd, revision)
		if err != nil {
			return nil, err
		}
		records = append(records, rc)
	}
	return records, nil
}

// Apply checks a change whole and makes it the next revision. It repeats calls
// that fail until the context is done. The error is SettingsConflict when
// another change was accepted since the base, and PlatformAmbiguous when the
// context ended before it was known whether the change was accepted.
func (rp *Repository) Apply(ctx context.Context, change Change) (Settings, error) {
	if err := change.check(); err != nil {
		return Settings{}, err
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	ap := &application{
		rp:     rp,
		change: change,
		time:   rp.now().UTC(),
	}
	rc, err := ap.run(ctx)
	if err != nil {
		return Settings{}, err
	}
	return rc.Settings()
}

// Rollback makes the source of an earlier revision the next revision. The base
// of the change is the revision in force unless the change names one.
func (rp *Repository) Rollback(ctx context.Context, revision uint64, change Change) (Settings, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return Settings{}, err
	}
	rc, err := rp.revisionBelow(ctx, hd, revision)
	if err != nil {
		return Settings{}, err
	}
	change.Source = rc.Source
	if change.Base == 0 {
		change.Base = hd.record.Revision
	}
	if change.Reason == "" {
		change.Reason = fmt.Sprintf("roll back to revision %d", revision)
	}
	return rp.Apply(ctx, change)
}

// head is the head record with its key's state. It is zero while the key is
// absent.
type head struct {
	entry  storer.Entry
	record Record
}

func (rp *Repository) readHead(ctx context.Context) (head, error) {
	et, err := rp.store.Get(ctx, storer.SettingsHeadKey)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	rc, err := DecodeRecord(et.Value)
	if err != nil {
		return head{}, err
	}
	return head{
		entry:  et,
		record: rc,
	}, nil
}

// revisionBelow returns the record of a revision up to the head's.
func (rp *Repository) revisionBelow(ctx context.Context, hd head, revision uint64) (Record, error) {
	if revision == hd.record.Revision && revision > 0 {
		return hd.record, nil
	}
	if revision == 0 || revision > hd.record.Revision {
		return Record{}, classifier.New(classifier.SettingsNotFound, "revision %d; the newest is %d", revision, hd.record.Revision)
	}
	et, err := rp.store.Get(ctx, historyKey(revision))
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return Record{}, classifier.Wrap(err, classifier.SettingsNotFound, "revision %d", revision)
	}
	if err != nil {
		return Record{}, err
	}
	return DecodeRecord(et.Value)
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%010d", storer.SettingsHistoryPrefix, revision)
}

func randomPause(limit time.Duration) time.Duration { return rand.N(limit) + 1 }
