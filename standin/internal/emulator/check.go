package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// noteEnd takes in the end of a run at a life of a node's worker.
func (dy *Day) noteEnd(nd *node, life int, end modeller.End) {
	if end.Kind == modeller.EndDone {
		dy.counts.Done++
		dy.done[end.Task] = append(dy.done[end.Task], &doneEnd{
			at:     dy.now,
			node:   nd.info.ID,
			life:   life,
			number: end.Number,
		})
	}
}

// acknowledge checks the ends that a poll acknowledges.
func (dy *Day) acknowledge(nd *node, po allocator.PollOrder) {
	for _, end := range nd.ex.Report(dy.now).Ended {
		if end.Number > po.AcknowledgedEnds {
			continue
		}
		if end.Kind == modeller.EndFailed {
			dy.failures[end.Task]++
		}
		for _, de := range dy.done[end.Task] {
			if de.node != nd.info.ID || de.life != nd.life || de.number != end.Number || nd.ex.HasLapsedSince(de.at) {
				continue
			}
			de.isAcknowledged = true
			for _, startedAt := range dy.starts[end.Task] {
				if startedAt.After(de.at) {
					dy.breakPromise("TWICE", "%s was started after it was done, and that end is acknowledged", end.Task)
				}
			}
		}
	}
}

// checkStart checks a start that a worker has carried out.
func (dy *Day) checkStart(nd *node, so allocator.StartOrder) {
	dy.counts.Starts++
	name := so.Task
	dy.starts[name] = append(dy.starts[name], dy.now)
	sj := dy.jobs[name.Job]
	if used := nd.ex.Used(); !used.FitsIn(nd.info.Capacity) {
		dy.breakPromise("LIMIT", "%s brings %s to %+v", name, nd.info.ID, used)
	}
	if nd.info.Pool != configuration().Queues[sj.job.Queue].Pool {
		dy.breakPromise("ROUTE", "%s starts on %s of pool %s", name, nd.info.ID, nd.info.Pool)
	}
	for _, other := range dy.nodes {
		if other == nd || !other.isUp {
			continue
		}
		if _, runs := other.ex.Runs()[name]; runs {
			dy.breakPromise("TWICE", "%s runs on %s and %s", name, other.info.ID, nd.info.ID)
		}
	}
	for _, de := range dy.done[name] {
		if de.isAcknowledged {
			dy.breakPromise("TWICE", "%s starts after it was done", name)
		}
	}
	if sj.job.Steps[name.Step].IsLongRunning && dy.lasting[name] == nil {
		dy.lasting[name] = &lastingTask{
			atWorkAt: dy.now,
		}
	}
	if dueAt := sj.job.FirstAt.Add(time.Duration(name.Occurrence) * sj.job.Interval); sj.job.Occurrences > 0 && dueAt.Sub(dy.now) > maxSkew {
		dy.breakPromise("ORDER", "%s starts %s early", name, dueAt.Sub(dy.now))
	}
	for _, earlier := range sj.job.Steps[name.Step].DependsOn {
		for index := range sj.job.Steps[earlier].Count {
			before := modeller.TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: earlier, Index: index}
			if len(dy.done[before]) == 0 && !sj.job.Steps[earlier].IsGang {
				dy.breakPromise("ORDER", "%s starts before %s is done", name, before)
			}
		}
	}
	if !sj.job.Steps[name.Step].IsLongRunning && dy.failures[name] >= maxAttempts {
		dy.breakPromise("BUDGET", "%s starts after %d failures", name, dy.failures[name])
	}
	perWorker := 0
	for other := range nd.ex.Runs() {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			perWorker++
		}
	}
	if bound := sj.job.Steps[name.Step].MaxPerWorker; bound > 0 && perWorker > bound {
		dy.breakPromise("ROUTE", "%s is one of %d tasks of its step on %s", name, perWorker, nd.info.ID)
	}
	if !sj.cancelledAt.IsZero() && dy.now.Sub(sj.cancelledAt) > cancelTime {
		dy.breakPromise("UNASKED", "%s starts long after its job was cancelled", name)
	}
}

// cancelTime is after what time no task of a cancelled job may start. It allows
// for a takeover and for orders that are carried out late.
const cancelTime = 15 * time.Second

// checkStop checks that a stop leaves enough of a long-running step at work.
func (dy *Day) checkStop(nd *node, so allocator.StopOrder) {
	sj := dy.jobs[so.Task.Job]
	if sj == nil || !sj.cancelledAt.IsZero() || nd.info.IsDraining {
		return
	}
	step := sj.job.Steps[so.Task.Step]
	if !step.IsLongRunning || nd.ex.Runs()[so.Task] != so.Attempt || !nd.ex.IsAtWork(dy.now, so.Task) {
		return
	}
	stopped := 0
	for index := range step.Count {
		name := modeller.TaskName{Job: so.Task.Job, Step: so.Task.Step, Index: index}
		if name != so.Task && dy.isStoppedAway(name) {
			stopped++
		}
	}
	dy.lasting[so.Task].isStopped = true
	if stopped >= step.MaxUnavailable {
		dy.breakPromise("AVAIL", "%s is stopped while %d others of its step are", so.Task, stopped)
	}
}

