package recorder

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// Repository stores the fleet records in the platform's service. It is safe for
// concurrent use.
type Repository struct {
	store  storer.Store
	now    func() time.Time
	author string
	newID  func() string
}

// RepositoryOption configures a Repository.
type RepositoryOption func(*Repository)

// WithClock sets the clock for the timestamps of changes. The default is
// time.Now.
func WithClock(now func() time.Time) RepositoryOption {
	return func(ry *Repository) { ry.now = now }
}

// WithAuthor sets the author of the entries in the audit trail.
func WithAuthor(author string) RepositoryOption {
	return func(ry *Repository) { ry.author = author }
}

// NewRepository returns a Repository that uses the given store.
func NewRepository(store storer.Store, opts ...RepositoryOption) *Repository {
	ry := &Repository{
		store:  store,
		now:    time.Now,
		author: "unknown",
		newID:  uuid.NewString,
	}
	for _, opt := range opts {
		opt(ry)
	}
	return ry
}

// Zone returns the record of an availability zone. Errors: PlatformNotFound,
// RecordInvalid, and those of storer.Store.
func (ry *Repository) Zone(ctx context.Context, name string) (Zone, error) {
	et, err := ry.store.Get(ctx, storer.FleetPrefix+name)
	if err != nil {
		return Zone{}, err
	}
	return Decode(et.Value)
}

// Zones returns the records of all availability zones, ordered by name.
func (ry *Repository) Zones(ctx context.Context) ([]Zone, error) {
	entries, _, err := ry.store.List(ctx, storer.FleetPrefix)
	if err != nil {
		return nil, err
	}
	zones := make([]Zone, 0, len(entries))
	for _, et := range entries {
		ze, err := Decode(et.Value)
		if err != nil {
			return nil, classifier.Wrap(err, classifier.RecordInvalid, "record %s", et.Key)
		}
		zones = append(zones, ze)
	}
	return zones, nil
}

// Locate returns the record that contains a VM, or a VMUnknown error.
func (ry *Repository) Locate(ctx context.Context, vm string) (Zone, error) {
	zones, err := ry.Zones(ctx)
	if err != nil {
		return Zone{}, err
	}
	for _, ze := range zones {
		if _, err := ze.Find(vm); err == nil {
			return ze, nil
		}
	}
	return Zone{}, classifier.New(classifier.VMUnknown, "VM %q is not in any availability zone", vm)
}

// Change applies changes to an availability zone's record atomically in one
// write and returns the written record. If the record does not exist, it starts
// from an empty one. Each attempt applies the changes to the current record. If
// the response to a write was lost, the identifier of the change in the audit
// trail shows whether the write took effect. Errors: those of Apply,
// RecordInvalid, and those of storer.Update.
func (ry *Repository) Change(ctx context.Context, zone, reason string, changes ...Change) (Zone, error) {
	set := ry.newChangeSet(zone, reason, changes)
	et, err := storer.Update(ctx, ry.store, storer.FleetPrefix+zone, storer.Change{
		Apply:     func(et storer.Entry) ([]byte, error) { return set.apply(et, 0) },
		IsApplied: set.isWrittenTo,
	})
	if err != nil {
		return Zone{}, err
	}
	return Decode(et.Value)
}

// changeSet is a list of changes that are written together, with their entry in
// the audit trail.
type changeSet struct {
	zone    string
	changes []Change
	entry   AuditEntry
}

func (ry *Repository) newChangeSet(zone, reason string, changes []Change) changeSet {
	descriptions := make([]string, 0, len(changes))
	for _, change := range changes {
		descriptions = append(descriptions, Describe(change))
	}
	return changeSet{
		zone:    zone,
		changes: changes,
		entry: AuditEntry{
			ChangeID: ry.newID(),
			Time:     ry.now().UTC(),
			Author:   ry.author,
			Reason:   reason,
			Change:   strings.Join(descriptions, "; "),
		},
	}
}

// apply returns the encoded record after the changes. The record's epoch is
// raised to epoch and never lowered.
func (cs changeSet) apply(et storer.Entry, epoch uint64) ([]byte, error) {
	ze := Zone{Name: cs.zone}
	if et.Revision != 0 {
		decoded, err := Decode(et.Value)
		if err != nil {
			return nil, err
		}
		ze = decoded
	}
	if ze.hasChange(cs.entry.ChangeID) {
		return nil, storer.ErrUnchanged
	}
	for _, change := range cs.changes {
		next, err := Apply(ze, change, cs.entry.Time)
		if err != nil {
			return nil, err
		}
		ze = next
	}
	ze.Epoch = max(ze.Epoch, epoch)
	ze.appendAudit(cs.entry)
	return Encode(ze)
}

func (cs changeSet) isWrittenTo(et storer.Entry) bool {
	if et.Revision == 0 {
		return false
	}
	ze, err := Decode(et.Value)
	return err == nil && ze.hasChange(cs.entry.ChangeID)
}

// FencedWriter writes records on behalf of the holder of a duty.
type FencedWriter interface {
	// Write changes a record unless a later holder of the duty has written it.
	Write(ctx context.Context, key string, change leaser.Change) (storer.Entry, error)
}

// ChangeFenced is like Change for the holder of a duty: it stores the holder's
// epoch in the record, and a holder that has been replaced gets a StaleEpoch or
// a LeaseLost error.
func (ry *Repository) ChangeFenced(ctx context.Context, fence FencedWriter, zone, reason string, changes ...Change) (Zone, error) {
	set := ry.newChangeSet(zone, reason, changes)
	et, err := fence.Write(ctx, storer.FleetPrefix+zone, leaser.Change{
		EpochOf: epochOf,
		Apply:   set.apply,
	})
	if err != nil {
		return Zone{}, err
	}
	return Decode(et.Value)
}

func epochOf(value []byte) (uint64, error) {
	ze, err := Decode(value)
	return ze.Epoch, err
}
