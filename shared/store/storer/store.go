// Package storer is the client side of the platform's key-value service:
// compare-and-swap on single keys, leases, and watches.
package storer

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// Revision counts the writes of the platform's service. Each write of any key
// gets a higher revision than all writes before it. Zero stands for "absent".
type Revision uint64

// LeaseID names a lease of the platform's service. Zero stands for "none".
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	// Key is the key, segments separated by slashes.
	Key string
	// Value is the value, at most MaxValueBytes long.
	Value []byte
	// Revision is the revision of the last write to the key.
	Revision Revision
	// Lease is the lease the key is deleted with, or zero.
	Lease LeaseID
}

// Event is one change seen by a watch.
type Event struct {
	// Entry is the entry after the change. For a deletion it holds only the key
	// and the deletion's revision.
	Entry Entry
	// Deleted is true if the key was deleted.
	Deleted bool
}

// Store is the platform's key-value service as its users see it. All errors
// are *classifier.Error with a code from 501 to 508:
//
//   - PlatformUnavailable: the call had no effect, or was a read;
//   - PlatformAmbiguous: a write was sent and its answer was lost;
//   - PlatformConflict: the key's revision was not the expected one;
//   - PlatformNotFound, PlatformTooLarge, PlatformRateLimited, LeaseLost.
//
// Implementations don't retry writes. They are safe for concurrent use.
type Store interface {
	// Get returns the entry of a key, or a PlatformNotFound error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, ordered by key,
	// and the revision that the list is valid at.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value to key if the key's revision is expected (zero: the key
	// must be absent) and returns the new revision. With a lease other than
	// zero the key is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Grant makes a lease that ends when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl, or returns a LeaseLost error.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until keys that start with prefix change after the revision
	// and returns the changes in order with the revision to go on from. It
	// returns no events when wait has passed without a change. When the
	// changes since after are no longer held, it returns a PlatformNotFound
	// error, and the caller starts again with List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// The keys that the programs share. Every key starts with one of these.
const (
	// SettingsHeadKey holds the settings in force, with their revision.
	SettingsHeadKey = "settings/head"
	// SettingsHistoryPrefix holds one record for each revision, by its number
	// in ten digits.
	SettingsHistoryPrefix = "settings/history/"
	// FleetPrefix holds one record for each availability zone with all its VMs.
	FleetPrefix = "fleet/zones/"
	// DirectoryPrefix holds one record for each availability zone with its targets.
	DirectoryPrefix = "directory/"
	// DutyPrefix holds the leases of duties, by availability zone and duty.
	DutyPrefix = "duties/"
	// JournalPrefix holds the shards of the journal of requests that must not
	// be repeated.
	JournalPrefix = "journal/"
	// MemberPrefix holds the addresses of the peers, under leases.
	MemberPrefix = "members/"
	// WavePrefix holds the maintenance waves.
	WavePrefix = "waves/"
	// JobPrefix holds the jobs by queue and ID, each with a key below it while
	// it is to be cancelled.
	JobPrefix = "jobs/"
	// ProgressPrefix holds the progress of live jobs by queue and ID.
	ProgressPrefix = "progress/"
	// SchedulerPrefix holds what schedulers leave to their successors.
	SchedulerPrefix = "scheduler/"
	// AuditPrefix holds the audit trail of fleet changes.
	AuditPrefix = "audit/"
)
