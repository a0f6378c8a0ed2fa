package gossiper

import (
	"math"
	"time"
)

// Tuning are the times and counts of the protocol.
type Tuning struct {
	// Period is the time from one ping to the next.
	Period time.Duration
	// ResendInterval is after what time without an answer the ping is sent
	// again, until the period ends.
	ResendInterval time.Duration
	// HelpAfter is after how many pings others are asked to ping in the node's
	// place.
	HelpAfter int
	// Helpers is how many others are asked, of different zones if possible.
	Helpers int
	// SuspicionPeriods is for how many periods a suspected member may refute,
	// to which one is added each time the number of members doubles.
	SuspicionPeriods float64
	// SilencePeriods is for how many periods a node that hears nothing at all
	// doubts itself and suspects nobody.
	SilencePeriods int
	// Repeats is how often word is passed on, times the logarithm to base 2 of
	// the number of members.
	Repeats float64
	// UpdatesPerMessage bounds the word about members in a message.
	UpdatesPerMessage int
	// Farewells is how many members a planned stop is told to at once.
	Farewells int
	// Lateness is how late the node may be before it puts off all its deadlines
	// by as much, since it was paused itself.
	Lateness time.Duration
	// Retention is for how long dead members are remembered.
	Retention time.Duration
	// ContactPeriods is after how many periods a dead member or a seed is tried.
	ContactPeriods int
}

// DefaultTuning returns the tuning that the figures in the decision notes are of.
func DefaultTuning() Tuning {
	return Tuning{
		Period:            500 * time.Millisecond,
		ResendInterval:    100 * time.Millisecond,
		HelpAfter:         2,
		Helpers:           3,
		SuspicionPeriods:  3,
		SilencePeriods:    20,
		Repeats:           2,
		UpdatesPerMessage: 6,
		Farewells:         8,
		Lateness:          100 * time.Millisecond,
		Retention:         24 * time.Hour,
		ContactPeriods:    2,
	}
}

// suspicion returns how long a suspected member may refute.
func (tg Tuning) suspicion(members int) time.Duration {
	periods := tg.SuspicionPeriods + math.Log2(float64(members+1))
	return time.Duration(periods * float64(tg.Period))
}

// repeats returns how often word is passed on.
func (tg Tuning) repeats(members int) int {
	return int(math.Ceil(tg.Repeats * math.Log2(float64(members+2))))
}
