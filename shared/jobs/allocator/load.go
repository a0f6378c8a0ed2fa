package allocator

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
	return ld
}
