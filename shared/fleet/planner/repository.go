package planner

import (
	"context"
	"time"

	"github.com/google/uuid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Repository reads and changes the waves in the platform's service. It is safe
// for concurrent use.
type Repository struct {
	store storer.Store
	now   func() time.Time
}

// RepositoryOption changes a Repository.
type RepositoryOption func(*Repository)

// WithClock sets the clock that changes are dated by.
func WithClock(now func() time.Time) RepositoryOption {
	return func(ry *Repository) { ry.now = now }
}

// NewRepository returns a Repository over the platform's service.
func NewRepository(store storer.Store, opts ...RepositoryOption) *Repository {
	ry := &Repository{
		store: store,
		now:   time.Now,
	}
	for _, opt := range opts {
		opt(ry)
	}
	return ry
}

// Wave returns a wave, or a WaveUnknown error.
func (ry *Repository) Wave(ctx context.Context, name string) (Wave, error) {
	et, err := ry.store.Get(ctx, storer.WavePrefix+name)
	if classifier.CodeOf(err) == classifier.PlatformNotFound {
		return Wave{}, classifier.New(classifier.WaveUnknown, "no wave %q", name)
	}
	if err != nil {
		return Wave{}, err
	}
	return Decode(et.Value)
}

// Waves returns all waves, ordered by name.
func (ry *Repository) Waves(ctx context.Context) ([]Wave, error) {
	entries, _, err := ry.store.List(ctx, storer.WavePrefix)
	if err != nil {
		return nil, err
	}
	waves := make([]Wave, 0, len(entries))
	for _, et := range entries {
		wv, err := Decode(et.Value)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.RecordInvalid, "record %s", et.Key)
		}
		waves = append(waves, wv)
	}
	return waves, nil
}

// Plan writes down a new wave. A name that was used before is refused with a
// PlatformConflict error.
func (ry *Repository) Plan(ctx context.Context, wv Wave) (Wave, error) {
	wv.State = WaveState(WaveChart.Initial())
	wv.Changed = ry.now().UTC()
	if wv.Progress == nil {
		wv.Progress = map[string]Progress{}
	}
	return ry.write(ctx, wv.Name, func(et storer.Entry, _ Wave) (Wave, error) {
		if et.Revision != 0 {
			return Wave{}, classifier.New(classifier.WaveRefused, "wave %s exists already", wv.Name)
		}
		return wv, nil
	})
}

// Command moves a wave along its chart. Errors: WaveUnknown, WaveRefused if the
// wave's state doesn't allow the event, and those of storer.Update.
func (ry *Repository) Command(ctx context.Context, name string, event WaveEvent, reason string) (Wave, error) {
	return ry.write(ctx, name, func(et storer.Entry, wv Wave) (Wave, error) {
		if et.Revision == 0 {
			return Wave{}, classifier.New(classifier.WaveUnknown, "no wave %q", name)
		}
		return Step(wv, event, reason, ry.now().UTC())
	})
}

// Change changes a wave by a function that says whether it changed anything.
// The function runs again for each attempt.
func (ry *Repository) Change(ctx context.Context, name string, change func(wv Wave) (Wave, bool)) (Wave, error) {
	return ry.write(ctx, name, func(et storer.Entry, wv Wave) (Wave, error) {
		if et.Revision == 0 {
			return Wave{}, classifier.New(classifier.WaveUnknown, "no wave %q", name)
		}
		next, changed := change(wv)
		if !changed {
			return wv, storer.ErrUnchanged
		}
		return next, nil
	})
}

// write changes a wave's record. A write whose answer was lost is found by the
// identifier of the change; when another change has followed it, the change is
// checked anew against that.
func (ry *Repository) write(ctx context.Context, name string, change func(storer.Entry, Wave) (Wave, error)) (Wave, error) {
	changeID := uuid.NewString()
	et, err := storer.Update(ctx, ry.store, storer.WavePrefix+name, storer.Change{
		Apply: func(et storer.Entry) ([]byte, error) {
			wv, err := decodeEntry(et)
			if err != nil {
				return nil, err
			}
			next, err := change(et, wv)
			if err != nil {
				return nil, err
			}
			next.ChangeID = changeID
			return Encode(next)
		},
		IsApplied: func(et storer.Entry) bool {
			wv, err := decodeEntry(et)
			return err == nil && wv.ChangeID == changeID
		},
	})
	if err != nil {
		return Wave{}, err
	}
	return decodeEntry(et)
}

func decodeEntry(et storer.Entry) (Wave, error) {
	if et.Revision == 0 {
		return Wave{}, nil
	}
	return Decode(et.Value)
}

// Now returns the time by which the Repository dates changes.
func (ry *Repository) Now() time.Time { return ry.now().UTC() }
