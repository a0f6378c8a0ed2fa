package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
)

func cores(count int) modeller.Resources { return modeller.Resources{MilliCores: 1000 * count} }

// ExampleLimiter shows that a team has its cap, and no more.
func ExampleLimiter() {
	lr := New()
	lr.SetCaps(map[string]modeller.Resources{"a": cores(4)})
	lr.Add("a", cores(3))
	fmt.Println(lr.Allows("a", cores(1)), lr.Allows("a", cores(2)), lr.Allows("b", cores(2)))
	lr.Remove("a", cores(3))
	fmt.Println(lr.Allows("a", cores(9)), lr.AllowsTogether("a", cores(3), 2))
	// Output:
	// true false true
	// true false
}

// TestUsageStaysWithinCap guards against usage above the cap: it may exceed the highest
// cap since the team was last idle by one task only, and a start above the present cap is
// allowed only to a team that has nothing running.
func TestUsageStaysWithinCap(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		lr := New()
		limit, highest, uncertain := cores(10), cores(10), modeller.Resources{}
		var used modeller.Resources
		var runs []modeller.Resources
		lr.SetCaps(map[string]modeller.Resources{"a": limit})
		for range 500 {
			switch random.IntN(12) {
			case 0:
				limit = modeller.Resources{MilliCores: 1000 * (1 + random.IntN(20)), Accelerators: random.IntN(3)}
				lr.SetCaps(map[string]modeller.Resources{"a": limit})
				highest = highest.Max(limit)
			case 1:
				uncertain = cores(random.IntN(2) * random.IntN(8))
				lr.SetUncertain("a", uncertain)
			case 2, 3, 4, 5:
				if len(runs) > 0 {
					last := runs[len(runs)-1]
					runs = runs[:len(runs)-1]
					used = used.Minus(last)
					lr.Remove("a", last)
				}
			default:
				demand := modeller.Resources{MilliCores: 1000 * random.IntN(13), MemoryMB: 100, Accelerators: random.IntN(2)}
				isAlone := len(runs) == 0 && uncertain == modeller.Resources{}
				total := used.Plus(uncertain).Plus(demand)
				isWithin := total.MilliCores <= limit.MilliCores && (limit.Accelerators == 0 || total.Accelerators <= limit.Accelerators)
				must.Eq(t, isAlone || isWithin, lr.Allows("a", demand), must.Sprintf("seed %d", seed))
				if lr.Allows("a", demand) {
					runs = append(runs, demand)
					used = used.Plus(demand)
					lr.Add("a", demand)
				}
			}
			must.LessEq(t, highest.MilliCores*11/10+12_000, used.MilliCores)
		}
	}
}

// TestAccountsOfForgottenTeamsAreDiscarded guards against memory that grows with each
// team that was ever configured.
func TestAccountsOfForgottenTeamsAreDiscarded(t *testing.T) {
	lr := New()
	lr.SetCaps(map[string]modeller.Resources{"a": cores(1), "b": cores(1)})
	lr.Add("b", cores(1))
	lr.SetUncertain("c", cores(1))
	lr.SetCaps(nil)
	must.MapLen(t, 2, lr.accounts)
	lr.Remove("b", cores(1))
	lr.SetUncertain("c", modeller.Resources{})
	must.MapEmpty(t, lr.accounts)
}

// TestNearestTeamsComeFirst guards against a log line that shows teams far from their
// caps, or teams without any.
func TestNearestTeamsComeFirst(t *testing.T) {
	lr := New()
	lr.SetCaps(map[string]modeller.Resources{"a": cores(4), "b": cores(2), "c": {}})
	lr.Add("a", cores(1))
	lr.Add("b", cores(1))
	lr.Add("c", cores(1))
	nearest := lr.Nearest(1)
	must.Eq(t, []Usage{{Team: "b", Used: cores(1), Cap: cores(2)}}, nearest)
	must.Len(t, 2, lr.Nearest(10))
	must.Eq(t, cores(3), lr.Bound("a", cores(7)))
	must.Eq(t, cores(7), lr.Bound("c", cores(7)))
}

// TestGangWiderThanTheCapCanNeverRun guards against jobs that are accepted and wait for good,
// and against refusals of jobs that run in waves or alone.
func TestGangWiderThanTheCapCanNeverRun(t *testing.T) {
	gang := func(count, coreCount int) []modeller.Step {
		return []modeller.Step{{Count: 50, Demand: cores(50)}, {Count: count, Demand: cores(coreCount), IsGang: true}}
	}
	must.NoError(t, CanEverRun(cores(4), gang(2, 2)))
	must.NoError(t, CanEverRun(cores(4), gang(1, 9)))
	must.NoError(t, CanEverRun(modeller.Resources{MemoryMB: 1}, gang(9, 9)))
	must.Eq(t, classifier.CapTooLow, classifier.CodeOf(CanEverRun(cores(4), gang(2, 3))))
}
