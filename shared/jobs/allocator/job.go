package allocator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// job is a live job.
type job struct {
	info modeller.Job
	// occurrences are those that are due or have begun.
	occurrences []*occurrence
	// isOld is true for a job that an earlier holder may have started.
	isOld bool
	// acceptedAt is when the job was accepted, by the scheduler's clock.
	acceptedAt  time.Time
	isCancelled bool
	// outcome is set once the job has ended, and isFinalStored once that is stored.
	outcome    modeller.JobState
	hasStarted bool
	// isMarked is true once a progress record is stored, which has to be before
	// the first start: a later holder may start a job without one at once.
	isMarked bool
	// work is the job's core-time, and chain its longest chain.
	work, chain time.Duration
	// version counts changes, so that a stored batch cleans just what it held.
	version int
	// loaded is the progress under earlier holders, by task.
	loaded map[modeller.TaskName]modeller.TaskProgress
}

func (al *Allocator) configure(cf modeller.Configuration) {
	if cf.Version >= al.configuration.Version {
		al.configuration = cf
	}
}

// poolOf returns the pool that runs a job's tasks, or an empty name while no
// configuration names it.
func (al *Allocator) poolOf(jb *job) string {
	return al.configuration.Queues[jb.info.Queue].Pool
}

func (al *Allocator) loadProgress(pg modeller.Progress) {
	jb := al.jobs[pg.ID]
	if jb == nil {
		jb = &job{
			info: modeller.Job{
				ID:    pg.ID,
				Queue: pg.Queue,
			},
		}
		al.jobs[pg.ID] = jb
	}
	jb.loaded = make(map[modeller.TaskName]modeller.TaskProgress, len(pg.Tasks))
	for _, tp := range pg.Tasks {
		name := modeller.TaskName{
			Job:        pg.ID,
			Occurrence: tp.Occurrence,
			Step:       tp.Step,
			Index:      tp.Index,
		}
		jb.loaded[name] = tp
	}
	jb.hasStarted = len(pg.Tasks) > 0
	jb.isMarked = true
}

func (al *Allocator) recordJob(now time.Time, jr modeller.JobRecord) {
	id := jr.Job.ID
	if jr.FinalState != "" {
		if _, ok := al.ended[id]; !ok {
			al.ended[id] = endedJob{
				queue:   jr.Job.Queue,
				state:   jr.FinalState,
				endedAt: now,
			}
		}
		delete(al.jobs, id)
		return
	}
	if _, ok := al.ended[id]; ok {
		return
	}
	jb := al.jobs[id]
	if jb == nil {
		jb = &job{}
		al.jobs[id] = jb
	}
	if len(jb.info.Steps) > 0 {
		return
	}
	jb.info = jr.Job
	jb.isOld = jb.isMarked
	if !jb.isMarked {
		al.touch(jb)
	}
	jb.acceptedAt = now
	jb.work, jb.chain = measure(jr.Job)
	if jr.Job.Occurrences == 0 {
		al.begin(now, jb, 0)
		return
	}
	al.timed++
	for name := range jb.loaded {
		al.beginThrough(now, jb, name.Occurrence)
	}
}

// beginThrough begins the occurrences up to one that an earlier holder has begun,
// whose clock may have been ahead of this one's.
func (al *Allocator) beginThrough(now time.Time, jb *job, number int) {
	for len(jb.occurrences) <= number && len(jb.occurrences) < jb.info.Occurrences {
		al.begin(now, jb, len(jb.occurrences))
	}
}

// measure returns a job's core-time and its longest chain, as estimated.
func measure(jb modeller.Job) (work, chain time.Duration) {
	ends := make([]time.Duration, len(jb.Steps))
	for idx, st := range jb.Steps {
		cores := float64(st.Demand.MilliCores)/1000 + acceleratorCores*float64(st.Demand.Accelerators)
		work += time.Duration(float64(st.Count) * cores * float64(st.Estimate))
		ends[idx] = st.Estimate
		for _, earlier := range st.After {
			ends[idx] = max(ends[idx], ends[earlier]+st.Estimate)
		}
		chain = max(chain, ends[idx])
	}
	return work, chain
}

// acceleratorCores is how many cores an accelerator counts for, as the users'
// accounting has it.
const acceleratorCores = 8

