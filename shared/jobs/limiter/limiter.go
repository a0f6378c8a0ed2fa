// Package limiter accounts what teams have running against their caps. It does no I/O
// and reads no clock, and a decision takes constant time.
package limiter

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Limiter holds the usage and the cap of each team. A team without a name, and one
// without a cap, has no limit.
type Limiter struct {
	accounts map[string]*account
}

// account is what is known of a team.
type account struct {
	// used is the demand of the team's runs, and runs their number.
	used modeller.Resources
	runs int
	// uncertain is what may be running apart from the known runs.
	uncertain modeller.Resources
	// limit is the team's cap; zero in a resource means no limit.
	limit modeller.Resources
}

// New returns a Limiter without caps.
func New() *Limiter {
	return &Limiter{
		accounts: map[string]*account{},
	}
}

// SetCaps replaces the caps of all teams. A lowered cap leaves the usage as it is.
func (lr *Limiter) SetCaps(caps map[string]modeller.Resources) {
	for team, ac := range lr.accounts {
		ac.limit = caps[team]
		lr.discardEmpty(team, ac)
	}
	for team, limit := range caps {
		if limit != (modeller.Resources{}) {
			lr.account(team).limit = limit
		}
	}
}

// Allows reports whether a team may start a task: within its cap, or alone.
func (lr *Limiter) Allows(team string, demand modeller.Resources) bool {
	ac := lr.accounts[team]
	return ac == nil || ac.isIdle() || ac.has(demand)
}

// AllowsTogether reports whether a team may start a number of tasks at once. Several
// tasks have to be within the cap also if nothing else of the team runs.
func (lr *Limiter) AllowsTogether(team string, demand modeller.Resources, count int) bool {
	if count == 1 {
		return lr.Allows(team, demand)
	}
	ac := lr.accounts[team]
	return ac == nil || ac.has(demand.Times(count))
}

// Add adds a run to a team's usage.
func (lr *Limiter) Add(team string, demand modeller.Resources) {
	if team == "" {
		return
	}
	ac := lr.account(team)
	ac.used = ac.used.Plus(demand)
	ac.runs++
}

// Remove removes a run from a team's usage.
func (lr *Limiter) Remove(team string, demand modeller.Resources) {
	if ac := lr.accounts[team]; ac != nil {
		ac.used = ac.used.Minus(demand)
		ac.runs--
		lr.discardEmpty(team, ac)
	}
}

// SetUncertain sets what a team may have running apart from its known runs.
func (lr *Limiter) SetUncertain(team string, amount modeller.Resources) {
	if team == "" {
		return
	}
	ac := lr.account(team)
	ac.uncertain = amount
	lr.discardEmpty(team, ac)
}

// IsLimited reports whether a team has a cap.
func (lr *Limiter) IsLimited(team string) bool {
	ac := lr.accounts[team]
	return ac != nil && ac.isLimited()
}

// IsOver reports whether a team's usage exceeds its cap, which may have been lowered.
func (lr *Limiter) IsOver(team string) bool {
	ac := lr.accounts[team]
	return ac != nil && !ac.has(modeller.Resources{})
}

// Bound returns the part of the demand of many tasks that is within what a team's cap
// leaves. The tasks are alike, so the part is the same in each resource.
func (lr *Limiter) Bound(team string, demand modeller.Resources) modeller.Resources {
	ac := lr.accounts[team]
	if ac == nil {
		return demand
	}
	used := ac.total()
	part := min(partLeft(demand.MilliCores, used.MilliCores, ac.limit.MilliCores), partLeft(demand.MemoryMB, used.MemoryMB, ac.limit.MemoryMB),
		partLeft(demand.Accelerators, used.Accelerators, ac.limit.Accelerators))
	return modeller.Resources{
		MilliCores:   int(part * float64(demand.MilliCores)),
		MemoryMB:     int(part * float64(demand.MemoryMB)),
		Accelerators: int(part * float64(demand.Accelerators)),
	}
}

// partLeft returns the part of a demand that a limit leaves.
func partLeft(demand, used, limit int) float64 {
	if limit == 0 || demand <= limit-used {
		return 1
	}
	return max(float64(limit-used)/float64(max(demand, 1)), 0)
}

// Usage is the usage of a limited team.
type Usage struct {
	// Team is the team's name.
	Team string
	// Used is what it has, or may have, running.
	Used modeller.Resources
	// Cap is its cap; zero in a resource means no limit.
	Cap modeller.Resources
}

// fraction returns the greatest part of a limit that is used.
func (us Usage) fraction() float64 {
	return max(fractionOf(us.Used.MilliCores, us.Cap.MilliCores), fractionOf(us.Used.MemoryMB, us.Cap.MemoryMB), fractionOf(us.Used.Accelerators, us.Cap.Accelerators))
}

func fractionOf(used, limit int) float64 {
	if limit == 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// Nearest returns the usage of the limited teams that are nearest to their caps, at
// most as many as asked for.
func (lr *Limiter) Nearest(count int) []Usage {
	var usages []Usage
	for _, team := range slices.Sorted(maps.Keys(lr.accounts)) {
		if ac := lr.accounts[team]; ac.isLimited() {
			usages = append(usages, Usage{
				Team: team,
				Used: ac.total(),
				Cap:  ac.limit,
			})
		}
	}
	slices.SortStableFunc(usages, func(a, b Usage) int { return cmp.Compare(b.fraction(), a.fraction()) })
	return usages[:min(len(usages), count)]
}

func (lr *Limiter) account(team string) *account {
	ac := lr.accounts[team]
	if ac == nil {
		ac = &account{}
		lr.accounts[team] = ac
	}
	return ac
}

// discardEmpty removes the account of a team that has neither usage nor a cap, since
// teams come and go with the configurations.
func (lr *Limiter) discardEmpty(team string, ac *account) {
	if ac.isIdle() && !ac.isLimited() {
		delete(lr.accounts, team)
	}
}

func (ac *account) total() modeller.Resources { return ac.used.Plus(ac.uncertain) }

// isIdle reports whether the team certainly has nothing running.
func (ac *account) isIdle() bool { return ac.runs == 0 && ac.uncertain == modeller.Resources{} }

func (ac *account) isLimited() bool { return ac.limit != modeller.Resources{} }

// has reports whether a demand is within what the cap leaves.
func (ac *account) has(demand modeller.Resources) bool {
	return within(ac.total().Plus(demand), ac.limit)
}

// within reports whether an amount is at most a cap in each limited resource.
func within(amount, limit modeller.Resources) bool {
	return (limit.MilliCores == 0 || amount.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMB == 0 || amount.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}
