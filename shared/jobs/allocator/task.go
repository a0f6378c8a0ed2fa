package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// task is a task of a step.
type task struct {
	name   modeller.TaskName
	step   *step
	run    *run
	isDone bool
	// attempt is the highest known attempt that was started.
	attempt int
	// endedAttempt is the highest attempt that has ended, or was lost with its worker.
	endedAttempt   int
	failedAttempts []int
	checkpoint     string
	// stalls counts the runs that were stopped since they made no progress.
	stalls int
	// notBefore is the earliest time of the next placement.
	notBefore time.Time
	// droppedAt is when a run of the task was last dropped without a reported
	// end, or zero.
	droppedAt time.Time
	// avoidedSince maps the workers on which the task has failed or stalled to
	// the time when this last happened.
	avoidedSince map[modeller.WorkerID]time.Time
}

// step is a step of an occurrence.
type step struct {
	spec modeller.Step
	// reserved is what each task reserves on its worker.
	reserved modeller.Resources
	// charge is what each run counts against the cap of the job's team, or nil if it
	// has none.
	charge       *charge
	job          *job
	tasks        []*task
	doneCount    int
	waitingCount int
	// advice is set if the queue has an advice service.
	advice *stepAdvice
	// runsPerWorker counts the step's runs by worker.
	runsPerWorker map[modeller.WorkerID]int
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	isDone bool
}

// restoreTask restores a task from the progress that earlier holders have
// stored.
func (al *Allocator) restoreTask(tk *task, jb *job) {
	tp, ok := jb.loadedProgress[tk.name]
	if !ok {
		return
	}
	tk.isDone = tp.IsDone
	tk.attempt = tp.Attempt
	tk.failedAttempts = slices.Clone(tp.FailedAttempts)
	tk.checkpoint = tp.Checkpoint
}

// maxKeptFailures is the number of failed attempts of a long-running task that are
// kept. It has no limit of attempts, and each record of its job contains them.
const maxKeptFailures = 8

// addFailedAttempt records a failed attempt.
func (tk *task) addFailedAttempt(attempt int) {
	tk.failedAttempts = append(tk.failedAttempts, attempt)
	if excess := len(tk.failedAttempts) - maxKeptFailures; tk.step.spec.IsLongRunning && excess > 0 {
		tk.failedAttempts = slices.Clone(tk.failedAttempts[excess:])
	}
}

// avoid records that the task has failed or stalled on a worker, which it then
// avoids for a time.
func (tk *task) avoid(now time.Time, wk *worker) {
	if tk.avoidedSince == nil {
		tk.avoidedSince = map[modeller.WorkerID]time.Time{}
	}
	tk.avoidedSince[wk.info.ID] = now
}

// avoids reports whether the task has failed or stalled on a worker within the
// given duration.
func (tk *task) avoids(now time.Time, wk *worker, duration time.Duration) bool {
	if len(tk.avoidedSince) == 0 {
		return false
	}
	since, ok := tk.avoidedSince[wk.info.ID]
	return ok && now.Before(since.Add(duration))
}

// isReady reports whether a waiting task may be placed. While the duty isn't
// confirmed, a later holder may have stored the end of a run that was dropped
// since.
func (al *Allocator) isReady(now time.Time, tk *task) bool {
	return !now.Before(tk.notBefore) && (al.isConfirmed(now) || !tk.droppedAt.After(al.confirmedAt))
}

// findTask returns the task of a name, or nil.
func (al *Allocator) findTask(name modeller.TaskName) *task {
	jb := al.jobs[name.Job]
	if jb == nil || name.Occurrence >= len(jb.occurrences) {
		return nil
	}
	oc := jb.occurrences[name.Occurrence]
	if name.Step >= len(oc.steps) || name.Index >= len(oc.steps[name.Step].tasks) {
		return nil
	}
	return oc.steps[name.Step].tasks[name.Index]
}

// taskForReport returns the task of a run or end that a worker has reported, or
// nil. It begins occurrences that are not due by this holder's clock.
func (al *Allocator) taskForReport(now time.Time, name modeller.TaskName) *task {
	if jb := al.jobs[name.Job]; jb != nil {
		al.beginOccurrencesThrough(now, jb, name.Occurrence)
	}
	return al.findTask(name)
}

// areDependenciesDone reports whether all steps that a step depends on are
// done.
func (oc *occurrence) areDependenciesDone(st *step) bool {
	for _, dependency := range st.spec.DependsOn {
		if oc.steps[dependency].doneCount < len(oc.steps[dependency].tasks) {
			return false
		}
	}
	return true
}

// requeue makes a task wait for its next start.
func (al *Allocator) requeue(now time.Time, tk *task, reason string) {
	rn := tk.run
	if rn == nil {
		return
	}
	tk.run = nil
	tk.step.runsPerWorker[rn.worker.info.ID]--
	if tk.isDone {
		al.updateOutcome(now, tk.step.job)
		return
	}
	tk.step.waitingCount++
	al.enlist(now, tk.step.job)
	al.log(LogEntry{Message: "task requeued", Task: tk.name.String(), Worker: rn.worker.info.ID, Attempt: rn.attempt, Reason: reason})
	al.updateOutcome(now, tk.step.job)
}

// assignRun assigns a run to its task.
func (al *Allocator) assignRun(tk *task, rn *run) {
	tk.run = rn
	rn.charge = tk.step.charge
	tk.attempt = max(tk.attempt, rn.attempt)
	tk.step.waitingCount--
	tk.step.runsPerWorker[rn.worker.info.ID]++
}

// completeTask marks a task as done.
func (al *Allocator) completeTask(now time.Time, tk *task) {
	if tk.isDone {
		return
	}
	tk.isDone = true
	st := tk.step
	st.doneCount++
	if tk.run == nil {
		st.waitingCount--
	}
	jb := st.job
	al.noteJob(jb)
	if st.doneCount == len(st.tasks) {
		al.rerank(now, jb)
	}
	jb.occurrences[tk.name.Occurrence].updateDone()
	al.updateOutcome(now, jb)
}

// updateDone marks the occurrence as done if all its steps are.
func (oc *occurrence) updateDone() {
	for _, st := range oc.steps {
		if st.doneCount < len(st.tasks) {
			return
		}
	}
	oc.isDone = true
}
