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

// Repository reads and changes the fleet records in the platform's service. It
// is safe for concurrent use.
type Repository struct {
	store  storer.Store
	now    func() time.Time
	author string
	newID  func() string
}

// RepositoryOption changes a Repository.
type RepositoryOption func(*Repository)

// WithClock sets the clock that changes are dated by.
func WithClock(now func() time.Time) RepositoryOption {
	return func(ry *Repository) { ry.now = now }
}

// WithAuthor sets the author that the audit trail names.
func WithAuthor(author string) RepositoryOption {
	return func(ry *Repository) { ry.author = author }
}

// NewRepository returns a Repository over the platform's service.
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

// Locate returns the record that holds a VM, or a VMUnknown error.
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
	return Zone{}, classifier.New(classifier.VMUnknown, "no VM %q in any availability zone", vm)
}

// Change applies changes to an availability zone's record in one write, all or
// none, and returns the record as written. A record that is absent begins
// empty. Every attempt checks the changes against the record as it is then. A
// write whose answer was lost is found by its identifier in the audit trail.
// Errors: those of Apply, RecordInvalid, and those of storer.Update.
func (ry *Repository) Change(ctx context.Context, zone, reason string, changes ...Change) (Zone, error) {
	plan := ry.plan(zone, reason, changes)
	et, err := storer.Update(ctx, ry.store, storer.FleetPrefix+zone, storer.Change{
		Apply:     func(et storer.Entry) ([]byte, error) { return plan.apply(et, 0) },
		IsApplied: plan.wrote,
	})
	if err != nil {
		return Zone{}, err
	}
	return Decode(et.Value)
}

// plan is a set of changes on their way into a record.
type plan struct {
	zone    string
	changes []Change
	entry   AuditEntry
}

func (ry *Repository) plan(zone, reason string, changes []Change) plan {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, Describe(change))
	}
	return plan{
		zone:    zone,
		changes: changes,
		entry: AuditEntry{
			ChangeID: ry.newID(),
			Time:     ry.now().UTC(),
			Author:   ry.author,
			Reason:   reason,
			Change:   strings.Join(texts, "; "),
		},
	}
}

// apply returns the record's new value. An epoch of zero keeps the record's.
func (pn plan) apply(et storer.Entry, epoch uint64) ([]byte, error) {
	ze := Zone{Name: pn.zone}
	if et.Revision != 0 {
		decoded, err := Decode(et.Value)
		if err != nil {
			return nil, err
		}
		ze = decoded
	}
	if ze.holds(pn.entry.ChangeID) {
		return nil, storer.ErrUnchanged
	}
	for _, change := range pn.changes {
		next, err := Apply(ze, change, pn.entry.Time)
		if err != nil {
			return nil, err
		}
		ze = next
	}
	ze.Epoch = max(ze.Epoch, epoch)
	ze.note(pn.entry)
	return Encode(ze)
}

func (pn plan) wrote(et storer.Entry) bool {
	if et.Revision == 0 {
		return false
	}
	ze, err := Decode(et.Value)
	return err == nil && ze.holds(pn.entry.ChangeID)
}

// Fence writes records under a duty that is held.
type Fence interface {
	// Write changes a record unless a later holder of the duty has written it.
	Write(ctx context.Context, key string, change leaser.Change) (storer.Entry, error)
}

// ChangeFenced is Change under a duty that is held: the record then carries the
// holder's epoch, and a holder that has been replaced gets a StaleEpoch or a
// LeaseLost error.
func (ry *Repository) ChangeFenced(ctx context.Context, fence Fence, zone, reason string, changes ...Change) (Zone, error) {
	plan := ry.plan(zone, reason, changes)
	et, err := fence.Write(ctx, storer.FleetPrefix+zone, leaser.Change{
		EpochOf: epochOf,
		Apply:   plan.apply,
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
