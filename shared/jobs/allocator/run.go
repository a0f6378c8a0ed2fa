package allocator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// runState is the state of a run.
type runState int

// The states of a run.
const (
	// runStarting means that the start order is in flight.
	runStarting runState = iota
	// runUnconfirmed means that the start order got no answer, or one that may be that of
	// another incarnation.
	runUnconfirmed
	// runRunning means that the worker has acknowledged the start or reported
	// the run.
	runRunning
)

// run is one attempt of a task on a worker.
type run struct {
	name    modeller.TaskName
	attempt int
	worker  *worker
	// task is nil for an orphaned run, which is to be stopped.
	task     *task
	reserved modeller.Resources
	// charge is what the run counts against its team's cap, or nil if it has no team.
	charge *charge
	// hasUnknownDemand is true for an orphaned run of an unknown job. It holds the whole
	// worker, whose capacity may become known later than the run.
	hasUnknownDemand bool
	state            runState
	// sentAt is when the start was decided, or since when it is unconfirmed.
	// confirmedAt is when the run was first known to be running.
	sentAt, confirmedAt time.Time
	// isReported is true once a report has shown the run.
	isReported bool
	// generation is that of the start order, or of the poll whose report has shown the
	// run.
	generation int
	// isStopping is true once a stop has been ordered. The order was last sent
	// at stopSentAt and first acknowledged at stopAckedAt.
	isStopping              bool
	stopSentAt, stopAckedAt time.Time
	progress                int
	progressAt              time.Time
	load                    int
	pacing                  pacing
}

// addRun adds a run and reserves its share of the worker's capacity.
func (wk *worker) addRun(rn *run) {
	if old, ok := wk.runs[rn.name]; ok {
		wk.removeRun(old)
	}
	wk.runs[rn.name] = rn
	wk.used = wk.used.Plus(rn.reserved)
	wk.teams.add(rn)
	if rn.hasUnknownDemand {
		wk.unknownDemands++
	}
	wk.neighbours.count(rn, 1)
}

// removeRun removes a run and releases its share of the worker's capacity.
func (wk *worker) removeRun(rn *run) {
	if wk.runs[rn.name] == rn {
		delete(wk.runs, rn.name)
		wk.used = wk.used.Minus(rn.reserved)
		wk.teams.remove(rn)
		if rn.hasUnknownDemand {
			wk.unknownDemands--
		}
		wk.neighbours.count(rn, -1)
	}
}

// free returns the capacity that no run holds.
func (wk *worker) free() modeller.Resources {
	free := wk.info.Capacity.Minus(wk.used)
	if wk.unknownDemands > 0 {
		return free.Minus(wk.info.Capacity)
	}
	return free
}

// lastingReservation returns the resources that runs hold which don't end by
// themselves.
func (wk *worker) lastingReservation() modeller.Resources {
	var reserved modeller.Resources
	for _, rn := range wk.runs {
		if rn.task != nil && rn.task.step.spec.IsLongRunning {
			reserved = reserved.Plus(rn.reserved)
		}
	}
	return reserved
}

// neighbourCounts counts the runs of a worker by what they mean for other runs.
type neighbourCounts struct {
	// longRunning counts the long-running runs that aren't filling ones.
	longRunning int
	// serving counts the runs with a latency target that aren't filling ones.
	serving int
	filling int
}

// count adds a run, or removes it if the change is -1.
func (nc *neighbourCounts) count(rn *run, change int) {
	if rn.task == nil {
		return
	}
	spec := rn.task.step.spec
	switch {
	case spec.IsFilling:
		nc.filling += change
		return
	case spec.LatencyTarget > 0:
		nc.serving += change
	}
	if spec.IsLongRunning {
		nc.longRunning += change
	}
}

// interfering returns the number of runs that would interfere with a task of a
// step.
func (nc *neighbourCounts) interfering(spec modeller.Step) int {
	switch {
	case spec.IsFilling:
		return nc.serving + nc.filling
	case spec.LatencyTarget > 0:
		return nc.filling
	}
	return 0
}

// doubtExpiry returns the time until which an unconfirmed run may continue on a worker
// that does not report: another incarnation may have carried the start out, by whose
// clock the end of the lease is far away.
func (al *Allocator) doubtExpiry(rn *run) time.Time {
	return rn.sentAt.Add(maxCallDelay + al.maxLeaseTime())
}

// maxLeaseTime returns the longest time for which a lease lasts that begins now.
func (al *Allocator) maxLeaseTime() time.Duration {
	return maxElapsed(al.bounds.MaxRunLease) + leaseMargin
}

// dropRun removes a run whose end the worker has not reported, and requeues its
// task.
func (al *Allocator) dropRun(now time.Time, rn *run, reason string) {
	rn.worker.removeRun(rn)
	al.changes.note(rn.worker.info.Pool)
	if rn.task != nil && rn.task.run == rn {
		rn.task.droppedAt = now
		if rn.isReported {
			rn.task.endedAttempt = max(rn.task.endedAttempt, rn.attempt)
		}
		al.requeue(now, rn.task, reason)
	}
}

// sortedRuns returns the worker's runs ordered by task name.
func (wk *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(wk.runs), func(a, b *run) int { return a.name.Compare(b.name) })
}

// sortedRunsWith returns those of the worker's runs that have a property,
// ordered by task name. Mostly there are none, and then nothing is sorted.
func (wk *worker) sortedRunsWith(hasProperty func(rn *run) bool) []*run {
	var found []*run
	for _, rn := range wk.runs {
		if hasProperty(rn) {
			found = append(found, rn)
		}
	}
	slices.SortFunc(found, func(a, b *run) int { return a.name.Compare(b.name) })
	return found
}