// isStoppedAway reports whether a long-running task is away through an order,
// or has been away for long for whatever cause.
func (dy *Day) isStoppedAway(name modeller.TaskName) bool {
	ls := dy.lasting[name]
	return ls != nil && !dy.isAtWork(name) && (ls.isStopped || dy.now.Sub(ls.atWorkAt) >= awayNotice)
}

func (dy *Day) isAtWork(name modeller.TaskName) bool {
	for _, nd := range dy.nodes {
		if nd.isUp && nd.ex.IsAtWork(dy.now, name) {
			return true
		}
	}
	return false
}

// lastingTask is what is known of a long-running task.
type lastingTask struct {
	// atWorkAt is when it was last seen at work, or first started.
	atWorkAt time.Time
	// isStopped is true from an order that ended it until it is at work again.
	isStopped bool
}

// watchLasting notes which long-running tasks are at work.
func (dy *Day) watchLasting() {
	for name, ls := range dy.lasting {
		if dy.isAtWork(name) {
			ls.atWorkAt = dy.now
			ls.isStopped = false
		}
	}
}

// checkMaintenance checks that a VM may go down.
func (dy *Day) checkMaintenance(nd *node) {
	down := 0
	for _, other := range dy.nodes {
		if other.state == modeller.VMMaintenance {
			down++
		}
	}
	if down >= waveBound {
		dy.breakPromise("LIMIT", "%s goes down beside %d others", nd.info.VM, down)
	}
	for name := range nd.ex.Runs() {
		if sj := dy.jobs[name.Job]; sj.job.Steps[name.Step].IsLongRunning && sj.cancelledAt.IsZero() && nd.ex.IsAtWork(dy.now, name) {
			dy.breakPromise("AVAIL", "%s is ended by the maintenance of %s", name, nd.info.VM)
		}
	}
}

// checkFinished checks at the end of the day that nothing was lost.
func (dy *Day) checkFinished() {
	for _, id := range slices.Sorted(maps.Keys(dy.jobs)) {
		sj := dy.jobs[id]
		state := dy.store.jobs[id].FinalState
		isLasting := sj.job.Steps[0].IsLongRunning
		switch {
		case !sj.cancelledAt.IsZero():
			if !state.IsFinal() {
				dy.breakPromise("LOST", "cancelled job %s has not ended", id)
			}
		case isLasting:
			dy.checkLasting(sj)
		case sj.isPoison && state != modeller.JobFailed:
			dy.breakPromise("LOST", "hopeless job %s is shown as %q", id, state)
		case !sj.isPoison && state != modeller.JobCompleted && state != modeller.JobFailed:
			dy.breakPromise("LOST", "job %s is shown as %q", id, state)
		}
		if state == modeller.JobCompleted {
			dy.checkCompleted(sj)
		}
	}
	if dy.wave != nil {
		dy.checkWave()
	}
}

// checkWave checks that all VMs of the wave that have stayed are maintained.
func (dy *Day) checkWave() {
	for _, nd := range dy.nodes {
		isDue := slices.Contains(dy.wave.VMs, nd.info.VM) && nd.state == modeller.VMUp
		if isDue && !slices.Contains(dy.store.waves[dy.wave.Number].Maintained, nd.info.VM) {
			dy.breakPromise("LOST", "wave has left %s out", nd.info.VM)
		}
	}
}

// checkLasting checks that a long-running step's tasks run. Tasks that may not
// share a worker have to do with the workers that are left.
func (dy *Day) checkLasting(sj *submitted) {
	step := sj.job.Steps[0]
	running := 0
	for index := range step.Count {
		if dy.runs(modeller.TaskName{Job: sj.job.ID, Index: index}) {
			running++
		}
	}
	room := dy.upIn(configuration().Queues[sj.job.Queue].Pool) * step.MaxPerWorker
	if running < min(step.Count, room) {
		dy.breakPromise("LOST", "%d of %d long-running tasks of job %s run, with room for %d", running, step.Count, sj.job.ID, room)
	}
}

// upIn returns how many workers of a pool are up.
func (dy *Day) upIn(pool string) int {
	count := 0
	for _, nd := range dy.nodes {
		if nd.isUp && nd.info.Pool == pool {
			count++
		}
	}
	return count
}

// runs reports whether a task runs anywhere.
func (dy *Day) runs(name modeller.TaskName) bool {
	for _, nd := range dy.nodes {
		if _, ok := nd.ex.Runs()[name]; ok && nd.isUp {
			return true
		}
	}
	return false
}

func (dy *Day) checkCompleted(sj *submitted) {
	for number := range max(sj.job.Occurrences, 1) {
		dy.checkOccurrence(sj, number)
	}
}

func (dy *Day) checkOccurrence(sj *submitted, number int) {
	for stepNumber, st := range sj.job.Steps {
		isAnyDone := false
		for index := range st.Count {
			name := modeller.TaskName{Job: sj.job.ID, Occurrence: number, Step: stepNumber, Index: index}
			if len(dy.done[name]) > 0 {
				isAnyDone = true
			} else if !st.IsGang {
				dy.breakPromise("MIXED", "job %s is shown as completed without %s", sj.job.ID, name)
			}
		}
		if !isAnyDone {
			dy.breakPromise("MIXED", "job %s is shown as completed without step %d", sj.job.ID, stepNumber)
		}
	}
}
