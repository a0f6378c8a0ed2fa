// Package sizer decides how large the spare pool has to be and which VMs move
// between pools. It is pure: the steward hands in what it observes and carries
// out the moves.
package sizer

import (
	"math"
	"time"
)

// Estimator keeps, for each pool, how often its urgent demand had which size.
// Old observations fade. From it follows how much urgent demand a number of
// slots leaves unmet, floods included.
type Estimator struct {
	memory  time.Duration
	first   time.Time
	begin   time.Time
	demands map[string]*histogram
}

// DefaultMemory is the time over which an observation fades to a third.
const DefaultMemory = 24 * time.Hour

// EstimatorOption changes an Estimator.
type EstimatorOption func(*Estimator)

// WithMemory sets the time over which an observation fades to a third.
func WithMemory(memory time.Duration) EstimatorOption {
	return func(er *Estimator) { er.memory = memory }
}

// NewEstimator returns an Estimator without observations.
func NewEstimator(opts ...EstimatorOption) *Estimator {
	er := &Estimator{
		memory:  DefaultMemory,
		demands: map[string]*histogram{},
	}
	for _, opt := range opts {
		opt(er)
	}
	return er
}

// Observe takes the urgent demand on a pool, in slots: those that urgent work
// keeps busy and those that waiting urgent requests would keep busy.
// Observations of all pools come at the same regular interval.
func (er *Estimator) Observe(pool string, slots float64, now time.Time) {
	if er.begin.IsZero() {
		er.first = now
		er.begin = now
	}
	hm := er.demands[pool]
	if hm == nil {
		hm = &histogram{}
		er.demands[pool] = hm
	}
	age := now.Sub(er.begin).Seconds() / er.memory.Seconds()
	if age > maxExponent {
		er.rebase(age)
		er.begin = now
		age = 0
	}
	hm.add(slots, math.Exp(age))
}

// maxExponent keeps the growing weights of new observations far from overflow.
const maxExponent = 50

// rebase divides all weights by that of an observation made now.
func (er *Estimator) rebase(age float64) {
	for _, hm := range er.demands {
		hm.scale(math.Exp(-age))
	}
}

// Ripe reports whether observations have been made for long enough to plan
// moves by.
func (er *Estimator) Ripe(now time.Time) bool {
	return !er.first.IsZero() && now.Sub(er.first) >= warmUp
}

// warmUp is how long demand is observed before moves are planned by it.
const warmUp = 10 * time.Minute

// Unmet returns the mean urgent demand on a pool, in slots, that a number of
// slots leaves unmet. It is zero for a pool without observations.
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

// histogram counts observations by weight in buckets of bucketSlots each; the
// last bucket takes all that is larger.
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

// excess returns the mean of what the observations exceed a bound by.
func (hm *histogram) excess(bound float64) float64 {
	if hm.total == 0 {
		return 0
	}
	sum := 0.0
	for i := max(int(bound/bucketSlots), 0); i < bucketCount; i++ {
		middle := (float64(i) + 0.5) * bucketSlots
		sum += hm.weights[i] * max(middle-bound, 0)
	}
	return sum / hm.total
}
