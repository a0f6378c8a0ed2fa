package keeper

import (
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// waiter is a watch that waits for events.
type waiter struct {
	prefix string
	wake   chan struct{}
	// after is the revision up to which the waiter has seen all events.
	after storer.Revision
	// isPending is true if there may be events that the waiter has not seen.
	isPending bool
}

// enrol adds a waiter for events after a revision of keys that start with prefix.
func (kr *Keeper) enrol(prefix string, after storer.Revision) *waiter {
	wt := &waiter{
		prefix:    prefix,
		wake:      make(chan struct{}, 1),
		after:     after,
		isPending: true,
	}
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	kr.waiters[wt] = struct{}{}
	return wt
}

// dismiss takes a waiter away.
func (kr *Keeper) dismiss(wt *waiter) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	delete(kr.waiters, wt)
}

// batch is the events of a waiter between two revisions.
type batch struct {
	events []storer.Event
	from   storer.Revision
	to     storer.Revision
}

// collect returns the events that the waiter has not seen.
func (kr *Keeper) collect(wt *waiter) (batch, error) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	events, revision, err := kr.table.Events(time.Now(), wt.prefix, wt.after)
	kr.announce()
	if err != nil {
		return batch{}, err
	}
	bt := batch{
		events: copyEvents(events),
		from:   wt.after,
		to:     revision,
	}
	wt.after = revision
	wt.isPending = false
	return bt, nil
}

// position returns the revision up to which the waiter has seen all events.
func (kr *Keeper) position(wt *waiter) storer.Revision {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return wt.after
}

// inform tells the waiter of new events up to a revision.
func (wt *waiter) inform(events []storer.Event, revision storer.Revision) {
	if slices.ContainsFunc(events, wt.concerns) {
		wt.isPending = true
	}
	if !wt.isPending {
		wt.after = revision
		return
	}
	select {
	case wt.wake <- struct{}{}:
	default:
	}
}

// concerns reports whether the waiter waits for this event.
func (wt *waiter) concerns(ev storer.Event) bool {
	return strings.HasPrefix(ev.Entry.Key, wt.prefix)
}
