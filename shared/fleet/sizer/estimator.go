// Package sizer computes the size of the spare pool and plans moves of VMs
// between pools. It performs no I/O: the steward passes in its observations and
// carries out the moves.
package sizer

import (
	"math"
	"time"
)

// Estimator keeps a histogram of the urgent demand on each pool, in which the
// weight of observations decays exponentially with age. It estimates the urgent
// demand that a number of slots leaves unmet, load spikes included.
type Estimator struct {
	decayTime     time.Duration
	firstObserved time.Time
	// weightOrigin is the time at which an observation has the weight 1.
	weightOrigin time.Time
	demands      map[string]*histogram
}

// DefaultDecayTime is the time constant of the exponential decay: the weight of
// an observation falls to 1/e, about a third, over it.
const DefaultDecayTime = 24 * time.Hour

// EstimatorOption configures an Estimator.
type EstimatorOption func(*Estimator)

// WithDecayTime sets the time constant of the exponential decay. The default is
// DefaultDecayTime.
func WithDecayTime(decayTime time.Duration) EstimatorOption {
	return func(er *Estimator) { er.decayTime = decayTime }
}

// NewEstimator returns an Estimator without observations.
func NewEstimator(opts ...EstimatorOption) *Estimator {
	er := &Estimator{
		decayTime: DefaultDecayTime,
		demands:   map[string]*histogram{},
	}
	for _, opt := range opts {
		opt(er)
	}
	return er
}

// Observe records the urgent demand on a pool, in slots: the slots in use by
// urgent work plus those that queued urgent requests need. All pools must be
// observed at the same regular interval.
func (er *Estimator) Observe(pool string, slots float64, now time.Time) {
	if er.weightOrigin.IsZero() {
		er.firstObserved = now
		er.weightOrigin = now
	}
	hm := er.demands[pool]
	if hm == nil {
		hm = &histogram{}
		er.demands[pool] = hm
	}
	age := now.Sub(er.weightOrigin).Seconds() / er.decayTime.Seconds()
	if age > maxExponent {
		er.rescale(age)
		er.weightOrigin = now
		age = 0
	}
	hm.add(slots, math.Exp(age))
}

// maxExponent bounds the exponent of the weights. New observations get ever
// greater weights, which must not overflow.
const maxExponent = 50

// rescale divides all weights by the weight of an observation of the given age,
// in decay times after weightOrigin.
func (er *Estimator) rescale(age float64) {
	for _, hm := range er.demands {
		hm.scale(math.Exp(-age))
	}
}

// WarmedUp reports whether demand has been observed for long enough to plan
// moves.
func (er *Estimator) WarmedUp(now time.Time) bool {
	return !er.firstObserved.IsZero() && now.Sub(er.firstObserved) >= warmUpPeriod
}

// warmUpPeriod is how long demand is observed before moves are planned.
const warmUpPeriod = 10 * time.Minute

// Unmet returns the mean urgent demand on a pool, in slots, that exceeds the
// given number of slots. It is zero for a pool without observations.
func (er *Estimator) Unmet(pool string, slots float64) float64 {
	hm := er.demands[pool]
	if hm == nil {
		return 0
	}
	return hm.excess(slots)
}

const (
	bucketSlots = 1.0
	bucketCount = 512
)

// histogram holds the weights of observations in buckets of bucketSlots each.
// The last bucket also holds all greater observations.
type histogram struct {
	weights [bucketCount]float64
	total   float64
}

func (hm *histogram) add(slots, weight float64) {
	bucket := min(max(int(slots/bucketSlots), 0), bucketCount-1)
	hm.weights[bucket] += weight
	hm.total += weight
}

func (hm *histogram) scale(factor float64) {
	for i := range hm.weights {
		hm.weights[i] *= factor
	}
	hm.total *= factor
}

// excess returns the weighted mean amount by which observations exceed a bound;
// observations below the bound count as zero.
func (hm *histogram) excess(bound float64) float64 {
	if hm.total == 0 {
		return 0
	}
	sum := 0.0
	for i := max(int(bound/bucketSlots), 0); i < bucketCount; i++ {
		midpoint := (float64(i) + 0.5) * bucketSlots
		sum += hm.weights[i] * max(midpoint-bound, 0)
	}
	return sum / hm.total
}
