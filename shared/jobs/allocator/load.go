package allocator

import (
	"cmp"
	"slices"
)

// Load describes how far the scheduler keeps up with its work.
type Load struct {
	// WaitingJobs counts the jobs with tasks that wait for a start, and
	// ChangedJobs those whose changes are not stored.
	WaitingJobs, ChangedJobs int
	// UnstoredEnds counts the workers that have reported ends which are not
	// stored yet.
	UnstoredEnds int
	// Reports counts the reports since the last call, and RepeatedEnds the ends
	// in them that an earlier report had contained.
	Reports, RepeatedEnds int
	// Pools are the pools with queues, by name.
	Pools []PoolLoad
}

// PoolLoad is the demand of a pool and what there is for it.
type PoolLoad struct {
	Name string
	// Required is the number of VMs that the demand requires, and Available the
	// number of those that can get work or are moving to the pool. Idle counts
	// the workers without runs.
	Required, Available, Idle int
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
	}
	al.reports, al.repeatedEnds = 0, 0
	for _, jb := range al.jobs {
		if jb.outcome == "" && !jb.isCancelled && jb.hasWaitingTasks() {
			ld.WaitingJobs++
		}
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
			Urgent:    pn.urgent,
			Target:    pn.target,
		})
	}
	slices.SortFunc(ld.Pools, func(a, b PoolLoad) int { return cmp.Compare(a.Name, b.Name) })
	return ld
}
