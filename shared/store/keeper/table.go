package keeper

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Table is the state machine of the key-value service: entries, leases and the
// events of the recent past. It has no clock and no locks: the time comes with
// each call, and calls must not overlap.
type Table struct {
	revision  storer.Revision
	entries   map[string]storer.Entry
	leases    map[storer.LeaseID]*lease
	lastLease storer.LeaseID
	history   *history
}

// NewTable returns an empty Table that holds up to maxEvents events with up to
// maxBytes bytes of values.
func NewTable(maxEvents, maxBytes int) *Table {
	return &Table{
		entries: map[string]storer.Entry{},
		leases:  map[storer.LeaseID]*lease{},
		history: &history{
			maxEvents: maxEvents,
			maxBytes:  maxBytes,
		},
	}
}

// Revision returns the revision of the last write.
func (tb *Table) Revision() storer.Revision { return tb.revision }

// Get returns the entry of a key, or a PlatformNotFound error.
func (tb *Table) Get(now time.Time, key string) (storer.Entry, error) {
	tb.Advance(now)
	et, ok := tb.entries[key]
	if !ok {
		return storer.Entry{}, classifier.New(classifier.PlatformNotFound, "key %s", key)
	}
	return et, nil
}

// List returns the entries whose keys start with prefix, ordered by key.
func (tb *Table) List(now time.Time, prefix string) ([]storer.Entry, storer.Revision) {
	tb.Advance(now)
	var found []storer.Entry
	for key, et := range tb.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, et)
		}
	}
	slices.SortFunc(found, func(a, b storer.Entry) int {
		return strings.Compare(a.Key, b.Key)
	})
	return found, tb.revision
}

// Put writes the value of a key whose revision is expected.
func (tb *Table) Put(now time.Time, key string, value []byte, expected storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	tb.Advance(now)
	if len(value) > storer.MaxValueBytes {
		return 0, classifier.New(classifier.PlatformTooLarge, "key %s: %d bytes", key, len(value))
	}
	if err := tb.expect(key, expected); err != nil {
		return 0, err
	}
	if _, ok := tb.leases[id]; id != 0 && !ok {
		return 0, classifier.New(classifier.LeaseLost, "lease %d", id)
	}
	tb.revision++
	tb.set(storer.Write{
		Key:   key,
		Value: value,
		Lease: id,
	})
	return tb.revision, nil
}

// set writes a key at the present revision and adds the event.
func (tb *Table) set(wr storer.Write) {
	tb.detach(wr.Key)
	et := storer.Entry{
		Key:      wr.Key,
		Value:    bytes.Clone(wr.Value),
		Revision: tb.revision,
		Lease:    wr.Lease,
	}
	tb.entries[wr.Key] = et
	if wr.Lease != 0 {
		tb.leases[wr.Lease].keys[wr.Key] = struct{}{}
	}
	tb.history.add(storer.Event{
		Entry:   et,
		Deleted: false,
	})
}

// Delete removes a key whose revision is expected.
func (tb *Table) Delete(now time.Time, key string, expected storer.Revision) error {
	tb.Advance(now)
	if _, ok := tb.entries[key]; !ok {
		return classifier.New(classifier.PlatformNotFound, "key %s", key)
	}
	if err := tb.expect(key, expected); err != nil {
		return err
	}
	tb.remove(key)
	return nil
}

// Commit carries out a transaction: all of its changes get one revision.
func (tb *Table) Commit(now time.Time, tx storer.Transaction) (storer.Revision, error) {
	tb.Advance(now)
	if size := tx.Size(); size > storer.MaxTransactionEntries {
		return 0, classifier.New(classifier.PlatformTooLarge, "transaction of %d entries", size)
	}
	if err := tb.expectAll(tx.Preconditions); err != nil {
		return 0, err
	}
	for _, wr := range tx.Writes {
		if len(wr.Value) > storer.MaxValueBytes {
			return 0, classifier.New(classifier.PlatformTooLarge, "key %s: %d bytes", wr.Key, len(wr.Value))
		}
		if _, ok := tb.leases[wr.Lease]; wr.Lease != 0 && !ok {
			return 0, classifier.New(classifier.LeaseLost, "lease %d", wr.Lease)
		}
	}
	tb.revision++
	for _, wr := range tx.Writes {
		tb.set(wr)
	}
	for _, key := range tx.Deletes {
		if _, ok := tb.entries[key]; ok {
			tb.unset(key)
		}
	}
	return tb.revision, nil
}

// expectAll returns a PlatformConflict error unless all conditions hold.
func (tb *Table) expectAll(expected []storer.Precondition) error {
	current := map[string]storer.Entry{}
	isMet := true
	for _, ex := range expected {
		et, ok := tb.entries[ex.Key]
		if ok {
			current[ex.Key] = copyEntry(et)
		}
		isMet = isMet && et.Revision == ex.Revision
	}
	if !isMet {
		return storer.NewTransactionConflict(current)
	}
	return nil
}

// Events returns the changes after a revision of the keys that start with
// prefix, and the revision to go on from. When the changes are no longer held,
// or the revision is not yet reached, it returns a PlatformNotFound error.
func (tb *Table) Events(now time.Time, prefix string, after storer.Revision) ([]storer.Event, storer.Revision, error) {
	tb.Advance(now)
	if after < tb.history.dropped || after > tb.revision {
		return nil, 0, classifier.New(classifier.PlatformNotFound, "events after revision %d", after)
	}
	return tb.history.since(prefix, after), tb.revision, nil
}

// expect returns a PlatformConflict error unless the key's revision is expected.
func (tb *Table) expect(key string, expected storer.Revision) error {
	actual := tb.entries[key].Revision
	if actual == expected {
		return nil
	}
	return storer.NewConflict(key, actual)
}

// remove deletes an entry at a new revision.
func (tb *Table) remove(key string) {
	tb.revision++
	tb.unset(key)
}

// unset deletes an entry at the present revision and adds the event.
func (tb *Table) unset(key string) {
	tb.detach(key)
	delete(tb.entries, key)
	tb.history.add(storer.Event{
		Entry: storer.Entry{
			Key:      key,
			Revision: tb.revision,
		},
		Deleted: true,
	})
}

// detach takes a key from its lease.
func (tb *Table) detach(key string) {
	if le, ok := tb.leases[tb.entries[key].Lease]; ok {
		delete(le.keys, key)
	}
}
