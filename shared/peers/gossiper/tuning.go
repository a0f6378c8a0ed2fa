package gossiper

import (
	"math"
	"time"
)

// Tuning holds the intervals, timeouts and limits of the protocol.
type Tuning struct {
	// Period is the time from one probe to the next.
	Period time.Duration
	// ResendInterval is the time without an acknowledgement after which the ping
	// of a probe is sent again, until the period ends.
	ResendInterval time.Duration
	// IndirectAfter is the number of unacknowledged pings after which
	// intermediaries are asked to ping indirectly.
	IndirectAfter int
	// Intermediaries is the number of members that are asked to ping
	// indirectly, from different zones if possible.
	Intermediaries int
	// SuspicionPeriods is the number of periods in which a suspected member can
	// refute, to which one is added each time the number of members doubles.
	SuspicionPeriods float64
	// SilencePeriods is the number of periods for which a node that receives no
	// message at all considers itself isolated and suspects no member.
	SilencePeriods int
	// RetransmitMultiplier times the logarithm to base 2 of the number of
	// members is the number of messages that carry an update.
	RetransmitMultiplier float64
	// UpdatesPerMessage bounds the member updates in a message.
	UpdatesPerMessage int
	// LeaveFanout is the number of members to which a planned stop is announced
	// directly.
	LeaveFanout int
	// PauseThreshold is the delay of a tick above which the node considers itself
	// to have been paused, and postpones all its deadlines by the delay.
	PauseThreshold time.Duration
	// DeadRetention is the time after which dead and left members are removed.
	DeadRetention time.Duration
	// ReconnectPeriods is the number of periods between attempts to contact a dead
	// member or a seed.
	ReconnectPeriods int
}

// DefaultTuning returns the default tuning, for which the decision notes give
// measurements.
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

// suspicionTimeout returns the time in which a suspected member can refute.
func (tg Tuning) suspicionTimeout(members int) time.Duration {
	periods := tg.SuspicionPeriods + math.Log2(float64(members+1))
	return time.Duration(periods * float64(tg.Period))
}

// maxTransmissions returns the number of messages that carry an update.
func (tg Tuning) maxTransmissions(members int) int {
	return int(math.Ceil(tg.RetransmitMultiplier * math.Log2(float64(members+2))))
}
