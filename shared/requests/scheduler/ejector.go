package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// consecutiveFailures ejects a target.
	consecutiveFailures = 5
	// ratioSamples is the weight of results from which their ratio counts.
	ratioSamples = 10
	// failureRatio ejects a target if it fails that share of its requests.
	failureRatio = 0.5
	// rackRatio is the failure ratio from which a target counts as failing
	// when its whole rack is judged.
	rackRatio = 0.4
	// ejectionTime is the length of a first ejection; each further one
	// doubles it up to maxEjectionTime.
	ejectionTime    = time.Second
	maxEjectionTime = time.Minute
	// soundTime is how long a target must stay healthy until its earlier
	// ejections are forgotten.
	soundTime = time.Minute
	// refusalHold is how long a target that refused work as leaving gets none
	// when the directory doesn't say that it left; it doubles up to
	// maxRefusalHold.
	refusalHold    = time.Minute
	maxRefusalHold = 16 * time.Minute
)

// ejector holds back targets that fail much of what they get, and lets them
// return through probes.
type ejector struct {
	fleet    *fleet
	random   *rand.Rand
	maxShare float64
	disabled bool
}

// succeed records a success at a target.
func (ej *ejector) succeed(now time.Time, tt *target, probe bool) {
	tt.record(now, false)
	tt.refusals = 0
	if tt.health != probing || !probe {
		return
	}
	tt.allowance++
	if tt.allowance >= tt.Slots {
		tt.health = healthy
		tt.soundSince = now
		tt.samples = 0
		tt.failures = 0
	}
}

// fail records a failure at a target.
func (ej *ejector) fail(now time.Time, tt *target, probe bool) {
	tt.record(now, true)
	switch {
	case ej.disabled:
	case tt.health == probing && probe:
		ej.eject(now, tt)
	case tt.health == healthy && isOutlier(tt) && ej.mayEject(tt):
		ej.eject(now, tt)
	}
}

// refuse records that a target refused work as leaving; true if this is news.
func (ej *ejector) refuse(now time.Time, tt *target) bool {
	if !tt.refusedUntil.IsZero() {
		return false
	}
	hold := refusalHold << min(tt.refusals, 4)
	tt.refusals++
	tt.refusedUntil = now.Add(min(hold, maxRefusalHold))
	return true
}

func isOutlier(tt *target) bool {
	if tt.consecutive >= consecutiveFailures {
		return true
	}
	return tt.samples >= ratioSamples && tt.failures >= failureRatio*tt.samples
}

// mayEject reports whether one more target may be held back: within the
// share, or because its whole rack fails.
func (ej *ejector) mayEject(tt *target) bool {
	cs := ej.count(tt.Rack)
	limit := ej.limit(cs.total)
	if cs.healthy <= 1 || limit == 0 {
		return false
	}
	return cs.ejected < limit || cs.isRackOut(limit)
}

// isRackOut reports whether the rack may be held back as one.
func (cs census) isRackOut(limit int) bool {
	return cs.rackFails && cs.elsewhere < limit && cs.healthyElsewhere > 0
}

// limit returns how many of the targets may be held back: the stated share,
// but at least one of several.
func (ej *ejector) limit(total int) int {
	if ej.maxShare <= 0 {
		return 0
	}
	return max(0, min(max(1, int(ej.maxShare*float64(total))), total-1))
}

// trim lets targets return while more are held back than the share allows,
// which happens when other targets leave.
func (ej *ejector) trim() {
	for ej.isOverLimit() {
		var first *target
		for _, tt := range ej.fleet.targets {
			if tt.counts() && tt.health != healthy && (first == nil || tt.until.Before(first.until)) {
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
		if !tt.counts() {
			continue
		}
		cs := ej.count(tt.Rack)
		limit := ej.limit(cs.total)
		if cs.ejected <= limit || cs.isRackOut(limit) {
			return false
		}
	}
	return ej.held() > 0
}

// held returns the number of targets held back as outliers.
func (ej *ejector) held() int {
	total := 0
	for _, tt := range ej.fleet.targets {
		if tt.counts() && tt.health != healthy {
			total++
		}
	}
	return total
}

// census counts targets for the judgement of one of them.
type census struct {
	total            int
	healthy          int
	ejected          int
	elsewhere        int
	healthyElsewhere int
	// rackFails is true if no target of the rack is sound.
	rackFails bool
}

func (ej *ejector) count(rack string) census {
	cs := census{rackFails: rack != ""}
	for _, tt := range ej.fleet.targets {
		if !tt.counts() {
			continue
		}
		cs.total++
		sound := tt.health == healthy
		if sound {
			cs.healthy++
		} else {
			cs.ejected++
		}
		if tt.Rack == rack {
			cs.rackFails = cs.rackFails && (!sound || isFailing(tt))
			continue
		}
		if sound {
			cs.healthyElsewhere++
		} else {
			cs.elsewhere++
		}
	}
	return cs
}

func isFailing(tt *target) bool {
	return tt.consecutive >= consecutiveFailures || tt.failures >= rackRatio*max(tt.samples, 1)
}

func (ej *ejector) eject(now time.Time, tt *target) {
	if !tt.soundSince.IsZero() && now.Sub(tt.soundSince) >= soundTime {
		tt.ejections = 0
	}
	pause := min(ejectionTime<<min(tt.ejections, 6), maxEjectionTime)
	pause += time.Duration(ej.random.Int64N(int64(pause) / 4))
	tt.ejections++
	tt.health = ejected
	tt.until = now.Add(pause)
}

// advance starts the probing of targets whose time has come.
func (ej *ejector) advance(now time.Time) {
	for _, tt := range ej.fleet.targets {
		if tt.health == ejected && !now.Before(tt.until) {
			ej.startProbing(now, tt)
		}
		if !tt.refusedUntil.IsZero() && !now.Before(tt.refusedUntil) {
			tt.refusedUntil = time.Time{}
			ej.readmit(now, tt)
		}
	}
}

// readmit lets a target return that refused work as leaving: through probes
// if it may be held back, else at once.
func (ej *ejector) readmit(now time.Time, tt *target) {
	tt.health = healthy
	if ej.mayEject(tt) {
		ej.startProbing(now, tt)
	}
}

func (ej *ejector) startProbing(now time.Time, tt *target) {
	tt.health = probing
	tt.allowance = 1
	tt.until = now
}

// next returns when advance is next due; zero if never.
func (ej *ejector) next() time.Time {
	var next time.Time
	for _, tt := range ej.fleet.targets {
		if tt.health == ejected {
			next = sooner(next, tt.until)
		}
		next = sooner(next, tt.refusedUntil)
	}
	return next
}

// sooner returns the earlier of two times of which zero means never.
func sooner(first, second time.Time) time.Time {
	switch {
	case first.IsZero():
		return second
	case second.IsZero() || first.Before(second):
		return first
	default:
		return second
	}
}
