package planner

import (
	"context"
	"time"

	"github.com/google/uuid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Repository stores the waves in the platform's service. It is safe for
// concurrent use.
type Repository struct {
	store storer.Store
	now   func() time.Time
}

// RepositoryOption configures a Repository.
type RepositoryOption func(*Repository)

// WithClock sets the clock for the timestamps of changes. The default is
// time.Now.
func WithClock(now func() time.Time) RepositoryOption {
	return func(ry *Repository) { ry.now = now }
}

// NewRepository returns a Repository that uses the given store.
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
		return Wave{}, classifier.New(classifier.WaveUnknown, "wave %q does not exist", name)
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

// Plan stores a new wave. If a wave of the same name exists, it returns a
// WaveRefused error.
func (ry *Repository) Plan(ctx context.Context, wv Wave) (Wave, error) {
	wv.State = WaveState(WaveChart.Initial())
	wv.Changed = ry.now().UTC()
	if wv.Progress == nil {
		wv.Progress = map[string]Progress{}
	}
	return ry.write(ctx, wv.Name, func(et storer.Entry, _ Wave) (Wave, error) {
		if et.Revision != 0 {
			return Wave{}, classifier.New(classifier.WaveRefused, "wave %s already exists", wv.Name)
		}
		return wv, nil
	})
}

// Command applies an event to a wave. Errors: WaveUnknown, WaveRefused if the
// event is not allowed in the wave's state, and those of storer.Update.
func (ry *Repository) Command(ctx context.Context, name string, event WaveEvent, reason string) (Wave, error) {
	return ry.write(ctx, name, func(et storer.Entry, wv Wave) (Wave, error) {
		if et.Revision == 0 {
			return Wave{}, classifier.New(classifier.WaveUnknown, "wave %q does not exist", name)
		}
		return Step(wv, event, reason, ry.now().UTC())
	})
}

// Change updates a wave with a function that reports whether it changed the
// wave. The function is called again for each attempt.
func (ry *Repository) Change(ctx context.Context, name string, change func(wv Wave) (Wave, bool)) (Wave, error) {
	return ry.write(ctx, name, func(et storer.Entry, wv Wave) (Wave, error) {
		if et.Revision == 0 {
			return Wave{}, classifier.New(classifier.WaveUnknown, "wave %q does not exist", name)
		}
		next, changed := change(wv)
		if !changed {
			return wv, storer.ErrUnchanged
		}
		return next, nil
	})
}

// write updates a wave's record by compare-and-swap. If the response to a write
// was lost, the record's ChangeID shows whether the write took effect. If
// another change has been written since, the change is applied again to that.
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

// Now returns the current time of the clock that timestamps changes.
func (ry *Repository) Now() time.Time { return ry.now().UTC() }
