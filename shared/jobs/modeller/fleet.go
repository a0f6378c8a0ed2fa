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

// VM is a machine of the fleet. It belongs to exactly one pool.
type VM struct {
	// Name is the VM's name, or empty if the entry in the list of VMs can't be
	// decoded.
	Name string
	// Pool is the VM's pool.
	Pool string
	// State is the VM's state.
	State VMState
	// Worker is the worker that currently runs on the VM, or empty.
	Worker WorkerID
	// Zone is the VM's availability zone.
	Zone string
	// Capacity is the capacity of the VM's workers.
	Capacity Resources
}

// Wave is a maintenance wave that operators have ordered.
type Wave struct {
	// Number identifies the wave.
	Number int64
	// VMs are the VMs to be maintained.
	VMs []string
	// Duration is the maximum duration of the wave.
	Duration time.Duration
	// MaxDown is the maximum number of the wave's VMs that are down at once.
	MaxDown int
}
