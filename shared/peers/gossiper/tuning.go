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
	// IndirectAfter is after how many pings others are asked to ping in the node's
	// place.
	IndirectAfter int
	// Intermediaries is how many others are asked, of different zones if possible.
	Intermediaries int
	// SuspicionPeriods is for how many periods a suspected member may refute,
	// to which one is added each time the number of members doubles.
	SuspicionPeriods float64
	// SilencePeriods is for how many periods a node that hears nothing at all
	// doubts itself and suspects nobody.
	SilencePeriods int
	// RetransmitMultiplier is how often word is passed on, times the logarithm to base 2 of
	// the number of members.
	RetransmitMultiplier float64
	// UpdatesPerMessage bounds the word about members in a message.
	UpdatesPerMessage int
	// LeaveFanout is how many members a planned stop is told to at once.
	LeaveFanout int
	// PauseThreshold is how late the node may be before it puts off all its deadlines
	// by as much, since it was paused itself.
	PauseThreshold time.Duration
	// DeadRetention is for how long dead members are remembered.
	DeadRetention time.Duration
	// ReconnectPeriods is after how many periods a dead member or a seed is tried.
	ReconnectPeriods int
}

// DefaultTuning returns the tuning that the figures in the decision notes are of.
func DefaultTuning() Tuning {
	return Tuning{
		Period:               500 * time.Millisecond,
		ResendInterval:       100 * time.Millisecond,
		IndirectAfter:        2,
		Intermediaries:       3,
		SuspicionPeriods:     3,
		SilencePeriods:       20,
		RetransmitMultiplier: 2,
		UpdatesPerMessage:    6,
		LeaveFanout:          8,
		PauseThreshold:       100 * time.Millisecond,
		DeadRetention:        24 * time.Hour,
		ReconnectPeriods:     2,
	}
}

// suspicionTimeout returns how long a suspected member may refute.
func (tg Tuning) suspicionTimeout(members int) time.Duration {
	periods := tg.SuspicionPeriods + math.Log2(float64(members+1))
	return time.Duration(periods * float64(tg.Period))
}

// maxTransmissions returns how often word is passed on.
func (tg Tuning) maxTransmissions(members int) int {
	return int(math.Ceil(tg.RetransmitMultiplier * math.Log2(float64(members+2))))
}
