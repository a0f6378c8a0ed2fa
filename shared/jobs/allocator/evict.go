package allocator

import (
	"slices"
	"time"
)

// evacuate stops the worker's long-running tasks as far as the disruption
// budgets of their steps permit and, if isUrgent is true, its checkpointing
// tasks. It reports whether the worker has no runs left. A long-running task that
// no other worker can take is stopped only if the VM can go down as soon as the
// worker is empty, and that is at once.
func (al *Allocator) evacuate(now time.Time, wk *worker, isUrgent, canGoDown bool) bool {
	if !wk.isSynced {
		return al.confirmedAt.After(al.leaseExpiry(wk))
	}
	if len(wk.runs) == 0 {
		return true
	}
	emptiesAtOnce := canGoDown && wk.canBeEmptiedAtOnce()
	for _, rn := range wk.sortedRuns() {
		switch {
		case rn.isStopping || rn.task == nil:
		case rn.task.step.spec.IsLongRunning:
			if al.haveOldStopsEnded(now) && rn.task.step.canEvict(rn) && (emptiesAtOnce || al.hasOtherPlace(now, rn)) {
				al.stopRun(now, rn)
			}
		case isUrgent && rn.task.step.spec.IsCheckpointing:
			al.stopRun(now, rn)
		}
	}
	return false
}

// hasOtherPlace reports whether another worker can take the task of a run now. Its
// queue may have another pool by now. A team above its cap may not start it again.
func (al *Allocator) hasOtherPlace(now time.Time, rn *run) bool {
	if rn.charge != nil && al.usage.limiter.IsOver(rn.charge.team) {
		return false
	}
	wk := al.chooseWorker(now, rn.task, al.workers.byPool[rn.task.step.job.queue.Pool], "")
	return wk != nil && wk != rn.worker
}

// canBeEmptiedAtOnce reports whether all runs of the worker are those of long-running
// tasks, and the disruption budgets permit to stop all of them together.
func (wk *worker) canBeEmptiedAtOnce() bool {
	for _, rn := range wk.runs {
		if rn.task == nil || !rn.task.step.spec.IsLongRunning {
			return false
		}
	}
	return wk.canStopLongRunning()
}

// canStopLongRunning reports whether the disruption budgets permit to stop all
// long-running tasks of the worker together.
func (wk *worker) canStopLongRunning() bool {
	stopped := map[*step]int{}
	for _, rn := range wk.runs {
		if rn.task != nil && rn.task.step.spec.IsLongRunning {
			stopped[rn.task.step]++
		}
	}
	for st, count := range stopped {
		unavailable := 0
		for _, tk := range st.tasks {
			if (tk.run == nil || tk.run.worker != wk) && !isAvailable(tk.run) {
				unavailable++
			}
		}
		if unavailable+count > max(st.spec.MaxUnavailable, 1) {
			return false
		}
	}
	return true
}

// isStuck reports whether a worker can't be evacuated: its long-running tasks have no
// other place, and may not be stopped together. Its pool would stand still.
func (al *Allocator) isStuck(wk *worker) bool {
	return !wk.canStopLongRunning() && !slices.ContainsFunc(al.workers.byPool[wk.info.Pool], func(other *worker) bool {
		return other != wk && other.isPresent() && !other.isCordoned && !other.info.IsDraining
	})
}

// noteStall gives the evacuation of a worker up for a while if for too long it has
// waited for long-running tasks that may not be stopped, while tasks waited although
// their pool had room: there may be some that only this worker can run.
func (al *Allocator) noteStall(now time.Time, wk *worker) {
	isWaiting := false
	for _, rn := range wk.runs {
		isWaiting = isWaiting || rn.task != nil && rn.task.step.spec.IsLongRunning && !rn.isStopping
	}
	switch {
	case !isWaiting || !al.hasWaitingTasks(wk.info.Pool) || !al.isHalfEmpty(wk.info.Pool):
		wk.stalledSince = time.Time{}
	case wk.stalledSince.IsZero():
		wk.stalledSince = now
	case now.Sub(wk.stalledSince) > maxStall:
		wk.stalledSince = time.Time{}
		wk.evacuableFrom = now.Add(stallRest)
	}
}

// hasWaitingTasks reports whether tasks wait for workers of a pool.
func (al *Allocator) hasWaitingTasks(pool string) bool {
	wl := al.waiting[pool]
	return wl != nil && slices.ContainsFunc(wl.order, func(tl *teamList) bool {
		return slices.ContainsFunc(tl.ranked, func(rj rankedJob) bool { return rj.job.mayWait() })
	})
}

// isHalfEmpty reports whether less than half of the cores of a pool's workers are in
// use.
func (al *Allocator) isHalfEmpty(pool string) bool {
	var used, capacity int
	for _, wk := range al.workers.byPool[pool] {
		if wk.isPresent() {
			used += wk.used.MilliCores
			capacity += wk.info.Capacity.MilliCores
		}
	}
	return 2*used < capacity
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
		if !wk.isDraining() {
			continue
		}
		for _, rn := range wk.sortedRuns() {
			if rn.task != nil && rn.task.step.spec.IsLongRunning && !rn.isStopping && rn.state == runRunning {
				al.stopRun(now, rn)
			}
		}
	}
}
