// Package registrar holds the directory of targets that the stewards write
// and the entries read: one record for each availability zone.
package registrar

import (
	"net/netip"
	"time"
)

// Directory lists the targets of one availability zone.
type Directory struct {
	// Zone is the availability zone.
	Zone string
	// Epoch is the lease epoch of the steward that wrote it. A reader takes no
	// directory with a lower epoch than the one it has.
	Epoch uint64
	// Version counts the writes within the zone.
	Version uint64
	// Written is when the steward wrote it.
	Written time.Time
	// Targets are the targets, ordered by VM name.
	Targets []Target
}

// Target is a VM that runs tasks of its pool's services.
type Target struct {
	// VM is the VM's name.
	VM string
	// Address is where the target takes requests.
	Address netip.AddrPort
	// Pool is the pool that the VM belongs to.
	Pool string
	// Rack is the VM's rack, a failure domain.
	Rack string
	// State tells whether the target takes new work.
	State TargetState
}

// TargetState tells whether a target takes new work.
type TargetState string

// The states of a target.
const (
	// InService targets take new work.
	InService TargetState = "inService"
	// Leaving targets finish what they have and get no new work.
	Leaving TargetState = "leaving"
)
