package maintainer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/store/storer"
)

// cache holds the zone's record and the waves as the platform's service last
// told them, so that a steward at rest reads neither. It may be old: every
// change is checked again by the compare-and-swap that makes it.
type cache struct {
	zone   string
	logger *zap.Logger

	mu     sync.Mutex
	record *recorder.Zone
	waves  map[string]planner.Wave
	synced bool
}

func newCache(zone string, logger *zap.Logger) *cache {
	return &cache{
		zone:   zone,
		logger: logger,
		waves:  map[string]planner.Wave{},
	}
}

// follow keeps the cache up to date until the context is done.
func (ce *cache) follow(ctx context.Context, store storer.Store) {
	var both sync.WaitGroup
	both.Go(func() { _ = storer.Follow(ctx, store, storer.FleetPrefix+ce.zone, ce.takeRecord) })
	both.Go(func() { _ = storer.Follow(ctx, store, storer.WavePrefix, ce.takeWave) })
	both.Wait()
}

func (ce *cache) takeRecord(nt storer.Notice) {
	cd, ok := nt.(storer.Changed)
	if !ok || cd.Event.Deleted || cd.Event.Entry.Key != storer.FleetPrefix+ce.zone {
		return
	}
	ze, err := recorder.Decode(cd.Event.Entry.Value)
	if err != nil {
		ce.logger.Error("fleet record passed over", zap.String("zone", ce.zone), zap.Error(err))
		return
	}
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.record = &ze
}

func (ce *cache) takeWave(nt storer.Notice) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	switch nt := nt.(type) {
	case storer.Synced:
		ce.synced = true
	case storer.Changed:
		if nt.Event.Deleted {
			delete(ce.waves, nt.Event.Entry.Key)
			return
		}
		wv, err := planner.Decode(nt.Event.Entry.Value)
		if err != nil {
			ce.logger.Error("wave passed over", zap.String("key", nt.Event.Entry.Key), zap.Error(err))
			return
		}
		ce.waves[nt.Event.Entry.Key] = wv
	case storer.Disconnected:
	}
}

// zoneRecord returns the zone's record, and false before it was told.
func (ce *cache) zoneRecord() (recorder.Zone, bool) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if ce.record == nil {
		return recorder.Zone{}, false
	}
	return *ce.record, true
}

// allWaves returns the waves ordered by name, and false before they were told.
func (ce *cache) allWaves() ([]planner.Wave, bool) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	waves := slices.SortedFunc(maps.Values(ce.waves), func(a, b planner.Wave) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return waves, ce.synced
}
