package allocator

import (
	"maps"
	"time"

	"coltsfootwick.example/shared/jobs/limiter"
	"coltsfootwick.example/shared/jobs/modeller"
)

// uncertaintyInterval is the minimum time between two computations of what teams may
// have running that isn't known. A figure that is late is too high, not too low.
const uncertaintyInterval = 20 * time.Millisecond

// teamUsage accounts the runs of teams against their caps.
type teamUsage struct {
	limiter *limiter.Limiter
	// hasCaps is true if a team has a cap.
	hasCaps bool
	// released are the teams whose usage has decreased since held lists were last
	// reconsidered.
	released map[string]struct{}
	// held are the lists that are held back, by team.
	held map[string][]*teamList
	// uncertain are the teams with an uncertain part of their usage, as of
	// uncertainAt. isCertain is true once no runs of earlier holders can be unknown.
	uncertain   map[string]struct{}
	uncertainAt time.Time
	isCertain   bool
	// ended is the unknown demand of inherited jobs that have ended since, by team:
	// of cancelled ones some tasks may still run.
	ended map[string]modeller.Resources
}

func newTeamUsage() *teamUsage {
	return &teamUsage{
		limiter:   limiter.New(),
		released:  map[string]struct{}{},
		held:      map[string][]*teamList{},
		uncertain: map[string]struct{}{},
		ended:     map[string]modeller.Resources{},
	}
}

// charge is what a run counts against the cap of a team.
type charge struct {
	team   string
	demand modeller.Resources
}

// add counts a run.
func (tu *teamUsage) add(rn *run) {
	if rn.charge != nil {
		tu.limiter.Add(rn.charge.team, rn.charge.demand)
	}
}

// remove ends the counting of a run.
func (tu *teamUsage) remove(rn *run) {
	if rn.charge != nil {
		tu.limiter.Remove(rn.charge.team, rn.charge.demand)
		tu.released[rn.charge.team] = struct{}{}
	}
}

// allows reports whether the cap of a step's team allows the start of a number of its
// tasks at once.
func (tu *teamUsage) allows(st *step, count int) bool {
	return !tu.hasCaps || tu.limiter.AllowsTogether(st.job.info.Team, st.spec.Demand, count)
}

// isHeldBack reports whether a team's cap allows no waiting task of a list.
func (tu *teamUsage) isHeldBack(tl *teamList) bool {
	return tu.hasCaps && !tu.limiter.Allows(tl.team, tl.least.charged)
}

// hold takes a list out of its pool's order until the team's usage decreases, so that
// its jobs aren't examined at each change in the pool.
func (tu *teamUsage) hold(tl *teamList) {
	tl.isHeld = true
	tl.restoreOrder()
	tu.held[tl.team] = append(tu.held[tl.team], tl)
}

// setTeams applies the caps of a configuration. The lists are built anew.
func (tu *teamUsage) setTeams(teams map[string]modeller.Team) {
	caps := make(map[string]modeller.Resources, len(teams))
	tu.hasCaps = false
	for name, tm := range teams {
		caps[name] = tm.Cap
		tu.hasCaps = tu.hasCaps || tm.Cap != modeller.Resources{}
	}
	tu.limiter.SetCaps(caps)
	clear(tu.held)
	tu.uncertainAt = time.Time{}
}

// releaseHeld puts the lists back into the order of their pools of which the cap
// allows a task again.
func (al *Allocator) releaseHeld() {
	tu := al.usage
	for team := range tu.released {
		held := tu.held[team]
		delete(tu.held, team)
		for _, tl := range held {
			al.release(tl)
		}
	}
	clear(tu.released)
}

// release puts a held list back into the order of its pool if the cap allows one of
// its tasks.
func (al *Allocator) release(tl *teamList) {
	if al.usage.isHeldBack(tl) {
		al.usage.held[tl.team] = append(al.usage.held[tl.team], tl)
		return
	}
	tl.isHeld = false
	if len(tl.ranked) > 0 {
		tl.pool.lower(tl.least.reserved)
		al.changes.note(tl.pool.name)
	}
	tl.restoreOrder()
}

