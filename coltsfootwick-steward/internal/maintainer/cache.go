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

// cache holds the last known record of the zone and the waves, so that an idle
// steward makes no reads. It may be stale: each change is checked again by its
// compare-and-swap.
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

// follow updates the cache from the store until the context is done.
func (ce *cache) follow(ctx context.Context, store storer.Store) {
	var group sync.WaitGroup
	group.Go(func() { _ = storer.Follow(ctx, store, storer.FleetPrefix+ce.zone, ce.handleRecord) })
	group.Go(func() { _ = storer.Follow(ctx, store, storer.WavePrefix, ce.handleWave) })
	group.Wait()
}

func (ce *cache) handleRecord(nt storer.Notice) {
	cd, ok := nt.(storer.Changed)
	if !ok || cd.Event.Deleted || cd.Event.Entry.Key != storer.FleetPrefix+ce.zone {
		return
	}
	ze, err := recorder.Decode(cd.Event.Entry.Value)
	if err != nil {
		ce.logger.Error("fleet record can't be decoded; ignored", zap.String("zone", ce.zone), zap.Error(err))
		return
	}
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.record = &ze
}

func (ce *cache) handleWave(nt storer.Notice) {
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
			ce.logger.Error("wave can't be decoded; ignored", zap.String("key", nt.Event.Entry.Key), zap.Error(err))
			return
		}
		ce.waves[nt.Event.Entry.Key] = wv
	case storer.Disconnected:
	}
}

// zoneRecord returns the zone's record, or false if none has been received.
func (ce *cache) zoneRecord() (recorder.Zone, bool) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if ce.record == nil {
		return recorder.Zone{}, false
	}
	return *ce.record, true
}

// allWaves returns the waves ordered by name, or false before the first sync.
func (ce *cache) allWaves() ([]planner.Wave, bool) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	waves := slices.SortedFunc(maps.Values(ce.waves), func(a, b planner.Wave) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return waves, ce.synced
}
