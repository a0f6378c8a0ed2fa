package scheduler

import (
	"math"
	"time"
)

// health is what an entry makes of a target's results.
type health int

const (
	// healthy targets get work up to their slots.
	healthy health = iota
	// ejected targets get none until a time.
	ejected
	// probing targets get a growing number of requests at once.
	probing
)

const (
	// errorHalfLife is the time in which the load counted for errors halves.
	errorHalfLife = time.Second
	// sampleHalfLife is the time in which counted results lose half their weight.
	sampleHalfLife = 5 * time.Second
)

// target is a target with what the scheduler knows of it.
type target struct {
	Target
	// rack is shared with the other targets of the rack.
	rack *rack
	// listed is false once the target left the list.
	listed bool
	// inFlight counts the attempts that hold a slot; long those of long work.
	inFlight int
	long     int

	health health
	// until is when an ejected target is probed, or since when a probing one
	// waits for its probe.
	until time.Time
	// allowance bounds the attempts in flight at a probing target.
	allowance int
	// ejections counts ejections since the target was last sound for long.
	ejections int
	// soundSince is when the target last became healthy.
	soundSince time.Time

	// consecutive counts failures since the last success.
	consecutive int
	// errors counts recent failures as load, at the time errorsAt.
	errors   float64
	errorsAt time.Time
	// samples and failures count recent results, at the time sampledAt.
	samples, failures float64
	sampledAt         time.Time

	// refusedUntil is when a target that refused work as leaving is tried
	// again although the directory never said that it left; zero if it did
	// not refuse.
	refusedUntil time.Time
	// refusals counts refusals in a row.
	refusals int
}

// counts reports whether the target would get work if it were sound.
func (tt *target) counts() bool {
	return tt.listed && !tt.Leaving && tt.refusedUntil.IsZero()
}

// isUsable reports whether the target may get work at all.
func (tt *target) isUsable() bool {
	return tt.counts() && tt.health != ejected
}

// capacity returns the attempts that may be in flight at once.
func (tt *target) capacity() int {
	switch {
	case !tt.isUsable():
		return 0
	case tt.health == probing:
		return min(tt.allowance, tt.Slots)
	default:
		return max(tt.Slots, 0)
	}
}

// free returns the number of attempts that may start now.
func (tt *target) free() int { return max(tt.capacity()-tt.inFlight, 0) }

// load returns the load on each slot, recent errors counted as load.
func (tt *target) load(now time.Time) float64 {
	decay := math.Exp2(-float64(now.Sub(tt.errorsAt)) / float64(errorHalfLife))
	return (float64(tt.inFlight) + tt.errors*decay) / float64(max(tt.Slots, 1))
}

// record counts a result.
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
	tt.errors = tt.errors*math.Exp2(-float64(now.Sub(tt.errorsAt))/float64(errorHalfLife)) + 1
	tt.errorsAt = now
}
