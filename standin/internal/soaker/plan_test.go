package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/provider"
)

// defaults are the settings of the subcommand's defaults.
var defaults = Settings{
	Managers: 3,
	Duration: 30 * time.Second,
}

// forEachPlan calls check with the plans of many seeds.
func forEachPlan(t *testing.T, check func(plan Plan)) {
	t.Helper()
	for seed := range uint64(200) {
		check(NewPlan(seed+1, defaults))
	}
}

func TestPlanDependsOnSeedAlone(t *testing.T) {
	must.Eq(t, NewPlan(7, defaults), NewPlan(7, defaults))
	must.NotEq(t, NewPlan(7, defaults), NewPlan(8, defaults))
}

func TestMomentsAreOrderedAndInTime(t *testing.T) {
	forEachPlan(t, func(plan Plan) {
		var before time.Duration
		for _, mt := range plan.Moments {
			must.True(t, mt.At >= before && mt.At <= plan.Duration)
			before = mt.At
		}
	})
}

func TestLastConfigurationHasAllRoutes(t *testing.T) {
	forEachPlan(t, func(plan Plan) {
		var last Configured
		for _, mt := range plan.Moments {
			if cf, ok := mt.Event.(Configured); ok {
				must.Greater(t, last.Version, cf.Version)
				last = cf
			}
		}
		prefixes := map[string]bool{}
		for _, rt := range last.Routes {
			prefixes[rt.Prefix] = true
		}
		must.MapLen(t, len(pools), prefixes)
	})
}

func TestFewWorkersAreLostForGood(t *testing.T) {
	forEachPlan(t, func(plan Plan) {
		lost := 0
		for _, mt := range plan.Moments {
			if wc, ok := mt.Event.(WorkerCrash); ok && wc.Restart == 0 {
				lost++
			}
		}
		must.True(t, 4*lost <= len(plan.VMs))
	})
}

// TestAllKindsOfEventsArePlanned checks that no kind of event is left out by all
// seeds.
func TestAllKindsOfEventsArePlanned(t *testing.T) {
	planned := map[string]bool{}
	forEachPlan(t, func(plan Plan) {
		for _, mt := range plan.Moments {
			switch ev := mt.Event.(type) {
			case Stop:
				planned["stop"] = true
			case Kill:
				planned["kill"] = true
			case KillAll:
				planned["kill all"] = true
			case Freeze:
				planned["freeze"] = true
			case Hangup:
				planned["hangup"] = true
			case StoreFault:
				planned["store "+string(ev.Kind)] = true
			case WorkerCrash:
				planned["crash"] = true
			case LinkFault:
				planned[fmt.Sprintf("link %s %T", ev.Kind, ev.Fault)] = true
			case WorkerFault:
				planned[fmt.Sprintf("worker %T", ev.Fault)] = true
			case Drain:
				planned["drain"] = true
			case Wave:
				planned["wave"] = true
			case Configured:
				planned["configured"] = true
			}
		}
	})
	must.MapLen(t, 30, planned)
}

func TestRestartedZonesAreCutOffOnceTheirWorkersAreBack(t *testing.T) {
	settings := defaults
	settings.ZoneRestarts = &ZoneRestarts{
		Connections: provider.ConnectionsKept,
	}
	hasKill := false
	for seed := range uint64(20) {
		plan := NewPlan(seed+1, settings)
		must.Eq(t, plan, NewPlan(seed+1, settings))
		backAt := map[string]time.Duration{}
		for _, mt := range plan.Moments {
			switch ev := mt.Event.(type) {
			case WorkerCrash:
				must.True(t, ev.KeepsID)
				must.Eq(t, provider.ConnectionsKept, ev.Connections)
				backAt[ev.VM] = mt.At + ev.Restart
			case LinkFault:
				must.Between(t, minZoneUptime, mt.At-backAt[ev.VM], maxZoneUptime)
				must.Eq(t, zoneIsolation, ev.Duration)
			case Kill:
				hasKill = true
			}
		}
		must.MapNotEmpty(t, backAt)
	}
	must.True(t, hasKill)
}
