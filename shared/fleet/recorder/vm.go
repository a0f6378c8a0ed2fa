// Package recorder holds the fleet record: for each availability zone one
// record with all its VMs, the pool and the state of each, and the floors that
// keep the services' availability budgets. Each change is a pure function from
// one record to the next, written by compare-and-swap.
package recorder

import (
	_ "embed" // The chart of a VM's life is embedded.
	"net/netip"
	"time"

	"coltsfootwick.example/shared/fleet/charter"
)

//go:embed vm.toml
var vmChartSource string

// VMChart is the state chart of a VM's life.
var VMChart = charter.MustParse(vmChartSource)

// State is a state of VMChart.
type State string

// The states of a VM that code outside the chart refers to.
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

// TakesWork reports whether a VM in the state gets new work.
func (st State) TakesWork() bool { return VMChart.HasMark(string(st), "takesWork") }

// Event is an event of VMChart.
type Event string

// The events of a VM's life.
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

// Purpose says why a VM is taken out of service.
type Purpose string

// The purposes of a drain.
const (
	// NoPurpose is the purpose of a VM that is in service.
	NoPurpose Purpose = ""
	// MovePurpose drains a VM to give it to another pool.
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
	// Address is where the VM takes requests.
	Address netip.AddrPort
	// Pool is the one pool that the VM belongs to.
	Pool string
	// State is the VM's state in VMChart.
	State State
	// Since is when the VM entered the state.
	Since time.Time
	// Purpose says why the VM is out of service.
	Purpose Purpose
	// MoveTo is the pool that a move gives the VM to once it is drained.
	MoveTo string
	// Wave names the maintenance wave that holds the VM or held it last.
	Wave string
	// Boot is the number of the VM's boot that the last reboot was asked for in;
	// the VM is up again when the platform lists a higher one.
	Boot uint64
	// Maintained is when the VM last returned from maintenance.
	Maintained time.Time
}
