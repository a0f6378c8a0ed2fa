// Package sharer measures how far teams exceed their fair shares of a pool, by the core
// time of their recent starts. It reads no clock, and a decision takes constant time.
package sharer

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which charges decay.
	decayTime = 5 * time.Second
	// defaultWeight is the weight of a team that has none.
	defaultWeight = 1
	// freeCoreTime is the recent core time of all teams below which shares hardly
	// matter: a pool with so little work has no contention.
	freeCoreTime = time.Second
	// maxLevel is the greatest level. Each level stands for twice the excess, so it is
	// reached by the only active one of some thousand teams.
	maxLevel = 14
	// maxInflation is the logarithm of the factor by which later charges may exceed
	// those at the base time, so that the sums neither overflow nor lose precision.
	maxInflation = 30
)

// Sharer holds the recent charges of teams and their weights. Instead of all charges that
// decay, later ones are inflated, so that a charge changes one team's sum.
type Sharer struct {
	weights map[string]float64
	// totalWeight is the sum of the weights, and of one team without a weight.
	totalWeight float64
	// base is the time at which charges aren't inflated.
	base time.Time
	// inflatedBy is the factor of charges at inflatedAt.
	inflatedAt time.Time
	inflatedBy float64
	// charges are the inflated charges in seconds, and totalCharge is their sum.
	charges     map[string]float64
	totalCharge float64
}

// New returns a Sharer without teams, for which no team exceeds its share.
func New() *Sharer {
	return &Sharer{
		charges: map[string]float64{},
	}
}

// SetWeights replaces the weights of all teams. Without any, shares don't matter.
func (sr *Sharer) SetWeights(weights map[string]float64) {
	sr.weights = weights
	sr.totalWeight = defaultWeight
	for team := range weights {
		sr.totalWeight += sr.weight(team)
	}
}

// weight returns the weight of a team. One that isn't positive and finite counts as none.
func (sr *Sharer) weight(team string) float64 {
	if weight := sr.weights[team]; weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return defaultWeight
}

// Charge records core time that a team is given.
func (sr *Sharer) Charge(now time.Time, team string, coreTime time.Duration) {
	if len(sr.weights) == 0 || coreTime <= 0 {
		return
	}
	if sr.base.IsZero() || sr.exponent(now) > maxInflation {
		sr.rebase(now)
	}
	charge := coreTime.Seconds() * sr.inflation(now)
	sr.charges[team] += charge
	sr.totalCharge += charge
}

// Excess returns how far a team exceeds its fair share: 0 up to twice the share, and one
// more with each doubling.
func (sr *Sharer) Excess(now time.Time, team string) int {
	charge := sr.charges[team]
	if charge == 0 || len(sr.weights) == 0 {
		return 0
	}
	total := sr.totalCharge + freeCoreTime.Seconds()*sr.inflation(now)
	ratio := charge / total * sr.totalWeight / sr.weight(team)
	if ratio < 2 {
		return 0
	}
	return min(math.Ilogb(ratio), maxLevel)
}

// inflation returns the factor of charges at a time. It is kept for further calls at the
// same time.
func (sr *Sharer) inflation(now time.Time) float64 {
	if !now.Equal(sr.inflatedAt) {
		sr.inflatedAt = now
		sr.inflatedBy = math.Exp(sr.exponent(now))
	}
	return sr.inflatedBy
}

func (sr *Sharer) exponent(now time.Time) float64 {
	return now.Sub(sr.base).Seconds() / decayTime.Seconds()
}

// rebase makes now the base time. Charges that have decayed to almost nothing are
// discarded, so that teams which come and go take no memory.
func (sr *Sharer) rebase(now time.Time) {
	deflation := 1.0
	if !sr.base.IsZero() {
		deflation = 1 / sr.inflation(now)
	}
	sr.base = now
	sr.inflatedAt = time.Time{}
	sr.totalCharge = 0
	for team, charge := range sr.charges {
		charge *= deflation
		if charge < freeCoreTime.Seconds()/1000 {
			delete(sr.charges, team)
			continue
		}
		sr.charges[team] = charge
		sr.totalCharge += charge
	}
}
