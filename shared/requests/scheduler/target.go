package scheduler

import (
	"math"
	"time"
)

// health is the state of a target as derived from its results.
type health int

const (
	// healthy targets get work up to their slots.
	healthy health = iota
	// ejected targets get no work until their ejection ends.
	ejected
	// probing targets get a gradually increasing number of concurrent requests.
	probing
)

const (
	// errorHalfLife is the half-life of recent errors, which count as load.
	errorHalfLife = time.Second
	// sampleHalfLife is the half-life of the weight of a result.
	sampleHalfLife = 5 * time.Second
)

// target is a target with its state in the scheduler.
type target struct {
	Target
	// rack is shared by all targets of the same rack.
	rack *rack
	// listed is false once the target is no longer in the list of targets.
	listed bool
	// inFlight counts the attempts that hold a slot, longInFlight those of long
	// work.
	inFlight     int
	longInFlight int

	health health
	// probeAt is when an ejected target starts probing, or when a probing
	// target started to wait for its probe.
	probeAt time.Time
	// probeLimit bounds the attempts in flight at a probing target.
	probeLimit int
	// ejections counts the ejections since the last reset after
	// ejectionResetTime.
	ejections int
	// healthySince is when the target last became healthy.
	healthySince time.Time

	// consecutive counts the failures since the last success.
	consecutive int
	// recentErrors is the decayed number of failures as of errorsAt. It counts
	// as load.
	recentErrors float64
	errorsAt     time.Time
	// samples and failures are the decayed numbers of results and failures as
	// of sampledAt.
	samples, failures float64
	sampledAt         time.Time

	// refusedUntil is when a target that refused work as leaving is tried again
	// if the directory never listed it as leaving. It is zero if the target did
	// not refuse.
	refusedUntil time.Time
	// refusals counts the refusals since the last success.
	refusals int
}

// isEligible reports whether the target would get work if it were healthy.
func (tt *target) isEligible() bool {
	return tt.listed && !tt.Leaving && tt.refusedUntil.IsZero()
}

// isUsable reports whether the target may get work.
func (tt *target) isUsable() bool {
	return tt.isEligible() && tt.health != ejected
}

// capacity returns the maximum number of attempts in flight.
func (tt *target) capacity() int {
	switch {
	case !tt.isUsable():
		return 0
	case tt.health == probing:
		return min(tt.probeLimit, tt.Slots)
	default:
		return max(tt.Slots, 0)
	}
}

// free returns the number of attempts that may be started now.
func (tt *target) free() int { return max(tt.capacity()-tt.inFlight, 0) }

// load returns the load per slot, with recent errors counted as load.
func (tt *target) load(now time.Time) float64 {
	decay := math.Exp2(-float64(now.Sub(tt.errorsAt)) / float64(errorHalfLife))
	return (float64(tt.inFlight) + tt.recentErrors*decay) / float64(max(tt.Slots, 1))
}

// record records a result.
func (tt *target) record(now time.Time, failed bool) {
	decay := math.Exp2(-float64(now.Sub(tt.sampledAt)) / float64(sampleHalfLife))
	tt.samples = tt.samples*decay + 1
	tt.failures *= decay
	tt.sampledAt = now
	if !failed {
		tt.consecutive = 0
		return
	}
	tt.failures++
	tt.consecutive++
	tt.recentErrors = tt.recentErrors*math.Exp2(-float64(now.Sub(tt.errorsAt))/float64(errorHalfLife)) + 1
	tt.errorsAt = now
}
