package keeper

import (
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// waiter is a watch in progress.
type waiter struct {
	prefix string
	wake   chan struct{}
	// after is the revision up to which all events have been collected for the
	// waiter or do not match it.
	after storer.Revision
	// isPending is true if there may be matching events after that revision.
	isPending bool
}

// addWaiter adds a waiter for events after a revision, for keys that start with
// prefix.
func (kr *Keeper) addWaiter(prefix string, after storer.Revision) *waiter {
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

// removeWaiter removes a waiter.
func (kr *Keeper) removeWaiter(wt *waiter) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	delete(kr.waiters, wt)
}

// batch holds the events that match a waiter, after the revision from and up to the
// revision to.
type batch struct {
	events []storer.Event
	from   storer.Revision
	to     storer.Revision
}

// collect returns the events after the waiter's revision and advances the waiter.
func (kr *Keeper) collect(wt *waiter) (batch, error) {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	events, revision, err := kr.table.Events(time.Now(), wt.prefix, wt.after)
	kr.notifyWaiters()
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

// position returns the revision to continue the watch from.
func (kr *Keeper) position(wt *waiter) storer.Revision {
	kr.mutex.Lock()
	defer kr.mutex.Unlock()
	return wt.after
}

// notify wakes the waiter if there may be matching events for it. Otherwise it
// advances the waiter to the revision, up to which no event matches.
func (wt *waiter) notify(events []storer.Event, revision storer.Revision) {
	if slices.ContainsFunc(events, wt.matches) {
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

// matches reports whether the waiter's prefix matches the event.
func (wt *waiter) matches(ev storer.Event) bool {
	return strings.HasPrefix(ev.Entry.Key, wt.prefix)
}
