package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/limiter"
)

// Load describes how far the scheduler keeps up with its work.
type Load struct {
	// WaitingJobs counts the jobs with tasks that wait for a start, and
	// ChangedJobs those whose changes are not stored.
	WaitingJobs, ChangedJobs int
	// UnconfirmedJobs counts the waiting jobs that were accepted after the duty was last
	// confirmed. They don't start while it can't be confirmed again.
	UnconfirmedJobs int
	// UnstoredEnds counts the workers that have reported ends which are not
	// stored yet.
	UnstoredEnds int
	// Reports counts the reports since the last call, and RepeatedEnds the ends
	// in them that an earlier report had contained.
	Reports, RepeatedEnds int
	// Pools are the pools with queues, by name, as of PoolsAt.
	Pools   []PoolLoad
	PoolsAt time.Time
	// Teams are the teams with caps, those nearest to theirs.
	Teams []TeamLoad
}

// maxTeamLoads limits the teams of a Load.
const maxTeamLoads = 10

// TeamLoad is what a team has running and waiting because of its cap.
type TeamLoad struct {
	limiter.Usage
	// HeldJobs counts the jobs of which the cap allows no task that could start.
	HeldJobs int
}

// PoolLoad is the demand of a pool and what there is for it.
type PoolLoad struct {
	Name string
	// Required is the number of VMs that the demand requires, and Available the
	// number of those that can get work or are moving to the pool. Idle counts
	// the workers without runs, and Cordoned those that get no tasks since their
	// VMs are to be maintained or moved.
	Required, Available, Idle, Cordoned int
	// Urgent is the number of VMs that the jobs require which can still be on
	// time, and Target the part of it that the fleet can give to the pool.
	Urgent, Target int
}

// Load returns the present load. It resets the counts of reports and ends.
func (al *Allocator) Load() Load {
	ld := Load{
		ChangedJobs:  len(al.dirtyJobs),
		Reports:      al.reports,
		RepeatedEnds: al.repeatedEnds,
		PoolsAt:      al.fleet.movesPlannedAt,
	}
	al.reports, al.repeatedEnds = 0, 0
	heldJobs := map[string]int{}
	for _, jb := range al.jobs {
		if !jb.mayWait() {
			continue
		}
		ld.WaitingJobs++
		if jb.acceptedAt.After(al.confirmedAt) {
			ld.UnconfirmedJobs++
		}
		if al.isHeldBack(jb) {
			heldJobs[jb.info.Team]++
		}
	}
	for _, us := range al.usage.limiter.Nearest(maxTeamLoads) {
		ld.Teams = append(ld.Teams, TeamLoad{
			Usage:    us,
			HeldJobs: heldJobs[us.Team],
		})
	}
	for _, wk := range al.workers.byID {
		if len(wk.unstoredEnds) > 0 {
			ld.UnstoredEnds++
		}
	}
	for _, pn := range al.fleet.needs {
		ld.Pools = append(ld.Pools, PoolLoad{
			Name:      pn.name,
			Required:  pn.required,
			Available: pn.available,
			Idle:      len(pn.idle),
			Cordoned:  pn.cordoned,
			Urgent:    pn.urgent,
			Target:    pn.target,
		})
	}
	slices.SortFunc(ld.Pools, func(a, b PoolLoad) int { return cmp.Compare(a.Name, b.Name) })
	return ld
}

// isHeldBack reports whether the cap of a job's team allows none of the tasks that could
// start.
func (al *Allocator) isHeldBack(jb *job) bool {
	if !al.usage.hasCaps {
		return false
	}
	isHeld := false
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount == 0 || !oc.areDependenciesDone(st) {
				continue
			}
			if al.usage.allows(st, st.startedTogether()) {
				return false
			}
			isHeld = true
		}
	}
	return isHeld
}
