package evaluator

import (
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/sizer"
)

// Policy is a way to decide moves: Sized, Fixed or Following.
type Policy interface {
	policy()
}

// Sized is the policy of the product: the sizer's.
type Sized struct{}

// Fixed leaves every VM in the pool it begins in.
type Fixed struct{}

// Following gives VMs to the pools by their present demand, every few seconds
// and whatever the availability budget says.
type Following struct{}

func (Sized) policy()     {}
func (Fixed) policy()     {}
func (Following) policy() {}

// followInterval is how often Following looks at the demand.
const followInterval = 10 * time.Second

// decider is a policy at work in one availability zone.
type decider struct {
	policy    Policy
	sizer     *sizer.Sizer
	estimator *sizer.Estimator
}

func newDecider(policy Policy) *decider {
	return &decider{
		policy:    policy,
		sizer:     sizer.New(sparePool),
		estimator: sizer.NewEstimator(),
	}
}

// planInterval is how often Sized looks for a move.
const planInterval = 30 * time.Second

// decide returns the move that the policy wants now, and false for none.
func (dr *decider) decide(ze recorder.Zone, others []recorder.Zone, urgent map[string]float64, since time.Duration) (sizer.Move, bool) {
	now := epoch().Add(since)
	switch dr.policy.(type) {
	case Sized:
		for pool, slots := range urgent {
			dr.estimator.Observe(pool, slots, now)
		}
		if since%planInterval != 0 {
			return sizer.Move{}, false
		}
		return dr.sizer.Plan(sizer.PoolsOf(ze, others), dr.estimator, now)
	case Following:
		if since%followInterval != 0 {
			return sizer.Move{}, false
		}
		return follow(ze, urgent)
	default:
		return sizer.Move{}, false
	}
}

// follow moves one VM from the pool with the most free slots to the pool that
// lacks the most.
func follow(ze recorder.Zone, urgent map[string]float64) (sizer.Move, bool) {
	best, worst := "", ""
	most, least := 0.0, 0.0
	for _, pl := range sizer.PoolsOf(ze, nil) {
		if pl.Size() == 0 {
			continue
		}
		gap := urgent[pl.Name] - urgentSlots*slotsPerVM*float64(pl.Size()+pl.Arriving)
		if gap > most && pl.Name != sparePool {
			worst = pl.Name
			most = gap
		}
		if gap < least {
			best = pl.Name
			least = gap
		}
	}
	if best == "" || worst == "" {
		return sizer.Move{}, false
	}
	return sizer.Move{
		From:   best,
		To:     worst,
		Reason: "follows the demand",
	}, true
}
