package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// consecutiveFailures is the number of failures in a row after which a
	// target is ejected.
	consecutiveFailures = 5
	// minRatioSamples is the minimum decayed number of results for the failure
	// ratio to be considered.
	minRatioSamples = 10
	// failureRatio is the ratio of failed to all requests from which a target
	// is ejected.
	failureRatio = 0.5
	// rackFailureRatio is the failure ratio from which a target counts as
	// failing in the check whether its whole rack has failed.
	rackFailureRatio = 0.4
	// minEjectionTime is the duration of the first ejection. It doubles with
	// each further one up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = time.Minute
	// ejectionResetTime is how long a target must stay healthy before its count
	// of earlier ejections is reset.
	ejectionResetTime = time.Minute
	// refusalBackoff is how long a target gets no work after it refused a
	// request as leaving, unless the directory lists it as leaving. It doubles
	// with each further refusal up to maxRefusalBackoff.
	refusalBackoff    = time.Minute
	maxRefusalBackoff = 16 * time.Minute
)

// ejector ejects targets with a high failure rate and readmits them through
// probes.
type ejector struct {
	fleet    *fleet
	random   *rand.Rand
	maxShare float64
	disabled bool
}

// recordSuccess records a success at a target and readmits the target once
// enough probes have succeeded.
func (ej *ejector) recordSuccess(now time.Time, tt *target, probe bool) {
	tt.record(now, false)
	tt.refusals = 0
	if tt.health != probing || !probe {
		return
	}
	tt.probeLimit++
	if tt.probeLimit >= tt.Slots {
		tt.health = healthy
		tt.healthySince = now
		tt.samples = 0
		tt.failures = 0
	}
}

// recordFailure records a failure at a target. It ejects the target if the
// failed attempt was a probe, or if the target is an outlier and may be ejected.
func (ej *ejector) recordFailure(now time.Time, tt *target, probe bool) {
	tt.record(now, true)
	switch {
	case ej.disabled:
	case tt.health == probing && probe:
		ej.eject(now, tt)
	case tt.health == healthy && isOutlier(tt) && ej.mayEject(tt):
		ej.eject(now, tt)
	}
}

// recordRefusal records that a target refused work as leaving. It returns false
// if a refusal was already recorded and has not expired.
func (ej *ejector) recordRefusal(now time.Time, tt *target) bool {
	if !tt.refusedUntil.IsZero() {
		return false
	}
	pause := refusalBackoff << min(tt.refusals, 4)
	tt.refusals++
	tt.refusedUntil = now.Add(min(pause, maxRefusalBackoff))
	return true
}

func isOutlier(tt *target) bool {
	if tt.consecutive >= consecutiveFailures {
		return true
	}
	return tt.samples >= minRatioSamples && tt.failures >= failureRatio*tt.samples
}

// mayEject reports whether one more target may be ejected: the ejected share is
// below its maximum, or the target's whole rack is failing.
func (ej *ejector) mayEject(tt *target) bool {
	cs := ej.count(tt.Rack)
	limit := ej.maxEjected(cs.total)
	if cs.healthy <= 1 || limit == 0 {
		return false
	}
	return cs.ejected < limit || cs.mayEjectRack(limit)
}

// mayEjectRack reports whether all targets of the rack may be ejected, even
// beyond the limit.
func (cs healthCounts) mayEjectRack(limit int) bool {
	return cs.rackFailing && cs.ejectedElsewhere < limit && cs.healthyElsewhere > 0
}

// maxEjected returns the maximum number of ejected targets: the configured
// share, but at least one of several targets and never all of them.
func (ej *ejector) maxEjected(total int) int {
	if ej.maxShare <= 0 {
		return 0
	}
	return max(0, min(max(1, int(ej.maxShare*float64(total))), total-1))
}

