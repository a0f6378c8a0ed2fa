// Package lender shares the slots of targets among the entries of an
// availability zone. Each target has an owner among the entries, which lends
// its slots in leases. The package is pure: time and messages come in as
// arguments, and messages to send go out as results. The argument why leases
// never exceed the slots is in docs/decisions/0003-slot-sharing.md.
package lender

import "time"

// Entry names a process of an entry.
type Entry struct {
	// Name is the entry's name, unique in its availability zone.
	Name string
	// Incarnation is higher for each later process of the same name.
	Incarnation uint64
}

// Target is a target to be shared.
type Target struct {
	// VM is the VM's name.
	VM string
	// Slots is the number of requests the target runs at once.
	Slots int
	// Connections is the number of connections the target accepts.
	Connections int
}

// Config holds the times and bounds of lending. All entries of a zone must
// have the same.
type Config struct {
	// LeaseTime is the longest time that a grant holds, counted by the borrower from the
	// request that it answers.
	LeaseTime time.Duration
	// ClockMargin is the share by which the clocks of two entries may differ
	// in speed.
	ClockMargin float64
	// MaxEntries bounds the processes of entries alive at once in the zone;
	// each uses at most its part of a target's connections.
	MaxEntries int
	// MinInterval is the least time between two messages to a peer, answers
	// left out.
	MinInterval time.Duration
	// DemandHold is how long a peak of demand is kept.
	DemandHold time.Duration
}

// DefaultConfig returns the settings that suit entries within one zone.
func DefaultConfig() Config {
	return Config{
		LeaseTime:   time.Second,
		ClockMargin: 0.1,
		MaxEntries:  8,
		MinInterval: 20 * time.Millisecond,
		DemandHold:  100 * time.Millisecond,
	}
}

// Lender divides the slots of targets with the peers. It is not safe for
// concurrent use.
type Lender interface {
	// SetMembers takes the entries of the zone that are said to be alive, the own
	// one included or not. What counts is whom this entry hears: the list says
	// whom to talk to, and may be late.
	SetMembers(now time.Time, members []Entry) []Envelope
	// MarkDeparted tells that an entry is gone for certain: it handed its slots
	// back, or its process has ended.
	MarkDeparted(now time.Time, entry Entry) []Envelope
	// SetTargets takes the targets to be shared.
	SetTargets(now time.Time, targets []Target) []Envelope
	// SetQueued takes the number of requests that wait for any target.
	SetQueued(now time.Time, queued int) []Envelope
	// Start counts an attempt begun at a target.
	Start(now time.Time, vm string) []Envelope
	// Finish counts an attempt ended at a target.
	Finish(now time.Time, vm string) []Envelope
	// Receive takes a message from a peer.
	Receive(now time.Time, envelope Envelope) []Envelope
	// Tick does what time alone calls for.
	Tick(now time.Time) []Envelope
	// NextTick returns when Tick is next due.
	NextTick() time.Time
	// Allowed returns how many attempts may be in flight at a target now. It
	// falls without a call when a lease expires, and must be asked again
	// before each start.
	Allowed(now time.Time, vm string) int
}
