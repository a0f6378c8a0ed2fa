// Package storer provides clients of the platform's key-value service, which
// offers compare-and-swap, transactions, leases and watches, and of its VM list.
package storer

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's service
// stores.
const MaxValueBytes = 1 << 20

// Revision is the number of a write to the platform's service. Revisions increase
// with every write, whatever its key. Zero stands for an absent key.
type Revision uint64

// LeaseID is the ID of a lease of the platform's service. Zero stands for no lease.
type LeaseID uint64

// Entry is a key with its value.
type Entry struct {
	// Key is the key, whose segments are separated by slashes.
	Key string
	// Value is the value, at most MaxValueBytes long.
	Value []byte
	// Revision is the revision of the last write to the key.
	Revision Revision
	// Lease is the lease at whose end the key is deleted, or zero.
	Lease LeaseID
}

// Event is a change of a key.
type Event struct {
	// Entry is the entry after the change. For a deletion it holds only the key
	// and the revision of the deletion.
	Entry Entry
	// Deleted is true if the key was deleted.
	Deleted bool
}

// Store is a client of the platform's key-value service. All errors
// are *classifier.Error with a code from 501 to 508:
//
//   - PlatformUnavailable: the call failed and had no effect, or was a read;
//   - PlatformAmbiguous: a write was sent and its answer was lost, so it may or
//     may not take effect;
//   - PlatformConflict: the key's revision was not the expected one;
//   - PlatformNotFound, PlatformTooLarge, PlatformRateLimited, LeaseLost.
//
// Implementations don't retry writes. They are safe for concurrent use.
type Store interface {
	// Get returns the entry of a key, or a PlatformNotFound error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, ordered by key,
	// and the revision of the store at which the list was taken.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put sets the key to value if the key's current revision equals expected,
	// where zero means that the key must be absent, and returns the new
	// revision. If lease is not zero, the key is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete deletes the key if its current revision equals expected.
	Delete(ctx context.Context, key string, expected Revision) error
	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl, or returns a LeaseLost error.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key that starts with prefix has changed since the
	// revision after. It returns the changes in order, or no events if there
	// was no change within wait, and the revision to continue from. If the
	// service no longer holds all changes since after, it returns a
	// PlatformNotFound error, and the caller has to start again with List.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// The keys and key prefixes that the programs share. Every key starts with one of
// these.
const (
	// SettingsHeadKey holds the settings in force, with their revision.
	SettingsHeadKey = "settings/head"
	// SettingsHistoryPrefix holds one record for each settings revision. The key
	// ends with the revision in ten digits.
	SettingsHistoryPrefix = "settings/history/"
	// FleetPrefix holds one record for each availability zone with all its VMs.
	FleetPrefix = "fleet/zones/"
	// DirectoryPrefix holds one record for each availability zone with its targets.
	DirectoryPrefix = "directory/"
	// DutyPrefix holds the keys of held duties, by availability zone and duty.
	DutyPrefix = "duties/"
	// JournalPrefix holds the shards of the journal of requests that must run at
	// most once.
	JournalPrefix = "journal/"
	// MemberPrefix holds the member records of the nodes, with their addresses,
	// under leases.
	MemberPrefix = "members/"
	// ManagerPrefix holds the capacities of the managers, by region and node.
	ManagerPrefix = "managers/"
	// WavePrefix holds the maintenance waves.
	WavePrefix = "waves/"
	// JobPrefix holds the jobs by ID. A further key below a job's key requests its
	// cancellation.
	JobPrefix = "jobs/"
	// PayloadPrefix holds the payloads of live jobs by queue and ID.
	PayloadPrefix = "payloads/"
	// ProgressPrefix holds the progress of live jobs by queue and ID.
	ProgressPrefix = "progress/"
	// SchedulerPrefix holds the state that a scheduler passes to its successor.
	SchedulerPrefix = "scheduler/"
	// AuditPrefix holds the audit trail of fleet changes.
	AuditPrefix = "audit/"
)
