package conductor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/limiter"
	"coltsfootwick.example/shared/jobs/modeller"
)

// TestLoadLineShowsTeamsWithCaps guards against jobs that wait without a line that says
// that their team's cap is the reason.
func TestLoadLineShowsTeamsWithCaps(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	lm := newLoadMonitor(time.Unix(0, 0), zap.New(core), nil)
	lm.log(time.Unix(1, 0), allocator.Load{}, 0)
	must.MapNotContainsKey(t, logs.TakeAll()[0].ContextMap(), "teams")
	lm.log(time.Unix(2, 0), allocator.Load{Teams: []allocator.TeamLoad{{
		Usage: limiter.Usage{
			Team: "a",
			Used: modeller.Resources{MilliCores: 1500, MemoryMB: 200},
			Cap:  modeller.Resources{MilliCores: 2000},
		},
		HeldJobs: 3,
	}}}, 0)
	must.Eq(t, any([]any{map[string]any{"team": "a", "usedMilliCores": 1500, "capMilliCores": 2000, "heldJobs": 3}}), logs.TakeAll()[0].ContextMap()["teams"])
}
