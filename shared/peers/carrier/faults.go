// Package carrier provides an in-memory network with injected faults for tests
// and measurements in virtual time. Equal seeds give equal results.
package carrier

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// reorderDelayFactor times the maximum delay is the additional delay of a
// reordered message.
const reorderDelayFactor = 4

// Conditions are the faults and delays that apply to all messages.
type Conditions struct {
	// Loss is the fraction of messages that are lost.
	Loss float64
	// Duplication is the fraction of messages that arrive twice.
	Duplication float64
	// Reordering is the fraction of messages that are delayed so that later
	// messages overtake them.
	Reordering float64
	// MinDelay and MaxDelay bound the delay of messages that are not reordered.
	MinDelay, MaxDelay time.Duration
}

// direction is a path from one node to another.
type direction struct {
	from, to netip.AddrPort
}

// Faults injects faults into a network. It is safe for concurrent use.
type Faults struct {
	mutex       sync.Mutex
	random      *rand.Rand
	conditions  Conditions
	partitioned map[direction]bool
}

// NewFaults returns Faults whose random numbers come from a seed.
func NewFaults(seed uint64, conditions Conditions) *Faults {
	return &Faults{
		random:      rand.New(rand.NewPCG(seed, seed)),
		conditions:  conditions,
		partitioned: map[direction]bool{},
	}
}

// SetConditions sets the conditions.
func (ft *Faults) SetConditions(conditions Conditions) {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	ft.conditions = conditions
}

// Partition drops all messages from each of some nodes to each of others.
func (ft *Faults) Partition(from, to []netip.AddrPort) { ft.set(from, to, true) }

// Heal ends the partition from each of some nodes to each of others.
func (ft *Faults) Heal(from, to []netip.AddrPort) { ft.set(from, to, false) }

func (ft *Faults) set(from, to []netip.AddrPort, isPartitioned bool) {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	for _, source := range from {
		for _, destination := range to {
			ft.partitioned[direction{
				from: source,
				to:   destination,
			}] = isPartitioned
		}
	}
}

// Delays returns the delays after which a message arrives: none if it is lost, two
// if it is duplicated.
func (ft *Faults) Delays(from, to netip.AddrPort) []time.Duration {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	isPartitioned := ft.partitioned[direction{
		from: from,
		to:   to,
	}]
	if isPartitioned || ft.random.Float64() < ft.conditions.Loss {
		return nil
	}
	delays := []time.Duration{ft.delay()}
	if ft.random.Float64() < ft.conditions.Duplication {
		delays = append(delays, ft.delay())
	}
	return delays
}

func (ft *Faults) delay() time.Duration {
	cs := ft.conditions
	delay := cs.MinDelay
	if cs.MaxDelay > cs.MinDelay {
		delay += time.Duration(ft.random.Int64N(int64(cs.MaxDelay - cs.MinDelay)))
	}
	if ft.random.Float64() < cs.Reordering {
		delay += reorderDelayFactor * cs.MaxDelay
	}
	return delay
}
