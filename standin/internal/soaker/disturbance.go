package soaker

import (
	"slices"
	"sync"
	"time"
)

// disturbance is the effect of an event for a time.
type disturbance struct {
	// manager is the manager that is affected, or everyManager.
	manager int
	// isPlanned is true for planned work, during which no request may be cut.
	isPlanned bool
	// isProcess is true if the manager's processes or its connections to callers
	// were affected.
	isProcess bool
	from      time.Time
	// to is zero while the effect lasts.
	to time.Time
}

// disturbances are those of a play.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin adds a disturbance that lasts until the function returned is called.
func (ds *disturbances) begin(db disturbance) (end func()) {
	db.from = time.Now()
	added := &db
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.list = append(ds.list, added)
	return func() {
		ds.mu.Lock()
		defer ds.mu.Unlock()
		added.to = time.Now()
	}
}

// overlaps reports whether the disturbance lasts at some time of a span.
func (db *disturbance) overlaps(from, to time.Time) bool {
	return !db.from.After(to) && (db.to.IsZero() || !db.to.Before(from))
}

// hasUnplanned reports whether the processes of a manager were affected in a span
// by anything but planned work.
func (ds *disturbances) hasUnplanned(manager int, from, to time.Time) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return slices.ContainsFunc(ds.list, func(db *disturbance) bool {
		return db.isProcess && !db.isPlanned && (db.manager == manager || db.manager == everyManager) && db.overlaps(from, to)
	})
}

// hasAny reports whether a manager was affected in a span by anything but planned work.
func (ds *disturbances) hasAny(manager int, from, to time.Time) bool {
	return ds.hasAnyBesideProcess(manager, from, to) || ds.hasUnplanned(manager, from, to)
}

// hasAnyBesideProcess reports whether a manager was affected in a span by anything but
// planned work and faults of its processes.
func (ds *disturbances) hasAnyBesideProcess(manager int, from, to time.Time) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return slices.ContainsFunc(ds.list, func(db *disturbance) bool {
		return !db.isProcess && !db.isPlanned && (db.manager == manager || db.manager == everyManager) && db.overlaps(from, to)
	})
}

// calmSince returns the end of the last disturbance that began before a time, and
// false if one lasts at that time.
func (ds *disturbances) calmSince(at time.Time) (time.Time, bool) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	var since time.Time
	for _, db := range ds.list {
		if db.from.After(at) {
			continue
		}
		if db.to.IsZero() || db.to.After(at) {
			return time.Time{}, false
		}
		if db.to.After(since) {
			since = db.to
		}
	}
	return since, true
}
