package elector

import (
	"math"
	"net/netip"
	"slices"
)

// Capacity is the number of tasks that a manager can start and see end per
// second while it holds the scheduler's duty.
type Capacity float64

// What one task costs its scheduler; see docs/CAPACITY.md.
const (
	coreSecondsPerTask = 0.001
	megabitsPerTask    = 0.02
)

// maxCapacity is the capacity of a node whose limits are not known.
const maxCapacity = 1e6

// NewCapacity returns the capacity of a node with a share of the processor, in
// cores, and a network link. Zero means that a limit is not known.
func NewCapacity(cores, linkMbps float64) Capacity {
	capacity := math.Inf(1)
	if cores > 0 {
		capacity = cores / coreSecondsPerTask
	}
	if linkMbps > 0 {
		capacity = min(capacity, linkMbps/megabitsPerTask)
	}
	return Capacity(min(capacity, maxCapacity))
}

// isLarger reports whether the capacity is a level above another.
func (cp Capacity) isLarger(other Capacity) bool { return cp > levelRatio*other }

// rank returns how many levels of capacity among the members are above this one.
func (cp Capacity) rank(members map[netip.AddrPort]Capacity) int {
	var capacities []Capacity
	for _, capacity := range members {
		capacities = append(capacities, capacity)
	}
	slices.Sort(capacities)
	rank := 0
	for _, capacity := range capacities {
		if capacity.isLarger(cp) {
			rank++
			cp = capacity
		}
	}
	return rank
}