// begin makes the tasks of an occurrence.
func (al *Allocator) begin(now time.Time, jb *job, number int) {
	oc := &occurrence{
		number: number,
	}
	for stepNumber, spec := range jb.info.Steps {
		st := &step{
			spec:      spec,
			job:       jb,
			perWorker: map[modeller.WorkerID]int{},
		}
		for index := range spec.Count {
			tk := &task{
				name: modeller.TaskName{
					Job:        jb.info.ID,
					Occurrence: number,
					Step:       stepNumber,
					Index:      index,
				},
				step: st,
			}
			al.restore(tk, jb)
			st.tasks = append(st.tasks, tk)
			if tk.isDone {
				st.done++
			} else {
				st.waiting++
			}
		}
		oc.steps = append(oc.steps, st)
	}
	jb.occurrences = append(jb.occurrences, oc)
	oc.settle()
	al.settleJob(now, jb)
}

// beginDue begins the occurrences that are due by the time of day.
func (al *Allocator) beginDue(now time.Time, timeOfDay time.Time) {
	if al.timed == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(al.jobs)) {
		jb := al.jobs[id]
		for jb.outcome == "" && !jb.isCancelled && len(jb.occurrences) < jb.info.Occurrences {
			due := jb.info.FirstAt.Add(time.Duration(len(jb.occurrences)) * jb.info.Interval)
			if timeOfDay.Before(due) {
				break
			}
			al.begin(now, jb, len(jb.occurrences))
		}
	}
}

// cancel has all runs of a job stopped.
func (al *Allocator) cancel(now time.Time, id modeller.JobID) {
	jb := al.jobs[id]
	if jb == nil || jb.isCancelled || jb.outcome != "" {
		return
	}
	jb.isCancelled = true
	al.note(LogEntry{Message: "job cancelled", Job: id, Reason: "caller"})
	al.stopJob(now, jb)
	al.settleJob(now, jb)
}

func (al *Allocator) stopJob(now time.Time, jb *job) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for _, tk := range st.tasks {
				if tk.run != nil {
					al.stop(now, tk.run)
				}
			}
		}
	}
}

// touch marks a job's progress as not stored.
func (al *Allocator) touch(jb *job) {
	jb.version++
	al.dirty[jb.info.ID] = jb
}

// settleJob ends a job that has nothing left to do.
func (al *Allocator) settleJob(now time.Time, jb *job) {
	if jb.outcome != "" || len(jb.info.Steps) == 0 {
		return
	}
	switch {
	case jb.isCancelled:
		if jb.hasRuns() {
			return
		}
		jb.outcome = modeller.JobCancelled
	case jb.isExhausted(al.maxAttempts(jb)):
		jb.outcome = modeller.JobFailed
		al.stopJob(now, jb)
	case jb.isDone():
		jb.outcome = modeller.JobCompleted
	default:
		return
	}
	al.note(LogEntry{Message: "job ended", Job: jb.info.ID, Reason: string(jb.outcome)})
	al.touch(jb)
}

func (al *Allocator) maxAttempts(jb *job) int {
	qu, ok := al.configuration.Queues[jb.info.Queue]
	if !ok {
		return 0
	}
	return qu.MaxAttempts
}

func (jb *job) isDone() bool {
	for _, oc := range jb.occurrences {
		if !oc.isDone {
			return false
		}
	}
	return len(jb.occurrences) >= max(jb.info.Occurrences, 1)
}

// isExhausted reports whether a task has failed as often as it may. Zero
// attempts stand for a queue that no configuration names any more.
func (jb *job) isExhausted(maxAttempts int) bool {
	if maxAttempts == 0 {
		return false
	}
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.spec.IsLongRunning {
				continue
			}
			for _, tk := range st.tasks {
				if !tk.isDone && len(tk.failed) >= maxAttempts {
					return true
				}
			}
		}
	}
	return false
}

func (jb *job) hasRuns() bool {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for _, tk := range st.tasks {
				if tk.run != nil {
					return true
				}
			}
		}
	}
	return false
}

// State returns the state of a job, and false if it isn't known.
func (al *Allocator) State(id modeller.JobID) (modeller.JobState, bool) {
	if ended, ok := al.ended[id]; ok {
		return ended.state, true
	}
	jb, ok := al.jobs[id]
	switch {
	case !ok || len(jb.info.Steps) == 0:
		return "", false
	case jb.isCancelled:
		return modeller.JobCancelled, true
	case jb.hasStarted:
		return modeller.JobRunning, true
	}
	return modeller.JobQueued, true
}

// Pending returns the number of a queue's jobs of which no task has started.
func (al *Allocator) Pending(queue string) int {
	pending := 0
	for _, jb := range al.jobs {
		if jb.info.Queue == queue && !jb.hasStarted && jb.outcome == "" && !jb.isCancelled && len(jb.info.Steps) > 0 {
			pending++
		}
	}
	return pending
}
