package allocator

import (
	"time"
)

// Limits of pacing.
const (
	// paceInterval is the time between two changes of a run's pace; figures of
	// load are half a second old.
	paceInterval = 700 * time.Millisecond
	// paceDownAt and paceUpAt are shares of the latency target.
	paceDownAt = 0.9
	paceUpAt   = 0.6
	// fullPace is a run's pace at its start, in percent.
	fullPace = 100
	// paceStep is by how much the pace rises, in percent.
	paceStep = 25
)

// pacing is how much of its share a filling run works at.
type pacing struct {
	// reduction is the pace below fullPace, in percent.
	reduction int
	changedAt time.Time
}

// pace slows filling runs where serving runs come near their latency target,
// and quickens them again where all are far from it.
func (al *Allocator) pace(now time.Time) {
	for _, wk := range al.inOrder() {
		if !wk.isSynced || now.Sub(wk.reportedAt) >= reportFreshness {
			continue
		}
		pressure := wk.latencyPressure()
		for _, rn := range wk.runsInOrder() {
			if rn.task == nil || !rn.task.step.spec.IsFilling || rn.state != runRunning || rn.isStopping {
				continue
			}
			if reduction := rn.pacing.next(pressure); reduction != rn.pacing.reduction && now.Sub(rn.pacing.changedAt) >= paceInterval {
				rn.pacing.reduction = reduction
				rn.pacing.changedAt = now
				al.orders = append(al.orders, PaceOrder{
					Worker:  wk.info,
					Task:    rn.name,
					Attempt: rn.attempt,
					Percent: fullPace - reduction,
				})
			}
		}
	}
}

// paceEnded has a change of pace that may not have happened sent again.
func (al *Allocator) paceEnded(ev PaceResult) {
	wk := al.workers[ev.Worker]
	if wk == nil || ev.Outcome == Accepted {
		return
	}
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt || fullPace-rn.pacing.reduction != ev.Percent {
		return
	}
	rn.pacing.reduction = paceUnknown
	rn.pacing.changedAt = time.Time{}
}

// paceUnknown stands for a reduction that is not known; it differs from all
// that are ordered.
const paceUnknown = -1

// latencyPressure returns the highest tail of a serving run as a share of its
// target.
func (wk *worker) latencyPressure() float64 {
	pressure := 0.0
	for _, rn := range wk.runs {
		if rn.task != nil && rn.task.step.spec.LatencyTarget > 0 && isAtWork(rn) {
			tail := time.Duration(rn.load) * time.Millisecond
			pressure = max(pressure, float64(tail)/float64(rn.task.step.spec.LatencyTarget))
		}
	}
	return pressure
}

// next returns the reduction that the pressure asks for.
func (pa pacing) next(pressure float64) int {
	switch {
	case pressure > 1:
		return fullPace
	case pressure > paceDownAt:
		return min(pa.reduction+(fullPace-pa.reduction+1)/2, fullPace)
	case pressure < paceUpAt:
		return max(pa.reduction-paceStep, 0)
	}
	return pa.reduction
}
