package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// recordEnd records the end of a run on an incarnation of a node's worker.
func (sm *Simulation) recordEnd(nd *node, incarnation int, end modeller.End) {
	if end.Kind == modeller.EndDone {
		sm.counts.Done++
		sm.completions[end.Task] = append(sm.completions[end.Task], &completion{
			at:          sm.now,
			node:        nd.info.ID,
			incarnation: incarnation,
			number:      end.Number,
		})
	}
}

// checkAcknowledged checks the ends that a poll acknowledges.
func (sm *Simulation) checkAcknowledged(nd *node, po allocator.PollOrder) {
	for _, end := range nd.ex.Report(sm.now).Ended {
		if end.Number > po.AcknowledgedEnds {
			continue
		}
		if end.Kind == modeller.EndFailed {
			sm.failures[end.Task]++
		}
		for _, de := range sm.completions[end.Task] {
			if de.node != nd.info.ID || de.incarnation != nd.incarnation || de.number != end.Number || nd.ex.LeaseExpiredSince(de.at) {
				continue
			}
			de.isAcknowledged = true
			for _, startedAt := range sm.starts[end.Task] {
				if startedAt.After(de.at) {
					sm.recordViolation("TWICE", "%s was started again after its completion, which has been acknowledged", end.Task)
				}
			}
		}
	}
}

// checkStart checks the guarantees after a worker has started a run.
func (sm *Simulation) checkStart(nd *node, so allocator.StartOrder) {
	sm.counts.Starts++
	name := so.Task
	sm.starts[name] = append(sm.starts[name], sm.now)
	sj := sm.jobs[name.Job]
	if used := nd.ex.Used(); !used.FitsIn(nd.info.Capacity) {
		sm.recordViolation("LIMIT", "%s raises the resource use of %s to %+v, above its capacity", name, nd.info.ID, used)
	}
	if !sm.operators.pools[sj.job.Queue][nd.info.Pool] {
		sm.recordViolation("ROUTE", "%s starts on %s of pool %s", name, nd.info.ID, nd.info.Pool)
	}
	for _, other := range sm.nodes {
		if other == nd || !other.isUp {
			continue
		}
		if _, isRunning := other.ex.Runs()[name]; isRunning {
			sm.recordViolation("TWICE", "%s runs on %s and %s", name, other.info.ID, nd.info.ID)
		}
	}
	for _, de := range sm.completions[name] {
		if de.isAcknowledged {
			sm.recordViolation("TWICE", "%s starts after its completion was acknowledged", name)
		}
	}
	if sj.job.Steps[name.Step].IsLongRunning && sm.longRunning[name] == nil {
		sm.longRunning[name] = &longRunningTask{
			readyAt: sm.now,
		}
	}
	if dueAt := sj.job.FirstAt.Add(time.Duration(name.Occurrence) * sj.job.Interval); sj.job.Occurrences > 0 && dueAt.Sub(sm.now) > maxSkew {
		sm.recordViolation("ORDER", "%s starts %s before its occurrence is due", name, dueAt.Sub(sm.now))
	}
	for _, earlier := range sj.job.Steps[name.Step].DependsOn {
		for index := range sj.job.Steps[earlier].Count {
			before := modeller.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: earlier, Index: index}
			if len(sm.completions[before]) == 0 && !sj.job.Steps[earlier].IsGang {
				sm.recordViolation("ORDER", "%s starts before its dependency %s is done", name, before)
			}
		}
	}
	if !sj.job.Steps[name.Step].IsLongRunning && sm.failures[name] >= maxAttempts {
		sm.recordViolation("BUDGET", "%s starts after %d failures", name, sm.failures[name])
	}
	perWorker := 0
	for other := range nd.ex.Runs() {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			perWorker++
		}
	}
	if bound := sj.job.Steps[name.Step].MaxPerWorker; bound > 0 && perWorker > bound {
		sm.recordViolation("ROUTE", "%s is one of %d tasks of its step on %s", name, perWorker, nd.info.ID)
	}
	if !sj.cancelledAt.IsZero() && sm.now.Sub(sj.cancelledAt) > cancelTime {
		sm.recordViolation("UNASKED", "%s starts too long after its job was cancelled", name)
	}
}

// cancelTime is the time after a job's cancellation from which none of its tasks
// may start. It allows for a takeover and for delayed orders.
const cancelTime = 15 * time.Second

// checkStop checks that a stop leaves enough tasks of a long-running step available.
func (sm *Simulation) checkStop(nd *node, so allocator.StopOrder) {
	sj := sm.jobs[so.Task.Job]
	if sj == nil || !sj.cancelledAt.IsZero() || nd.info.IsDraining {
		return
	}
	step := sj.job.Steps[so.Task.Step]
	if !step.IsLongRunning || nd.ex.Runs()[so.Task] != so.Attempt || !nd.ex.IsReady(sm.now, so.Task) {
		return
	}
	stopped := 0
	for index := range step.Count {
		name := modeller.TaskName{Job: so.Task.Job, Step: so.Task.Step, Index: index}
		if name != so.Task && sm.isUnavailable(name) {
			stopped++
		}
	}
	sm.longRunning[so.Task].isStopped = true
	if stopped >= step.MaxUnavailable {
		sm.recordViolation("AVAIL", "%s is stopped while %d other tasks of its step are unavailable", so.Task, stopped)
	}
}

