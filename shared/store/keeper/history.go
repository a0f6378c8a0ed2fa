package keeper

import (
	"strings"

	"coltsfootwick.example/shared/store/storer"
)

// history holds the latest events, up to a maximum number of events and of bytes
// in their values.
type history struct {
	maxEvents int
	maxBytes  int
	bytes     int
	events    []storer.Event
	// compacted is the revision of the latest event that has been discarded.
	compacted storer.Revision
}

// add appends an event and discards the oldest events beyond the limits.
func (hy *history) add(ev storer.Event) {
	hy.events = append(hy.events, ev)
	hy.bytes += len(ev.Entry.Value)
	for len(hy.events) > hy.maxEvents || hy.bytes > hy.maxBytes {
		oldest := hy.events[0]
		hy.compacted = oldest.Entry.Revision
		hy.bytes -= len(oldest.Entry.Value)
		hy.events[0] = storer.Event{}
		hy.events = hy.events[1:]
	}
}

// drop discards all events.
func (hy *history) drop() {
	if len(hy.events) == 0 {
		return
	}
	hy.compacted = hy.events[len(hy.events)-1].Entry.Revision
	hy.events = nil
	hy.bytes = 0
}

// since returns the events after a revision for keys that start with prefix, in
// order.
func (hy *history) since(prefix string, after storer.Revision) []storer.Event {
	var found []storer.Event
	for idx := len(hy.events) - 1; idx >= 0; idx-- {
		ev := hy.events[idx]
		if ev.Entry.Revision <= after {
			break
		}
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			found = append(found, ev)
		}
	}
	for lo, hi := 0, len(found)-1; lo < hi; lo, hi = lo+1, hi-1 {
		found[lo], found[hi] = found[hi], found[lo]
	}
	return found
}
