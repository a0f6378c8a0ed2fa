package allocator

import (
	"time"
)

// place starts waiting tasks on workers that have room.
func (al *Allocator) place(now time.Time) {
	if !al.isLoaded {
		return
	}
	open := al.openWorkers(now)
	uncertain := map[string]bool{}
	for _, rk := range al.ranks(now) {
		jb := rk.job
		pool := al.poolOf(jb)
		if len(open[pool]) == 0 {
			continue
		}
		if !jb.isMarked || !al.mayStart(now, jb) {
			continue
		}
		if jb.isOld {
			isUncertain, ok := uncertain[pool]
			if !ok {
				isUncertain = al.isUncertain(pool)
				uncertain[pool] = isUncertain
			}
			if isUncertain {
				continue
			}
		}
		for _, oc := range jb.occurrences {
			for _, st := range oc.steps {
				if !oc.isDone && st.waiting > 0 && oc.isReady(st) {
					al.placeStep(now, st, open[pool])
				}
			}
		}
	}
}

// mayStart reports whether a job's tasks may be started. While the duty is not
// confirmed there may be a later holder; it treats the jobs from before its time
// with care, and those that came after it are its own.
func (al *Allocator) mayStart(now time.Time, jb *job) bool {
	return now.Sub(al.confirmedAt) < al.bounds.DutyLease || !jb.acceptedAt.After(al.confirmedAt)
}

// openWorkers returns the workers that take work, by pool.
func (al *Allocator) openWorkers(now time.Time) map[string][]*worker {
	open := map[string][]*worker{}
	for _, wk := range al.inOrder() {
		if al.takesWork(now, wk) {
			open[wk.info.Pool] = append(open[wk.info.Pool], wk)
		}
	}
	return open
}

// placeStep starts a step's waiting tasks.
func (al *Allocator) placeStep(now time.Time, st *step, open []*worker) {
	if qu := al.configuration.Queues[st.job.info.Queue]; qu.Advice != nil && !al.hasAdvice(now, st, qu, open) {
		return
	}
	if st.spec.IsGang {
		al.placeGang(now, st, open)
		return
	}
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone || now.Before(tk.notBefore) {
			continue
		}
		wk := al.choose(now, tk, open, "")
		if wk == nil && len(tk.avoided) == 0 {
			return
		}
		if wk != nil {
			al.start(now, tk, wk, tk.nextAttempt())
		}
	}
}

// nextAttempt returns the attempt of a task's next start. An earlier holder may
// have started a task of an old job without having stored it.
func (tk *task) nextAttempt() int {
	if tk.step.job.isOld && tk.run == nil && tk.attempt > 0 {
		return tk.attempt + 2
	}
	return tk.attempt + 1
}

// start decides that a worker is to run a task.
func (al *Allocator) start(now time.Time, tk *task, wk *worker, attempt int) {
	rn := &run{
		name:       tk.name,
		attempt:    attempt,
		worker:     wk,
		task:       tk,
		occupies:   tk.step.spec.ReservedResources(),
		state:      runStarting,
		sentAt:     now,
		progressAt: now,
		progress:   -1,
	}
	free := wk.info.Capacity.Minus(wk.used)
	al.attach(tk, rn)
	wk.addRun(rn)
	al.touch(tk.step.job)
	al.orders = append(al.orders, StartOrder{
		Worker:         wk.info,
		Task:           tk.name,
		Attempt:        attempt,
		Payload:        tk.step.job.info.Payload,
		Checkpoint:     tk.checkpoint,
		Ticket:         tk.step.tickets[wk.info.ID].text,
		LeaseEnd:       wk.leaseEnd,
		ReportAge:      now.Sub(wk.reportedAt),
		FreeMilliCores: free.MilliCores,
	})
}
