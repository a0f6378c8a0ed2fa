package scheduler

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new service time in the mean.
	meanWeight = 0.05
	// lowQuantile is the fraction of service times below the low estimate.
	lowQuantile = 0.1
	// quantileStep is the relative step of the quantile estimate.
	quantileStep = 0.05
	// estimateHalfLife is how long an estimate stays in full effect without new
	// measurements, and its half-life after that. The decay keeps a wrong
	// estimate from refusing all work for ever.
	estimateHalfLife = 5 * time.Second
)

// estimator estimates the service time of each kind of work from completed
// attempts.
type estimator struct {
	kinds [kindCount]estimate
}

type estimate struct {
	// mean and low are in seconds.
	mean, low float64
	updatedAt time.Time
	known     bool
}

func (es *estimator) observe(now time.Time, kd kind, latency time.Duration) {
	em := &es.kinds[kd]
	seconds := latency.Seconds()
	if !em.known {
		em.mean = seconds
		em.low = seconds
		em.known = true
	}
	em.mean += meanWeight * (seconds - em.mean)
	if seconds < em.low {
		em.low -= quantileStep * em.low * (1 - lowQuantile)
	} else {
		em.low += quantileStep * em.low * lowQuantile
	}
	em.updatedAt = now
}

// mean returns the mean service time of a kind of work, or zero if there is no
// measurement.
func (es *estimator) mean(kd kind) time.Duration {
	return time.Duration(es.kinds[kd].mean * float64(time.Second))
}

// decayedMean returns the mean service time for the admission check. It decays
// while there are no measurements.
func (es *estimator) decayedMean(now time.Time, kd kind) time.Duration {
	return time.Duration(es.kinds[kd].decay(now) * float64(es.mean(kd)))
}

// decayedLow returns a service time that only a tenth of the requests undercut.
// It decays while there are no measurements.
func (es *estimator) decayedLow(now time.Time, kd kind) time.Duration {
	em := &es.kinds[kd]
	return time.Duration(em.decay(now) * em.low * float64(time.Second))
}

func (em *estimate) decay(now time.Time) float64 {
	age := now.Sub(em.updatedAt)
	if age <= estimateHalfLife {
		return 1
	}
	return math.Exp2(-float64(age-estimateHalfLife) / float64(estimateHalfLife))
}
