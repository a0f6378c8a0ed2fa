package allocator

import (
	"time"
)

// placeTasks starts waiting tasks on workers that have capacity.
func (al *Allocator) placeTasks(now time.Time) {
	if !al.isLoaded {
		return
	}
	al.updateUncertainty(now)
	pl := al.newPlacement(now)
	for jb, pp := al.nextJob(pl); jb != nil; jb, pp = al.nextJob(pl) {
		al.effort.jobs++
		orderCount := len(al.orders)
		al.placeJob(jb, pp, pl)
		pp.consider(jb)
		if len(al.orders) > orderCount && !al.hasRoom(now, pp) {
			pp.isFull = true
		}
	}
	pl.finish()
	al.orderAdvice(pl)
}

// placeJob starts a job's waiting tasks.
func (al *Allocator) placeJob(jb *job, pp *poolPlacement, pl *placement) {
	if !jb.mayWait() || !jb.hasStoredProgress || jb.isProgressUnknown || !jb.pools.isStored(pp.name) || !al.mayStart(pl.now, jb) || al.mayHaveOldRuns(jb, pl.oldRuns) {
		return
	}
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if !oc.isDone && st.waitingCount > 0 && oc.areDependenciesDone(st) {
				al.placeStep(st, pp, pl)
			}
		}
	}
}

// mayStart reports whether a job's tasks may be started. While the duty is not
// confirmed, there may be a later holder. That holder takes precautions for
// jobs from before its term, so these may still be started here; jobs accepted
// later are left to it. While the duty is confirmed, the store accepts
// cancellations, so they have to be known.
func (al *Allocator) mayStart(now time.Time, jb *job) bool {
	if al.isConfirmed(now) {
		return al.jobsSyncedAt.IsZero() || now.Sub(al.jobsSyncedAt) < maxJobsAge
	}
	return !jb.acceptedAt.After(al.confirmedAt)
}

// eligibleWorkers returns those of the given workers that may get starts.
func (al *Allocator) eligibleWorkers(now time.Time, workers []*worker) []*worker {
	var eligible []*worker
	for _, wk := range workers {
		if al.isEligible(now, wk) {
			eligible = append(eligible, wk)
		}
	}
	return eligible
}

// placeStep starts a step's waiting tasks, and has the advice service asked about
// those that remain.
func (al *Allocator) placeStep(st *step, pp *poolPlacement, pl *placement) {
	st.updateAdvice()
	al.startTasks(pl.now, st, pp)
	al.considerAdvice(pl, pp, st)
}

// startTasks starts a step's waiting tasks, as far as there are workers for them.
func (al *Allocator) startTasks(now time.Time, st *step, pp *poolPlacement) {
	if !al.usage.allows(st, 1) || !al.hasRoomFor(now, pp, labelledDemand{
		resources: st.reserved,
		label:     st.spec.RequiredLabel,
	}) {
		return
	}
	if st.spec.IsGang {
		al.placeGang(now, st, al.eligibleWorkers(now, pp.workers))
		return
	}
	var last *worker
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone || !al.isReady(now, tk) {
			continue
		}
		if !al.usage.allows(st, 1) {
			return
		}
		wk := last
		if last == nil || !st.prefersSameWorker() || !al.suits(now, tk, last, avoidanceTime) {
			wk = al.chooseWorker(now, tk, pp.workers, "")
		}
		if wk == nil && len(tk.avoidedSince) == 0 {
			return
		}
		if wk != nil {
			al.startTask(now, tk, wk, tk.nextAttempt())
			last = wk
		}
	}
}

// prefersSameWorker reports whether the best worker for a task of the step is
// also the best for the next task as long as it has capacity: its load makes it
// score higher.
func (st *step) prefersSameWorker() bool {
	return !st.spec.IsLongRunning && !st.spec.IsFilling && st.spec.LatencyTarget == 0
}

// nextAttempt returns the attempt of a task's next start. It skips one attempt
// for an inherited job, since an earlier holder may have started it without
// having stored that.
func (tk *task) nextAttempt() int {
	if tk.step.job.isInherited && tk.run == nil && tk.attempt > 0 {
		return tk.attempt + 2
	}
	return tk.attempt + 1
}

// startTask reserves capacity for a task on a worker and orders its start.
func (al *Allocator) startTask(now time.Time, tk *task, wk *worker, attempt int) {
	rn := &run{
		name:       tk.name,
		attempt:    attempt,
		worker:     wk,
		task:       tk,
		reserved:   tk.step.reserved,
		state:      runStarting,
		sentAt:     now,
		generation: wk.generation,
		progressAt: now,
		progress:   -1,
	}
	free := wk.free()
	al.assignRun(tk, rn)
	wk.addRun(rn)
	al.chargeShare(now, tk.step)
	al.markDirty(tk.step.job)
	al.orders = append(al.orders, StartOrder{
		Worker:         wk.addressee(),
		Task:           tk.name,
		Attempt:        attempt,
		Queue:          tk.step.job.info.Queue,
		Payload:        tk.step.job.info.Payload,
		HasPayload:     tk.step.job.hasPayload,
		Checkpoint:     tk.checkpoint,
		Ticket:         tk.step.ticketFor(wk),
		LeaseEnd:       wk.leaseEnd,
		ReportAge:      now.Sub(wk.reportedAt),
		FreeMilliCores: free.MilliCores,
	})
}
