package allocator

import (
	"time"
)

// empty has a worker's long-running tasks stopped as far as their steps can do
// without them, and with isUrgent all that saves its progress. It reports
// whether the worker runs nothing any more.
func (al *Allocator) empty(now time.Time, wk *worker, isUrgent bool) bool {
	if !wk.isSynced {
		return al.confirmedAt.After(al.leaseBound(wk))
	}
	if len(wk.runs) == 0 {
		return true
	}
	for _, rn := range wk.runsInOrder() {
		switch {
		case rn.isStopping || rn.task == nil:
		case rn.task.step.spec.IsLongRunning:
			if al.seesStops(now) && rn.task.step.canMiss(rn) {
				al.stop(now, rn)
			}
		case isUrgent && rn.task.step.spec.IsCheckpointing:
			al.stop(now, rn)
		}
	}
	return false
}

// seesStops reports whether the stops that an earlier holder ordered have taken
// effect: until then, workers list their runs as if they went on.
func (al *Allocator) seesStops(now time.Time) bool {
	return now.Sub(al.startedAt) > al.bounds.StopGrace+stopMargin
}

// canMiss reports whether a long-running step can do without one more task. All
// that aren't at work count as away, for whatever cause.
func (st *step) canMiss(rn *run) bool {
	away := 0
	for _, tk := range st.tasks {
		if tk != rn.task && !isAtWork(tk.run) {
			away++
		}
	}
	return rn.state == runRunning && away < max(st.spec.MaxUnavailable, 1)
}

// leaveDraining moves long-running tasks off workers that are about to leave.
func (al *Allocator) leaveDraining(now time.Time) {
	for _, wk := range al.inOrder() {
		if !wk.info.IsDraining {
			continue
		}
		for _, rn := range wk.runsInOrder() {
			if rn.task != nil && rn.task.step.spec.IsLongRunning && !rn.isStopping && rn.state == runRunning {
				al.stop(now, rn)
			}
		}
	}
}
