// Package recorder provides the fleet record. Each availability zone has one
// record with all its VMs, their pools and states, and the floors that enforce
// the services' availability budgets. A change is a pure function from one
// record to the next and is written by compare-and-swap.
package recorder

import (
	_ "embed" // The state chart of a VM is embedded.
	"net/netip"
	"time"

	"coltsfootwick.example/shared/fleet/charter"
)

//go:embed vm.toml
var vmChartSource string

// VMChart is the state chart of a VM.
var VMChart = charter.MustParse(vmChartSource)

// State is a state of VMChart.
type State string

// The states of a VM.
const (
	InService     State = "inService"
	Draining      State = "draining"
	Checkpointing State = "checkpointing"
	Drained       State = "drained"
	Rebooting     State = "rebooting"
	Checking      State = "checking"
	Moving        State = "moving"
	Returning     State = "returning"
	Quarantined   State = "quarantined"
)

// TakesWork reports whether a VM in the state accepts new work.
func (st State) TakesWork() bool { return VMChart.HasMark(string(st), "takesWork") }

// Event is an event of VMChart.
type Event string

// The events of a VM.
const (
	DrainEvent      Event = "drain"
	CheckpointEvent Event = "checkpoint"
	DrainedEvent    Event = "drained"
	CancelEvent     Event = "cancel"
	RebootEvent     Event = "reboot"
	UpEvent         Event = "up"
	MoveEvent       Event = "move"
	PassedEvent     Event = "passed"
	ReturnedEvent   Event = "returned"
	LostEvent       Event = "lost"
	ReleaseEvent    Event = "release"
)

// Purpose is the reason for taking a VM out of service.
type Purpose string

// The purposes of a drain.
const (
	// NoPurpose is the purpose of a VM that is in service.
	NoPurpose Purpose = ""
	// MovePurpose drains a VM to move it to another pool.
	MovePurpose Purpose = "move"
	// MaintenancePurpose drains a VM to reboot it.
	MaintenancePurpose Purpose = "maintenance"
)

// VM is one VM of the fleet record.
type VM struct {
	// Name is the VM's name, unique in the fleet.
	Name string
	// Rack is the VM's rack, a failure domain within the availability zone.
	Rack string
	// Address is the address at which the VM accepts requests.
	Address netip.AddrPort
	// Pool is the pool that the VM belongs to; a VM is in exactly one pool.
	Pool string
	// State is the VM's state in VMChart.
	State State
	// Since is when the VM entered the state.
	Since time.Time
	// Purpose is the reason why the VM is out of service.
	Purpose Purpose
	// MoveTo is the destination pool of a move, which the VM joins once it is
	// drained.
	MoveTo string
	// Wave is the name of the last maintenance wave that drained the VM.
	Wave string
	// Boot is the VM's boot number at the time of the last reboot request. The
	// VM is up again when the platform lists a higher number.
	Boot uint64
	// Maintained is when the VM last returned to service from maintenance.
	Maintained time.Time
}
