package allocator

import (
	"time"
)

// evacuate stops the worker's long-running tasks as far as the disruption
// budgets of their steps permit and, if isUrgent is true, its checkpointing
// tasks. It reports whether the worker has no runs left.
func (al *Allocator) evacuate(now time.Time, wk *worker, isUrgent bool) bool {
	if !wk.isSynced {
		return al.confirmedAt.After(al.leaseExpiry(wk))
	}
	if len(wk.runs) == 0 {
		return true
	}
	for _, rn := range wk.sortedRuns() {
		switch {
		case rn.isStopping || rn.task == nil:
		case rn.task.step.spec.IsLongRunning:
			if al.haveOldStopsEnded(now) && rn.task.step.canEvict(rn) {
				al.stopRun(now, rn)
			}
		case isUrgent && rn.task.step.spec.IsCheckpointing:
			al.stopRun(now, rn)
		}
	}
	return false
}

// haveOldStopsEnded reports whether the stops that an earlier holder ordered
// have taken effect. Until then, workers report the runs that they are stopping
// as running.
func (al *Allocator) haveOldStopsEnded(now time.Time) bool {
	return now.Sub(al.startedAt) > al.bounds.StopGrace+stopMargin
}

// canEvict reports whether the disruption budget of a long-running step permits
// the eviction of a run. All tasks that are unavailable count against the
// budget, whatever the cause.
func (st *step) canEvict(rn *run) bool {
	unavailable := 0
	for _, tk := range st.tasks {
		if tk != rn.task && !isAvailable(tk.run) {
			unavailable++
		}
	}
	return rn.state == runRunning && unavailable < max(st.spec.MaxUnavailable, 1)
}

// evictFromDraining stops long-running tasks on draining workers, so that they
// restart on other workers.
func (al *Allocator) evictFromDraining(now time.Time) {
	for _, wk := range al.workers.sorted {
		if !wk.info.IsDraining {
			continue
		}
		for _, rn := range wk.sortedRuns() {
			if rn.task != nil && rn.task.step.spec.IsLongRunning && !rn.isStopping && rn.state == runRunning {
				al.stopRun(now, rn)
			}
		}
	}
}