// chargeOrphan sets what a run without a task counts for: the demand of its step if the
// job is known, and its worker's capacity if the job has ended and its steps are
// unknown.
func (al *Allocator) chargeOrphan(rn *run) {
	cg := &charge{
		team:   al.retained[rn.name.Job].team,
		demand: al.orphanDemand(rn.worker),
	}
	if jb := al.jobs[rn.name.Job]; jb != nil {
		cg.team = jb.info.Team
		if rn.name.Step < len(jb.info.Steps) {
			cg.demand = jb.info.Steps[rn.name.Step].Demand
		}
	}
	if cg.team != "" {
		rn.charge = cg
	}
}

// updateUncertainty computes what teams may have running apart from the known runs:
// the tasks of inherited jobs that an earlier holder may have started on workers which
// haven't reported since, at most what these workers have room for.
func (al *Allocator) updateUncertainty(now time.Time) {
	tu := al.usage
	if !tu.hasCaps || tu.isCertain || !al.isLoaded || now.Sub(tu.uncertainAt) < uncertaintyInterval {
		return
	}
	tu.uncertainAt = now
	amounts := map[string]modeller.Resources{}
	checks := oldRunChecks{}
	if al.checkOldRuns(checks, "", al.workers.sorted) {
		maps.Copy(amounts, tu.ended)
		for _, jb := range al.jobs {
			if al.mayHaveOldRuns(jb, checks) && tu.limiter.IsLimited(jb.info.Team) {
				amounts[jb.info.Team] = amounts[jb.info.Team].Plus(jb.unknownDemand())
			}
		}
	} else {
		tu.isCertain = true
		clear(tu.ended)
	}
	for team := range tu.uncertain {
		if _, ok := amounts[team]; !ok {
			amounts[team] = modeller.Resources{}
		}
	}
	unreported, isKnown := al.unreportedCapacity()
	for team, amount := range amounts {
		if isKnown {
			amount = amount.Min(unreported)
		}
		tu.limiter.SetUncertain(team, amount)
		tu.released[team] = struct{}{}
		tu.uncertain[team] = struct{}{}
	}
}

// keepUnknownDemand notes the tasks of an inherited job that is removed and of which some
// may run on workers that haven't reported. They count until all have.
func (al *Allocator) keepUnknownDemand(jb *job) {
	tu, team := al.usage, jb.info.Team
	if team != "" && !tu.isCertain && al.mayHaveOldRuns(jb, oldRunChecks{}) {
		tu.ended[team] = tu.ended[team].Plus(jb.unknownDemand())
	}
}

// unreportedCapacity returns what the workers that may have runs of earlier holders and
// haven't reported have room for, and false if that is unknown: the stored roster has no
// capacities, so that of a worker that the directory doesn't list isn't known. The entry of
// one that it lists may be that of another incarnation, so each counts as the greatest.
func (al *Allocator) unreportedCapacity() (capacity modeller.Resources, isKnown bool) {
	unreported := 0
	for _, wk := range al.workers.sorted {
		if !wk.mayHoldOldRuns {
			continue
		}
		if wk.info.Capacity == (modeller.Resources{}) {
			return modeller.Resources{}, false
		}
		unreported++
	}
	return al.greatestCapacity().Times(unreported), !al.isRosterIncomplete
}

// orphanDemand returns what a run of unknown demand counts for: the capacity of its
// worker, or the greatest one that is known while the directory doesn't list the worker.
func (al *Allocator) orphanDemand(wk *worker) modeller.Resources {
	if wk.info.Capacity != (modeller.Resources{}) {
		return wk.info.Capacity
	}
	return al.greatestCapacity()
}

// greatestCapacity returns the greatest known capacity of a worker in each resource.
func (al *Allocator) greatestCapacity() modeller.Resources {
	var greatest modeller.Resources
	for _, wk := range al.workers.sorted {
		greatest = greatest.Max(wk.info.Capacity)
	}
	return greatest
}

// rechargeOrphans counts the runs of unknown demand on a worker by its capacity, which has
// changed.
func (al *Allocator) rechargeOrphans(wk *worker) {
	if wk.unknownDemands == 0 {
		return
	}
	for _, rn := range wk.runs {
		if rn.hasUnknownDemand && rn.charge != nil {
			al.usage.remove(rn)
			rn.charge.demand = al.orphanDemand(wk)
			al.usage.add(rn)
		}
	}
}

// unknownDemand returns the demand of the job's tasks that have no known run and aren't
// done.
func (jb *job) unknownDemand() modeller.Resources {
	var demand modeller.Resources
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			demand = demand.Plus(st.spec.Demand.Times(st.waitingCount))
		}
	}
	return demand
}
