package modeller

import "time"

// VMState is the state of a VM.
type VMState string

// The states of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
	VMUnknown     VMState = "unknown"
)

// VM is a machine that is in exactly one pool.
type VM struct {
	// Name is the VM's name.
	Name string
	// Pool is the pool it is in.
	Pool string
	// State is its state.
	State VMState
	// Worker is the worker that is its present life, or empty.
	Worker WorkerID
	// Zone is its availability zone.
	Zone string
	// Capacity is what its workers have.
	Capacity Resources
}

// Wave is a maintenance wave that operators have asked for.
type Wave struct {
	// Number names the wave.
	Number int64
	// VMs are due for maintenance.
	VMs []string
	// Duration is how long the wave may take.
	Duration time.Duration
	// MaxDown is how many of its VMs may be down at once.
	MaxDown int
}
