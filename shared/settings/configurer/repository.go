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

// The backoff between retries of calls to the platform's service.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
)

// Repository stores the settings and their history in the platform's service.
// It is safe for concurrent use.
//
// The head record is authoritative: a change is accepted when its
// compare-and-swap of the head takes effect. Before that write, the operator's
// process copies the current head into the history. The history therefore
// contains every revision below the head, even if a process stops at any point.
type Repository struct {
	store   storer.Store
	now     func() time.Time
	jitter  func(limit time.Duration) time.Duration
	onRetry func(err error)
}

// RepositoryOption is an option of NewRepository.
type RepositoryOption func(*Repository)

// WithClock sets the clock for the timestamps of changes. The default is
// time.Now.
func WithClock(now func() time.Time) RepositoryOption {
	return func(rp *Repository) { rp.now = now }
}

// WithJitter sets the function that draws the pause before a retry, a duration
// from zero to the limit. The default draws it at random.
func WithJitter(jitter func(limit time.Duration) time.Duration) RepositoryOption {
	return func(rp *Repository) { rp.jitter = jitter }
}

// WithRetryHook sets a function that is called with the error of each attempt
// that Apply is about to retry.
func WithRetryHook(onRetry func(err error)) RepositoryOption {
	return func(rp *Repository) { rp.onRetry = onRetry }
}

// NewRepository returns a Repository that uses the given store.
func NewRepository(store storer.Store, opts ...RepositoryOption) *Repository {
	rp := &Repository{
		store:   store,
		now:     time.Now,
		jitter:  randomBackoff,
		onRetry: func(error) {},
	}
	for _, opt := range opts {
		opt(rp)
	}
	return rp
}

// Head returns the record in force. Before the first change, it returns a
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
	return rp.readRevision(ctx, hd, revision)
}

// History returns at most limit of the latest revisions, the newest first.
func (rp *Repository) History(ctx context.Context, limit int) ([]Record, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	for revision := hd.record.Revision; revision > 0 && len(records) < limit; revision-- {
		rc, err := rp.readRevision(ctx, hd, revision)
		if err != nil {
			return nil, err
		}
		records = append(records, rc)
	}
	return records, nil
}

// Apply checks a change and makes it the next revision. It retries failed calls
// until the context is done. The error is SettingsConflict if another change was
// accepted since the base, and PlatformAmbiguous if the context is done and the
// outcome of a write is unknown.
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

// Rollback applies the source of an earlier revision as a new change. If the
// change has no base, its base is the revision in force.
func (rp *Repository) Rollback(ctx context.Context, revision uint64, change Change) (Settings, error) {
	hd, err := rp.readHead(ctx)
	if err != nil {
		return Settings{}, err
	}
	rc, err := rp.readRevision(ctx, hd, revision)
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

// head is the head record with its store entry. It is zero if there is no head.
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

// readRevision returns the record of a revision that is not above the head.
func (rp *Repository) readRevision(ctx context.Context, hd head, revision uint64) (Record, error) {
	if revision == hd.record.Revision && revision > 0 {
		return hd.record, nil
	}
	if revision == 0 || revision > hd.record.Revision {
		return Record{}, classifier.New(classifier.SettingsNotFound, "revision %d does not exist; the latest revision is %d", revision, hd.record.Revision)
	}
	et, err := rp.store.Get(ctx, historyKey(revision))
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return Record{}, classifier.Wrap(err, classifier.SettingsNotFound, "revision %d is not in the history", revision)
	}
	if err != nil {
		return Record{}, err
	}
	return DecodeRecord(et.Value)
}

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%010d", storer.SettingsHistoryPrefix, revision)
}

func randomBackoff(limit time.Duration) time.Duration { return rand.N(limit) + 1 }
