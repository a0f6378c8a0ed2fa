package allocator

import (
	"slices"
	"time"
)

// Weights of the terms of scoreWorker. They are relative to the share of the
// worker's cores that is in use, which is at most 1.
const (
	dataLocalityWeight        = 4
	interferenceWeight        = 2
	crowdingWeight            = 3
	longRunningAffinityWeight = 0.2
)

// maxEvictionRounds limits the rounds of evictions, each of up to
// MaxUnavailable tasks, in which a long-running step's tasks can leave one
// worker. A round takes about two seconds.
const maxEvictionRounds = 2

// chooseWorker returns the best worker for a task, or nil if none has capacity.
// Tasks go near their data, filling tasks away from serving ones, and all
// others to the fullest worker with capacity.
func (al *Allocator) chooseWorker(now time.Time, tk *task, workers []*worker, rack string) *worker {
	wk := al.bestWorker(now, tk, workers, rack, avoidanceTime)
	if wk == nil && len(tk.avoidedSince) > 0 && (tk.step.spec.IsLongRunning || !al.hasAlternative(now, tk)) {
		wk = al.bestWorker(now, tk, workers, rack, shortAvoidanceTime)
	}
	return wk
}

// hasAlternative reports whether a worker that a task need not avoid has capacity for
// it, or will have once the runs have ended that don't last.
func (al *Allocator) hasAlternative(now time.Time, tk *task) bool {
	st := tk.step
	return slices.ContainsFunc(al.workers.byPool[st.job.queue.Pool], func(wk *worker) bool {
		return !tk.avoids(now, wk, avoidanceTime) && wk.info.HasLabel(st.spec.RequiredLabel) &&
			(st.advice == nil || !st.advice.isDenied(wk)) &&
			st.reserved.FitsIn(wk.info.Capacity.Minus(wk.lastingReservation())) && al.isEligible(now, wk)
	})
}

// bestWorker returns the eligible worker with the highest score, except for
// workers that the task has to avoid for the given duration.
func (al *Allocator) bestWorker(now time.Time, tk *task, workers []*worker, rack string, avoidance time.Duration) *worker {
	var best *worker
	var bestScore float64
	for _, wk := range workers {
		al.effort.workers++
		if rack != "" && rackOf(wk.info) != rack || !al.suits(now, tk, wk, avoidance) {
			continue
		}
		score := scoreWorker(tk, wk)
		if (best == nil || score > bestScore) && al.isEligible(now, wk) {
			best, bestScore = wk, score
		}
	}
	return best
}

// suits reports whether a worker has capacity for a task and may run it, and
// the task doesn't have to avoid it for the given duration.
func (al *Allocator) suits(now time.Time, tk *task, wk *worker, avoidance time.Duration) bool {
	st := tk.step
	if !st.reserved.FitsIn(wk.free()) || !wk.info.HasLabel(st.spec.RequiredLabel) {
		return false
	}
	if st.spec.MaxPerWorker > 0 && st.runsPerWorker[wk.info.ID] >= st.spec.MaxPerWorker {
		return false
	}
	if tk.avoids(now, wk, avoidance) || wk.runs[tk.name] != nil {
		return false
	}
	return st.advice == nil || st.advice.hasTicket(now, wk)
}

// scoreWorker returns how well a worker suits a task. Fuller workers score
// higher, so that others stay free for a move or maintenance. Long-running
// tasks share workers, since a worker that has one can't be moved.
func scoreWorker(tk *task, wk *worker) float64 {
	score := float64(wk.used.MilliCores) / float64(max(wk.info.Capacity.MilliCores, 1))
	if rack := tk.step.spec.PreferredRack; rack != "" && wk.info.HasLabel(rack) {
		score += dataLocalityWeight
	}
	if st := tk.step; st.spec.IsLongRunning && st.runsPerWorker[wk.info.ID] >= maxEvictionRounds*max(st.spec.MaxUnavailable, 1) {
		score -= crowdingWeight
	}
	return score + longRunningAffinityWeight*float64(wk.neighbours.longRunning) - interferenceWeight*float64(wk.neighbours.interfering(tk.step.spec))
}