// isUnavailable reports whether a long-running task is not ready because of a
// stop order, or for any reason for at least unavailableAfter.
func (sm *Simulation) isUnavailable(name modeller.TaskName) bool {
	ls := sm.longRunning[name]
	return ls != nil && !sm.isReady(name) && (ls.isStopped || sm.now.Sub(ls.readyAt) >= unavailableAfter)
}

func (sm *Simulation) isReady(name modeller.TaskName) bool {
	for _, nd := range sm.nodes {
		if nd.isUp && nd.ex.IsReady(sm.now, name) {
			return true
		}
	}
	return false
}

// longRunningTask is the availability of a long-running task.
type longRunningTask struct {
	// readyAt is when the task was last seen ready, or first started.
	readyAt time.Time
	// isStopped is true from a stop order until the task is ready again.
	isStopped bool
}

// observeLongRunning records which long-running tasks are ready.
func (sm *Simulation) observeLongRunning() {
	for name, ls := range sm.longRunning {
		if sm.isReady(name) {
			ls.readyAt = sm.now
			ls.isStopped = false
		}
	}
}

// checkMaintenance checks that a VM may go into maintenance.
func (sm *Simulation) checkMaintenance(nd *node) {
	down := 0
	for _, other := range sm.nodes {
		if other.state == modeller.VMMaintenance {
			down++
		}
	}
	if down >= maxInMaintenance {
		sm.recordViolation("LIMIT", "%s goes into maintenance while %d other VMs are in maintenance", nd.info.VM, down)
	}
	for name := range nd.ex.Runs() {
		if sj := sm.jobs[name.Job]; sj.job.Steps[name.Step].IsLongRunning && sj.cancelledAt.IsZero() && nd.ex.IsReady(sm.now, name) {
			sm.recordViolation("AVAIL", "%s is ended by the maintenance of %s", name, nd.info.VM)
		}
	}
}

// checkOutcome checks at the end of the simulation that no job or maintenance was
// lost.
func (sm *Simulation) checkOutcome() {
	for _, id := range slices.Sorted(maps.Keys(sm.jobs)) {
		sj := sm.jobs[id]
		state := sm.store.jobs[id].FinalState
		isLongRunning := sj.job.Steps[0].IsLongRunning
		switch {
		case !sj.cancelledAt.IsZero():
			if !state.IsFinal() {
				sm.recordViolation("LOST", "cancelled job %s has not ended", id)
			}
		case isLongRunning:
			sm.checkLongRunning(sj)
		case sj.isPoison && state != modeller.JobFailed:
			sm.recordViolation("LOST", "job %s, whose runs all fail, has final state %q", id, state)
		case !sj.isPoison && state != modeller.JobCompleted && state != modeller.JobFailed:
			sm.recordViolation("LOST", "job %s has final state %q", id, state)
		}
		if state == modeller.JobCompleted {
			sm.checkCompleted(sj)
		}
	}
	if sm.wave != nil {
		sm.checkWave()
	}
}

// checkWave checks that the wave has maintained each of its VMs that is up.
func (sm *Simulation) checkWave() {
	for _, nd := range sm.nodes {
		isDue := slices.Contains(sm.wave.VMs, nd.info.VM) && nd.state == modeller.VMUp
		if isDue && !slices.Contains(sm.store.waves[sm.wave.Number].Maintained, nd.info.VM) {
			sm.recordViolation("LOST", "VM %s was not maintained by the wave", nd.info.VM)
		}
	}
}

// checkLongRunning checks that the tasks of a long-running step run, as far as
// MaxPerWorker and the number of workers that are up allow.
func (sm *Simulation) checkLongRunning(sj *submittedJob) {
	step := sj.job.Steps[0]
	running := 0
	for index := range step.Count {
		if sm.isRunning(modeller.TaskName{Job: sj.job.ID, Index: index}) {
			running++
		}
	}
	room := sm.countUp(sm.operators.poolOf[sj.job.Queue]) * step.MaxPerWorker
	if running < min(step.Count, room) {
		sm.recordViolation("LOST", "%d of %d long-running tasks of job %s run, with room for %d", running, step.Count, sj.job.ID, room)
	}
}

// countUp returns the number of a pool's workers that are up.
func (sm *Simulation) countUp(pool string) int {
	count := 0
	for _, nd := range sm.nodes {
		if nd.isUp && nd.info.Pool == pool {
			count++
		}
	}
	return count
}

// isRunning reports whether a task runs on any worker.
func (sm *Simulation) isRunning(name modeller.TaskName) bool {
	for _, nd := range sm.nodes {
		if _, ok := nd.ex.Runs()[name]; ok && nd.isUp {
			return true
		}
	}
	return false
}

func (sm *Simulation) checkCompleted(sj *submittedJob) {
	for number := range max(sj.job.Occurrences, 1) {
		sm.checkOccurrence(sj, number)
	}
}

func (sm *Simulation) checkOccurrence(sj *submittedJob, number int) {
	for stepNumber, st := range sj.job.Steps {
		isAnyDone := false
		for index := range st.Count {
			name := modeller.TaskName{Job: sj.job.ID, Occurrence: number, Step: stepNumber, Index: index}
			if len(sm.completions[name]) > 0 {
				isAnyDone = true
			} else if !st.IsGang {
				sm.recordViolation("MIXED", "job %s is recorded as completed without %s", sj.job.ID, name)
			}
		}
		if !isAnyDone {
			sm.recordViolation("MIXED", "job %s is recorded as completed without step %d", sj.job.ID, stepNumber)
		}
	}
}
