// Package registrar defines the directory of targets: one record for each
// availability zone, which its steward writes and the entries read.
package registrar

import (
	"net/netip"
	"time"
)

// Directory lists the targets of one availability zone.
type Directory struct {
	// Zone is the name of the availability zone.
	Zone string
	// Epoch is the lease epoch of the steward that wrote the directory. A reader
	// ignores a directory with a lower epoch than its current one.
	Epoch uint64
	// Version is the number of the write, counted within the zone.
	Version uint64
	// Written is when the steward wrote the directory.
	Written time.Time
	// Targets are the targets, ordered by VM name.
	Targets []Target
}

// Target is a VM that runs tasks of its pool's services.
type Target struct {
	// VM is the VM's name.
	VM string
	// Address is the address at which the target accepts requests.
	Address netip.AddrPort
	// Pool is the pool that the VM belongs to.
	Pool string
	// Rack is the VM's rack, a failure domain.
	Rack string
	// State determines whether the target receives new work.
	State TargetState
}

// TargetState determines whether a target receives new work.
type TargetState string

// The states of a target.
const (
	// InService is the state of targets that receive new work.
	InService TargetState = "inService"
	// Leaving is the state of targets that are drained: they finish their work
	// in flight and receive no new work.
	Leaving TargetState = "leaving"
)
