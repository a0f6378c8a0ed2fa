// Package carrier carries messages between nodes in memory, with faults and the
// same figures for the same seed, for tests and measurements in virtual time.
package carrier

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// reorderDelayFactor is how many times the longest delay a reordered message waits.
const reorderDelayFactor = 4

// Conditions is what the network does to all messages.
type Conditions struct {
	// Loss is the share of messages that are lost.
	Loss float64
	// Duplication is the share of messages that arrive twice.
	Duplication float64
	// Reordering is the share of messages that are held back.
	Reordering float64
	// MinDelay and MaxDelay bound the delay of the others.
	MinDelay, MaxDelay time.Duration
}

// direction is a direction between two nodes.
type direction struct {
	from, to netip.AddrPort
}

// Faults decides what becomes of each message. It is safe for concurrent use.
type Faults struct {
	mutex       sync.Mutex
	random      *rand.Rand
	conditions  Conditions
	partitioned map[direction]bool
}

// NewFaults returns Faults with random decisions from a seed.
func NewFaults(seed uint64, weather Conditions) *Faults {
	return &Faults{
		random:      rand.New(rand.NewPCG(seed, seed)),
		conditions:  weather,
		partitioned: map[direction]bool{},
	}
}

// SetConditions changes the weather.
func (ft *Faults) SetConditions(weather Conditions) {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	ft.conditions = weather
}

// Partition loses all messages from each of some nodes to each of others.
func (ft *Faults) Partition(from, to []netip.AddrPort) { ft.set(from, to, true) }

// Heal ends what Cut began.
func (ft *Faults) Heal(from, to []netip.AddrPort) { ft.set(from, to, false) }

func (ft *Faults) set(from, to []netip.AddrPort, isCut bool) {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	for _, source := range from {
		for _, sink := range to {
			ft.partitioned[direction{
				from: source,
				to:   sink,
			}] = isCut
		}
	}
}

// Delays returns the delays after which a message arrives: none if it is lost.
func (ft *Faults) Delays(from, to netip.AddrPort) []time.Duration {
	ft.mutex.Lock()
	defer ft.mutex.Unlock()
	isCut := ft.partitioned[direction{
		from: from,
		to:   to,
	}]
	if isCut || ft.random.Float64() < ft.conditions.Loss {
		return nil
	}
	delays := []time.Duration{ft.delay()}
	if ft.random.Float64() < ft.conditions.Duplication {
		delays = append(delays, ft.delay())
	}
	return delays
}

func (ft *Faults) delay() time.Duration {
	wr := ft.conditions
	delay := wr.MinDelay
	if wr.MaxDelay > wr.MinDelay {
		delay += time.Duration(ft.random.Int64N(int64(wr.MaxDelay - wr.MinDelay)))
	}
	if ft.random.Float64() < wr.Reordering {
		delay += reorderDelayFactor * wr.MaxDelay
	}
	return delay
}
