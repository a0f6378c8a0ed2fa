package keeper

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Table is the state machine of the key-value service: its entries, leases and
// recent events. It has no clock: the time is passed to each call. It is not safe
// for concurrent use.
type Table struct {
	revision  storer.Revision
	entries   map[string]storer.Entry
	leases    map[storer.LeaseID]*lease
	lastLease storer.LeaseID
	history   *history
}

// NewTable returns an empty Table that retains up to maxEvents events with up to
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

// Put writes the value of a key if the key's revision equals expected.
func (tb *Table) Put(now time.Time, key string, value []byte, expected storer.Revision, id storer.LeaseID) (storer.Revision, error) {
	tb.Advance(now)
	if len(value) > storer.MaxValueBytes {
		return 0, classifier.New(classifier.PlatformTooLarge, "value of key %s is too large: %d bytes", key, len(value))
	}
	if err := tb.checkRevision(key, expected); err != nil {
		return 0, err
	}
	if _, ok := tb.leases[id]; id != 0 && !ok {
		return 0, classifier.New(classifier.LeaseLost, "lease %d does not exist or has expired", id)
	}
	tb.revision++
	tb.putEntry(storer.Write{
		Key:   key,
		Value: value,
		Lease: id,
	})
	return tb.revision, nil
}

// putEntry writes a key at the current revision and records the event.
func (tb *Table) putEntry(wr storer.Write) {
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

// Delete deletes a key if its revision equals expected.
func (tb *Table) Delete(now time.Time, key string, expected storer.Revision) error {
	tb.Advance(now)
	if _, ok := tb.entries[key]; !ok {
		return classifier.New(classifier.PlatformNotFound, "key %s", key)
	}
	if err := tb.checkRevision(key, expected); err != nil {
		return err
	}
	tb.deleteKey(key)
	return nil
}

// Commit applies a transaction. All of its changes have the same revision.
func (tb *Table) Commit(now time.Time, tx storer.Transaction) (storer.Revision, error) {
	tb.Advance(now)
	if size := tx.Size(); size > storer.MaxTransactionEntries {
		return 0, classifier.New(classifier.PlatformTooLarge, "transaction with %d entries is too large", size)
	}
	if err := tb.checkPreconditions(tx.Preconditions); err != nil {
		return 0, err
	}
	for _, wr := range tx.Writes {
		if len(wr.Value) > storer.MaxValueBytes {
			return 0, classifier.New(classifier.PlatformTooLarge, "value of key %s is too large: %d bytes", wr.Key, len(wr.Value))
		}
		if _, ok := tb.leases[wr.Lease]; wr.Lease != 0 && !ok {
			return 0, classifier.New(classifier.LeaseLost, "lease %d does not exist or has expired", wr.Lease)
		}
	}
	tb.revision++
	for _, wr := range tx.Writes {
		tb.putEntry(wr)
	}
	for _, key := range tx.Deletes {
		if _, ok := tb.entries[key]; ok {
			tb.deleteEntry(key)
		}
	}
	return tb.revision, nil
}

// checkPreconditions returns a PlatformConflict error unless all preconditions hold.
func (tb *Table) checkPreconditions(preconditions []storer.Precondition) error {
	current := map[string]storer.Entry{}
	areMet := true
	for _, ex := range preconditions {
		et, ok := tb.entries[ex.Key]
		if ok {
			current[ex.Key] = copyEntry(et)
		}
		areMet = areMet && et.Revision == ex.Revision
	}
	if !areMet {
		return storer.NewTransactionConflict(current)
	}
	return nil
}

// Events returns the changes after a revision of the keys that start with prefix,
// and the revision to continue from. It returns a PlatformNotFound error if the
// changes have been discarded, or if the revision is in the future.
func (tb *Table) Events(now time.Time, prefix string, after storer.Revision) ([]storer.Event, storer.Revision, error) {
	tb.Advance(now)
	if after < tb.history.compacted || after > tb.revision {
		return nil, 0, classifier.New(classifier.PlatformNotFound, "events after revision %d are not held", after)
	}
	return tb.history.since(prefix, after), tb.revision, nil
}

// checkRevision returns a PlatformConflict error unless the key's revision equals
// expected.
func (tb *Table) checkRevision(key string, expected storer.Revision) error {
	actual := tb.entries[key].Revision
	if actual == expected {
		return nil
	}
	return storer.NewConflict(key, actual)
}

// deleteKey deletes a key's entry at a new revision.
func (tb *Table) deleteKey(key string) {
	tb.revision++
	tb.deleteEntry(key)
}

// deleteEntry deletes a key's entry at the current revision and records the event.
func (tb *Table) deleteEntry(key string) {
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

// detach removes a key from its lease.
func (tb *Table) detach(key string) {
	if ls, ok := tb.leases[tb.entries[key].Lease]; ok {
		delete(ls.keys, key)
	}
}
