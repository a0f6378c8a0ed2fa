package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Weights of a worker's suitability beside the share of it that is used, which
// is at most 1.
const (
	nearDataWeight      = 4
	besideServerWeight  = 2
	crowdedWeight       = 3
	besideLastingWeight = 0.2
)

// evictionRounds is how many times a long-running step's tasks on one worker may
// have to be moved one lot after the other; a lot takes about two seconds.
const evictionRounds = 2

// choose returns the best worker for a task, or nil if none has room. Tasks go
// near their data, filling tasks away from serving ones, and all others to the
// fullest worker that has room.
func (al *Allocator) choose(now time.Time, tk *task, open []*worker, rack string) *worker {
	wk := al.chooseFrom(now, tk, open, rack, avoidTime)
	if wk == nil && tk.step.spec.IsLongRunning && len(tk.avoided) > 0 {
		wk = al.chooseFrom(now, tk, open, rack, lastingAvoidTime)
	}
	return wk
}

// chooseFrom returns the best worker that the task hasn't avoided for a time.
func (al *Allocator) chooseFrom(now time.Time, tk *task, open []*worker, rack string, avoidance time.Duration) *worker {
	st := tk.step
	demand := st.spec.ReservedResources()
	var best *worker
	var bestScore float64
	for _, wk := range open {
		if rack != "" && rackOf(wk.info) != rack {
			continue
		}
		if !wk.info.HasLabel(st.spec.RequiredLabel) || !wk.used.Plus(demand).FitsIn(wk.info.Capacity) {
			continue
		}
		if st.spec.MaxPerWorker > 0 && st.perWorker[wk.info.ID] >= st.spec.MaxPerWorker {
			continue
		}
		if tk.avoids(now, wk, avoidance) || wk.runs[tk.name] != nil {
			continue
		}
		if st.tickets != nil && !st.tickets[wk.info.ID].isValid(now) {
			continue
		}
		score := suitability(tk, wk)
		if best == nil || score > bestScore {
			best, bestScore = wk, score
		}
	}
	return best
}

// suitability returns how well a worker suits a task. Fuller workers come first,
// so that others stay free for a move or maintenance, and long-running tasks share
// workers, since they keep a worker where it is.
func suitability(tk *task, wk *worker) float64 {
	score := float64(wk.used.MilliCores) / float64(max(wk.info.Capacity.MilliCores, 1))
	if rack := tk.step.spec.PreferredRack; rack != "" && wk.info.HasLabel(rack) {
		score += nearDataWeight
	}
	if st := tk.step; st.spec.IsLongRunning && st.perWorker[wk.info.ID] >= evictionRounds*max(st.spec.MaxUnavailable, 1) {
		score -= crowdedWeight
	}
	lasting, disturbing := neighbours(tk.step.spec, wk)
	return score + besideLastingWeight*float64(lasting) - besideServerWeight*float64(disturbing)
}

// neighbours counts a worker's long-running tasks, and those that a task of a
// step would disturb or be disturbed by.
func neighbours(spec modeller.Step, wk *worker) (lasting, disturbing int) {
	isServing := spec.LatencyTarget > 0
	for _, rn := range wk.runs {
		if rn.task == nil {
			continue
		}
		other := rn.task.step.spec
		if other.IsLongRunning && !other.IsFilling {
			lasting++
		}
		if spec.IsFilling && (other.LatencyTarget > 0 || other.IsFilling) || isServing && other.IsFilling {
			disturbing++
		}
	}
	return lasting, disturbing
}
