package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
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
func (al *Allocator) chooseWorker(now time.Time, tk *task, eligible []*worker, rack string) *worker {
	wk := al.bestWorker(now, tk, eligible, rack, avoidanceTime)
	if wk == nil && tk.step.spec.IsLongRunning && len(tk.avoidedSince) > 0 {
		wk = al.bestWorker(now, tk, eligible, rack, longRunningAvoidanceTime)
	}
	return wk
}

// bestWorker returns the worker with the highest score, except for workers that
// the task has to avoid for the given duration.
func (al *Allocator) bestWorker(now time.Time, tk *task, eligible []*worker, rack string, avoidance time.Duration) *worker {
	st := tk.step
	demand := st.spec.ReservedResources()
	var best *worker
	var bestScore float64
	for _, wk := range eligible {
		al.effort.workers++
		if rack != "" && rackOf(wk.info) != rack {
			continue
		}
		if !wk.info.HasLabel(st.spec.RequiredLabel) || !wk.used.Plus(demand).FitsIn(wk.info.Capacity) {
			continue
		}
		if st.spec.MaxPerWorker > 0 && st.runsPerWorker[wk.info.ID] >= st.spec.MaxPerWorker {
			continue
		}
		if tk.avoids(now, wk, avoidance) || wk.runs[tk.name] != nil {
			continue
		}
		if st.tickets != nil && !st.tickets[wk.info.ID].isValid(now) {
			continue
		}
		score := scoreWorker(tk, wk)
		if best == nil || score > bestScore {
			best, bestScore = wk, score
		}
	}
	return best
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
	longRunning, interfering := countNeighbours(tk.step.spec, wk)
	return score + longRunningAffinityWeight*float64(longRunning) - interferenceWeight*float64(interfering)
}

// countNeighbours counts the long-running tasks on a worker, and the tasks that
// would interfere with a task of the given step.
func countNeighbours(spec modeller.Step, wk *worker) (longRunning, interfering int) {
	hasLatencyTarget := spec.LatencyTarget > 0
	for _, rn := range wk.runs {
		if rn.task == nil {
			continue
		}
		other := rn.task.step.spec
		if other.IsLongRunning && !other.IsFilling {
			longRunning++
		}
		if spec.IsFilling && (other.LatencyTarget > 0 || other.IsFilling) || hasLatencyTarget && other.IsFilling {
			interfering++
		}
	}
	return longRunning, interfering
}
