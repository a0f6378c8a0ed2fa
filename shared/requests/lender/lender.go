// Package lender shares the slots of targets among the entries of an
// availability zone. Each target is owned by one of the entries, which lends
// its slots to the others in leases. The package does no I/O: the time and
// received messages are passed as arguments, and messages to send are returned.
// docs/decisions/0003-slot-sharing.md explains why the leases of a target never
// exceed its slots.
package lender

import "time"

// Entry identifies a process of an entry.
type Entry struct {
	// Name is the entry's name, unique in its availability zone.
	Name string
	// Incarnation increases with each process of the same name.
	Incarnation uint64
}

// Target is a target whose slots are shared.
type Target struct {
	// VM is the VM's name.
	VM string
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Connections is the number of connections the target accepts.
	Connections int
}

// Config holds the time constants and limits of lending. All entries of an
// availability zone must use the same values.
type Config struct {
	// LeaseTime is the maximum duration of a lease. The borrower counts it from
	// sending the request that the grant answers.
	LeaseTime time.Duration
	// MaxClockDrift is the maximum relative difference in speed between the
	// clocks of two entries.
	MaxClockDrift float64
	// MaxEntries bounds the number of entry processes in the availability zone.
	// Each may use at most its fraction of a target's connections.
	MaxEntries int
	// MinInterval is the minimum time between two messages to a peer, except
	// for answers.
	MinInterval time.Duration
	// DemandWindow is the length of a window of the peak of demand. A peak
	// counts for one to two windows.
	DemandWindow time.Duration
}

// DefaultConfig returns the settings for entries within one availability zone.
func DefaultConfig() Config {
	return Config{
		LeaseTime:     time.Second,
		MaxClockDrift: 0.1,
		MaxEntries:    8,
		MinInterval:   20 * time.Millisecond,
		DemandWindow:  100 * time.Millisecond,
	}
}

// Lender shares the slots of targets with the other entries of the availability
// zone. It is not safe for concurrent use.
type Lender interface {
	// SetMembers sets the entries of the availability zone that are listed as
	// alive, with or without this one. Messages are sent to all of them, but
	// only those from which messages are received are in view, because the list
	// may be out of date.
	SetMembers(now time.Time, members []Entry) []Envelope
	// MarkDeparted records that an entry is known to have ended: it returned
	// its slots, or its process has exited.
	MarkDeparted(now time.Time, entry Entry) []Envelope
	// SetTargets sets the targets whose slots are shared.
	SetTargets(now time.Time, targets []Target) []Envelope
	// SetQueued sets the number of requests queued for any target.
	SetQueued(now time.Time, queued int) []Envelope
	// Start records that an attempt at a target has started.
	Start(now time.Time, vm string) []Envelope
	// Finish records that an attempt at a target has ended.
	Finish(now time.Time, vm string) []Envelope
	// Receive handles a message from another entry.
	Receive(now time.Time, envelope Envelope) []Envelope
	// Tick does the work that is due at the given time.
	Tick(now time.Time) []Envelope
	// NextTick returns when Tick is next due.
	NextTick() time.Time
	// Allowed returns the maximum number of attempts in flight at a target. It
	// decreases without a call when a lease expires, so it must be called
	// before each start of an attempt.
	Allowed(now time.Time, vm string) int
}
