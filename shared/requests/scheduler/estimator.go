package scheduler

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new service time in the mean.
	meanWeight = 0.05
	// lowQuantile is the share of service times below the least estimate.
	lowQuantile = 0.1
	// quantileStep is the relative step of the quantile's estimate.
	quantileStep = 0.05
	// estimateHalfLife is the time without a measurement after which an
	// estimate halves, so that a wrong one can't refuse all work for ever.
	estimateHalfLife = 5 * time.Second
)

// estimator estimates service times from measured ones, for each kind of work.
type estimator struct {
	kinds [kindCount]estimate
}

type estimate struct {
	// mean and low are in seconds.
	mean, low float64
	at        time.Time
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
	em.at = now
}

// mean returns the mean service time of a kind; zero if unknown.
func (es *estimator) mean(kd kind) time.Duration {
	return time.Duration(es.kinds[kd].mean * float64(time.Second))
}

// meanToRefuse returns the mean service time that refusals go by. It fades
// while nothing is measured.
func (es *estimator) meanToRefuse(now time.Time, kd kind) time.Duration {
	return time.Duration(es.kinds[kd].fade(now) * float64(es.mean(kd)))
}

// leastToRefuse returns a time below which hardly any request is served. It
// fades while nothing is measured.
func (es *estimator) leastToRefuse(now time.Time, kd kind) time.Duration {
	em := &es.kinds[kd]
	return time.Duration(em.fade(now) * em.low * float64(time.Second))
}

func (em *estimate) fade(now time.Time) float64 {
	age := now.Sub(em.at)
	if age <= estimateHalfLife {
		return 1
	}
	return math.Exp2(-float64(age-estimateHalfLife) / float64(estimateHalfLife))
}
