package sizer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/fleet/sizer"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// newPool returns a pool with count VMs in a zone, spread evenly over three
// racks. The pool is the same in each of four zones.
func newPool(name string, count int) sizer.Pool {
	pl := sizer.Pool{
		Name:              name,
		VMs:               map[string]int{},
		MinInService:      0.7,
		InServiceAllZones: 4 * count,
		LargestRack:       (count + 2) / 3,
	}
	for i := range count {
		pl.VMs[fmt.Sprintf("r%d", i%3)]++
	}
	return pl
}

// estimatorWith returns an estimator that has observed a constant demand on each
// pool for an hour.
func estimatorWith(demands map[string]float64) *sizer.Estimator {
	er := sizer.NewEstimator()
	for i := range 3600 {
		for name, slots := range demands {
			er.Observe(name, slots, start.Add(time.Duration(i)*time.Second))
		}
	}
	return er
}

func ExampleEstimator_Unmet() {
	er := sizer.NewEstimator()
	er.Observe("claims", 10, start)
	er.Observe("claims", 30, start)
	fmt.Printf("%.2f\n", er.Unmet("claims", 20))
	// Output: 5.25
}

func TestPlan(t *testing.T) {
	lost := newPool("checks", 1)
	lost.Lost = 1
	strict := newPool("claims", 2)
	strict.MinInService = 1
	cases := []struct {
		name    string
		pools   []sizer.Pool
		demands map[string]float64
		from    string
		to      string
	}{
		{"a lost VM is replaced", []sizer.Pool{newPool("claims", 2), lost, newPool("spare", 1)}, nil, "spare", "checks"},
		{"an excess spare VM moves to the pool with unmet demand", []sizer.Pool{newPool("claims", 2), newPool("checks", 2), newPool("spare", 1)}, map[string]float64{"claims": 14, "checks": 10}, "spare", "claims"},
		{"no move without unmet demand", []sizer.Pool{newPool("claims", 2), newPool("checks", 2), newPool("spare", 1)}, map[string]float64{"claims": 11, "checks": 10}, "", ""},
		{"the spare pool is refilled from the pool with the least loss", []sizer.Pool{strict, newPool("checks", 2), newPool("spare", 0)}, map[string]float64{"claims": 12, "checks": 2}, "checks", "spare"},
		{"a VM moves to the pool with the greater gain", []sizer.Pool{newPool("claims", 2), newPool("checks", 3), newPool("spare", 0)}, map[string]float64{"claims": 18, "checks": 6}, "checks", "claims"},
		{"no move for a gain ratio below the minimum", []sizer.Pool{newPool("claims", 2), newPool("checks", 2), newPool("spare", 0)}, map[string]float64{"claims": 14, "checks": 11}, "", ""},
	}
	for _, ce := range cases {
		t.Run(ce.name, func(t *testing.T) {
			sr := sizer.New("spare")
			mv, ok := sr.Plan(ce.pools, estimatorWith(ce.demands), start.Add(time.Hour))
			must.EqOp(t, ce.from != "", ok)
			must.EqOp(t, ce.from, mv.From)
			must.EqOp(t, ce.to, mv.To)
		})
	}
}

// TestPlanWaitsForWarmUp plans with an estimator whose first observation is a
// minute old. No VM may move because of demand until it has warmed up.
func TestPlanWaitsForWarmUp(t *testing.T) {
	sr := sizer.New("spare")
	er := sizer.NewEstimator()
	er.Observe("claims", 18, start)
	pools := []sizer.Pool{newPool("claims", 2), newPool("checks", 3), newPool("spare", 0)}
	_, ok := sr.Plan(pools, er, start.Add(time.Minute))
	must.False(t, ok)
	_, ok = sr.Plan(pools, er, start.Add(time.Hour))
	must.True(t, ok)
}

func TestPlanRespectsInterval(t *testing.T) {
	sr := sizer.New("spare", sizer.WithInterval(30*time.Minute))
	pools := []sizer.Pool{newPool("claims", 2), newPool("checks", 3), newPool("spare", 0)}
	er := estimatorWith(map[string]float64{"claims": 18, "checks": 6})
	moves := 0
	for at := start; at.Before(start.Add(3 * time.Hour)); at = at.Add(time.Minute) {
		if _, ok := sr.Plan(pools, er, at); ok {
			moves++
		}
	}
	must.EqOp(t, 6, moves)
}

func TestBufferIsSmallForSpreadPools(t *testing.T) {
	sr := sizer.New("spare")
	spread := []sizer.Pool{newPool("claims", 3), newPool("checks", 3)}
	must.EqOp(t, 0, sr.Buffer(spread))
	crowded := newPool("claims", 3)
	crowded.VMs = map[string]int{"r0": 3}
	crowded.LargestRack = 3
	must.EqOp(t, 3, sr.Buffer([]sizer.Pool{crowded}))
}

// TestUnmetDecreasesWithSlots checks that more slots never leave more demand
// unmet, and that the weights do not overflow when old observations decay.
func TestUnmetDecreasesWithSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		er := sizer.NewEstimator(sizer.WithDecayTime(time.Hour))
		at := start
		for range rapid.IntRange(1, 50).Draw(t, "observations") {
			at = at.Add(time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "seconds")) * time.Second)
			er.Observe("claims", rapid.Float64Range(0, 1000).Draw(t, "slots"), at)
		}
		last := er.Unmet("claims", 0)
		for slots := 8.0; slots < 600; slots += 8 {
			unmet := er.Unmet("claims", slots)
			must.LessEq(t, last+1e-9, unmet)
			must.GreaterEq(t, 0, unmet)
			last = unmet
		}
	})
}
