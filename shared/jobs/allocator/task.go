package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// task is one task of a step.
type task struct {
	name   modeller.TaskName
	step   *step
	run    *run
	isDone bool
	// attempt is the highest that was started as far as is known.
	attempt int
	// endedAttempt is the highest that has ended.
	endedAttempt int
	failed       []int
	checkpoint   string
	// notBefore is until when it isn't placed.
	notBefore time.Time
	// avoided is by worker that failed it: since when it keeps away.
	avoided map[modeller.WorkerID]time.Time
}

// step is one step of an occurrence.
type step struct {
	spec    modeller.Step
	job     *job
	tasks   []*task
	done    int
	waiting int
	// tickets let workers run the step, where the queue needs them.
	tickets map[modeller.WorkerID]ticket
	// perWorker counts the step's runs.
	perWorker map[modeller.WorkerID]int
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	isDone bool
}

// restore sets a task to what is known of it from earlier holders.
func (al *Allocator) restore(tk *task, jb *job) {
	tp, ok := jb.loaded[tk.name]
	if !ok {
		return
	}
	tk.isDone = tp.IsDone
	tk.attempt = tp.Attempt
	tk.failed = slices.Clone(tp.FailedAttempts)
	tk.checkpoint = tp.Checkpoint
}

// avoid keeps the task away from a worker for a while.
func (tk *task) avoid(now time.Time, wk *worker) {
	if tk.avoided == nil {
		tk.avoided = map[modeller.WorkerID]time.Time{}
	}
	tk.avoided[wk.info.ID] = now
}

// avoids reports whether the task still keeps away from a worker, for a time.
func (tk *task) avoids(now time.Time, wk *worker, duration time.Duration) bool {
	since, ok := tk.avoided[wk.info.ID]
	return ok && now.Before(since.Add(duration))
}

// findTask returns a task, or nil.
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

// reportedTask returns the task that a worker has reported a run of, or nil.
func (al *Allocator) reportedTask(now time.Time, name modeller.TaskName) *task {
	if jb := al.jobs[name.Job]; jb != nil {
		al.beginThrough(now, jb, name.Occurrence)
	}
	return al.findTask(name)
}

// isReady reports whether all steps that come before a step are done.
func (oc *occurrence) isReady(st *step) bool {
	for _, earlier := range st.spec.After {
		if oc.steps[earlier].done < len(oc.steps[earlier].tasks) {
			return false
		}
	}
	return true
}

// release makes a task wait for its next start.
func (al *Allocator) release(now time.Time, tk *task, reason string) {
	rn := tk.run
	if rn == nil {
		return
	}
	tk.run = nil
	tk.step.perWorker[rn.worker.info.ID]--
	if tk.isDone {
		al.settleJob(now, tk.step.job)
		return
	}
	tk.step.waiting++
	al.note(LogEntry{Message: "task waits again", Task: tk.name.String(), Worker: rn.worker.info.ID, Attempt: rn.attempt, Reason: reason})
	al.settleJob(now, tk.step.job)
}

// attach gives a task its run.
func (al *Allocator) attach(tk *task, rn *run) {
	tk.run = rn
	tk.attempt = max(tk.attempt, rn.attempt)
	tk.step.waiting--
	tk.step.perWorker[rn.worker.info.ID]++
	tk.step.job.hasStarted = true
}

// complete notes that a task is done.
func (al *Allocator) complete(now time.Time, tk *task) {
	if tk.isDone {
		return
	}
	tk.isDone = true
	st := tk.step
	st.done++
	if tk.run == nil {
		st.waiting--
	}
	jb := st.job
	jb.occurrences[tk.name.Occurrence].settle()
	al.settleJob(now, jb)
}

// settle notes whether the occurrence is done.
func (oc *occurrence) settle() {
	for _, st := range oc.steps {
		if st.done < len(st.tasks) {
			return
		}
	}
	oc.isDone = true
}