// readmitExcess readmits ejected targets while their share exceeds the maximum,
// as happens when other targets leave.
func (ej *ejector) readmitExcess() {
	for ej.isOverLimit() {
		var first *target
		for _, tt := range ej.fleet.targets {
			if tt.isEligible() && tt.health != healthy && (first == nil || tt.probeAt.Before(first.probeAt)) {
				first = tt
			}
		}
		first.health = healthy
		first.consecutive = 0
		first.samples = 0
		first.failures = 0
	}
}

func (ej *ejector) isOverLimit() bool {
	for _, tt := range ej.fleet.targets {
		if !tt.isEligible() {
			continue
		}
		cs := ej.count(tt.Rack)
		limit := ej.maxEjected(cs.total)
		if cs.ejected <= limit || cs.mayEjectRack(limit) {
			return false
		}
	}
	return ej.ejectedCount() > 0
}

// ejectedCount returns the number of targets ejected as outliers, including
// those being probed.
func (ej *ejector) ejectedCount() int {
	total := 0
	for _, tt := range ej.fleet.targets {
		if tt.isEligible() && tt.health != healthy {
			total++
		}
	}
	return total
}

// healthCounts counts the targets inside and outside one rack by health.
type healthCounts struct {
	total            int
	healthy          int
	ejected          int
	ejectedElsewhere int
	healthyElsewhere int
	// rackFailing is true if every target of the rack is ejected or failing.
	rackFailing bool
}

func (ej *ejector) count(rack string) healthCounts {
	cs := healthCounts{rackFailing: rack != ""}
	for _, tt := range ej.fleet.targets {
		if !tt.isEligible() {
			continue
		}
		cs.total++
		isHealthy := tt.health == healthy
		if isHealthy {
			cs.healthy++
		} else {
			cs.ejected++
		}
		if tt.Rack == rack {
			cs.rackFailing = cs.rackFailing && (!isHealthy || isFailing(tt))
			continue
		}
		if isHealthy {
			cs.healthyElsewhere++
		} else {
			cs.ejectedElsewhere++
		}
	}
	return cs
}

func isFailing(tt *target) bool {
	return tt.consecutive >= consecutiveFailures || tt.failures >= rackFailureRatio*max(tt.samples, 1)
}

func (ej *ejector) eject(now time.Time, tt *target) {
	if !tt.healthySince.IsZero() && now.Sub(tt.healthySince) >= ejectionResetTime {
		tt.ejections = 0
	}
	pause := min(minEjectionTime<<min(tt.ejections, 6), maxEjectionTime)
	pause += time.Duration(ej.random.Int64N(int64(pause) / 4))
	tt.ejections++
	tt.health = ejected
	tt.probeAt = now.Add(pause)
}

// advance starts probing the targets whose ejection or refusal backoff has
// ended.
func (ej *ejector) advance(now time.Time) {
	for _, tt := range ej.fleet.targets {
		if tt.health == ejected && !now.Before(tt.probeAt) {
			ej.startProbing(now, tt)
		}
		if !tt.refusedUntil.IsZero() && !now.Before(tt.refusedUntil) {
			tt.refusedUntil = time.Time{}
			ej.readmit(now, tt)
		}
	}
}

// readmit readmits a target that refused work as leaving: through probes if one
// more target may be ejected, else immediately.
func (ej *ejector) readmit(now time.Time, tt *target) {
	tt.health = healthy
	if ej.mayEject(tt) {
		ej.startProbing(now, tt)
	}
}

func (ej *ejector) startProbing(now time.Time, tt *target) {
	tt.health = probing
	tt.probeLimit = 1
	tt.probeAt = now
}

// next returns when advance is next due, or zero if it is not.
func (ej *ejector) next() time.Time {
	var next time.Time
	for _, tt := range ej.fleet.targets {
		if tt.health == ejected {
			next = earlier(next, tt.probeAt)
		}
		next = earlier(next, tt.refusedUntil)
	}
	return next
}

// earlier returns the earlier of two times. A zero time means never.
func earlier(first, second time.Time) time.Time {
	switch {
	case first.IsZero():
		return second
	case second.IsZero() || first.Before(second):
		return first
	default:
		return second
	}
}
