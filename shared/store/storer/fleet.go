package storer

import (
	"context"
	"net/netip"
)

// VM is an entry of the platform's VM list, which lags behind the actual VMs.
type VM struct {
	// Name is the VM's name, unique in the organisation.
	Name string
	// Zone is the VM's availability zone.
	Zone string
	// Rack is the VM's rack, a failure domain.
	Rack string
	// Address is the address on which the VM's target accepts requests.
	Address netip.AddrPort
	// Pool is the pool that the VM was created for, or empty. The pool in the
	// fleet record takes precedence.
	Pool string
	// State is the VM's state as of some seconds ago.
	State VMState
	// Boot is the number of the VM's current boot, counted from 1. An increase
	// shows that the VM has rebooted.
	Boot uint64
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	// Live is the state of a running VM.
	Live VMState = "live"
	// Leaving is the state of a VM that is about to stop, has stopped, or is
	// rebooting.
	Leaving VMState = "leaving"
)

// Fleet is the platform's service for VMs. Its errors have the same codes as
// those of Store.
type Fleet interface {
	// VMs returns the VMs of all availability zones, ordered by name. The list
	// lags behind the actual VMs by some seconds.
	VMs(ctx context.Context) ([]VM, error)
	// Reboot requests a reboot of the VM and returns once the request has been
	// accepted. Unlike the writes of a Store it isn't conditional on a revision.
	Reboot(ctx context.Context, name string) error
}
