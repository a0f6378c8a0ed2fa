package allocator

import (
	"time"
)

// Durations and limits of pacing.
const (
	// paceInterval is the minimum time between two changes of a run's pace;
	// reported loads are half a second old.
	paceInterval = 700 * time.Millisecond
	// slowdownThreshold is the share of the latency target above which filling
	// runs slow down, and speedupThreshold that below which they speed up.
	slowdownThreshold = 0.9
	speedupThreshold  = 0.6
	// fullPace is the initial pace of a run, in percent.
	fullPace = 100
	// paceStep is the increase per change of pace, in percentage points.
	paceStep = 25
)

// pacing is the state of a filling run's pace, which is the percentage of its
// processor share that the run may use.
type pacing struct {
	// reduction is how far the pace is below fullPace, in percentage points.
	reduction int
	changedAt time.Time
}

// adjustPaces slows down the filling runs on a worker when a serving run comes
// near its latency target, and speeds them up again when all serving runs are
// well below their targets.
func (al *Allocator) adjustPaces(now time.Time) {
	for _, wk := range al.workers.sorted {
		if wk.neighbours.filling == 0 || !wk.isSynced || now.Sub(wk.reportedAt) >= maxReportAge {
			continue
		}
		filling := wk.sortedRunsWith(isPaced)
		if len(filling) == 0 {
			continue
		}
		pressure := wk.latencyPressure()
		for _, rn := range filling {
			if reduction := rn.pacing.nextReduction(pressure); reduction != rn.pacing.reduction && now.Sub(rn.pacing.changedAt) >= paceInterval {
				rn.pacing.reduction = reduction
				rn.pacing.changedAt = now
				al.orders = append(al.orders, PaceOrder{
					Worker:  wk.addressee(),
					Task:    rn.name,
					Attempt: rn.attempt,
					Percent: fullPace - reduction,
				})
			}
		}
	}
}

// isPaced reports whether the pace of a run may be changed.
func isPaced(rn *run) bool {
	return rn.task != nil && rn.task.step.spec.IsFilling && rn.state == runRunning && !rn.isStopping
}

// handlePaceResult marks the pace of a run as unknown if the change may not
// have taken effect, so that it is ordered again.
func (al *Allocator) handlePaceResult(ev PaceResult) {
	wk := al.workers.byID[ev.Worker]
	if wk == nil || ev.Outcome == Accepted {
		return
	}
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt || fullPace-rn.pacing.reduction != ev.Percent {
		return
	}
	rn.pacing.reduction = unknownReduction
	rn.pacing.changedAt = time.Time{}
}

// unknownReduction represents an unknown reduction. It differs from every
// reduction that is ordered.
const unknownReduction = -1

// latencyPressure returns the highest ratio of tail latency to latency target
// among the worker's serving runs.
func (wk *worker) latencyPressure() float64 {
	pressure := 0.0
	for _, rn := range wk.runs {
		if rn.task != nil && rn.task.step.spec.LatencyTarget > 0 && isAvailable(rn) {
			tail := time.Duration(rn.load) * time.Millisecond
			pressure = max(pressure, float64(tail)/float64(rn.task.step.spec.LatencyTarget))
		}
	}
	return pressure
}

// nextReduction returns the reduction for a latency pressure.
func (pa pacing) nextReduction(pressure float64) int {
	switch {
	case pressure > 1:
		return fullPace
	case pressure > slowdownThreshold:
		return min(pa.reduction+(fullPace-pa.reduction+1)/2, fullPace)
	case pressure < speedupThreshold:
		return max(pa.reduction-paceStep, 0)
	}
	return pa.reduction
}
