package allocator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// runState says how far a run has come.
type runState int

// The states of a run.
const (
	// runStarting means: the start is on its way.
	runStarting runState = iota
	// runDoubtful means: the start got no answer.
	runDoubtful
	// runRunning means: the worker has acknowledged or listed the run.
	runRunning
)

// run is one attempt of a task at a worker.
type run struct {
	name    modeller.TaskName
	attempt int
	worker  *worker
	// task is nil for a run that nobody wants.
	task     *task
	occupies modeller.Resources
	state    runState
	// sentAt is when the start was decided, confirmedAt when it was known to run.
	sentAt, confirmedAt time.Time
	// isStopping is true once a stop was decided, which was last sent at stopSentAt
	// and first acknowledged at stoppedAt.
	isStopping            bool
	stopSentAt, stoppedAt time.Time
	progress              int
	progressAt            time.Time
	load                  int
	pacing                pacing
}

// addRun counts a run against its worker.
func (wk *worker) addRun(rn *run) {
	if old, ok := wk.runs[rn.name]; ok {
		wk.used = wk.used.Minus(old.occupies)
	}
	wk.runs[rn.name] = rn
	wk.used = wk.used.Plus(rn.occupies)
}

// removeRun gives a run's capacity back.
func (wk *worker) removeRun(rn *run) {
	if wk.runs[rn.name] == rn {
		delete(wk.runs, rn.name)
		wk.used = wk.used.Minus(rn.occupies)
	}
}

// loseRun gives up a run that has ended without a listed end.
func (al *Allocator) loseRun(now time.Time, rn *run, reason string) {
	rn.worker.removeRun(rn)
	if rn.task != nil && rn.task.run == rn {
		al.release(now, rn.task, reason)
	}
}

// runsInOrder returns the worker's runs by name.
func (wk *worker) runsInOrder() []*run {
	return slices.SortedFunc(maps.Values(wk.runs), func(a, b *run) int { return a.name.Compare(b.name) })
}
