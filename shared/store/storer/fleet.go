package storer

import (
	"context"
	"net/netip"
)

// VM is one VM in the platform's lagging list.
type VM struct {
	// Name is the VM's name, unique in the organisation.
	Name string
	// Zone is the VM's availability zone.
	Zone string
	// Rack is the VM's rack, a failure domain.
	Rack string
	// Address is where the VM's target takes requests.
	Address netip.AddrPort
	// Pool is the pool that the VM was made for, or empty. The fleet record
	// goes before it.
	Pool string
	// State is the VM's state, some seconds ago.
	State VMState
	// Boot counts the VM's boots from 1. A higher number than before shows that
	// a reboot has taken place.
	Boot uint64
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM in the platform's list.
const (
	// Live VMs run.
	Live VMState = "live"
	// Leaving VMs stop soon, have stopped, or are being rebooted.
	Leaving VMState = "leaving"
)

// Fleet is the platform's view of its VMs. Errors are as for Store.
type Fleet interface {
	// VMs returns the VMs of all availability zones, ordered by name. The list
	// lags behind the VMs by some seconds.
	VMs(ctx context.Context) ([]VM, error)
	// Reboot asks for a reboot of the VM and returns once that is accepted.
	// Unlike writes of keys it isn't guarded by a revision.
	Reboot(ctx context.Context, name string) error
}
