package allocator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// job is a job that has not ended, or whose end is not stored yet.
type job struct {
	info modeller.Job
	// queue is the job's queue as it is configured, or as it was last while it isn't.
	// It has no pool if it has never been known.
	queue modeller.Queue
	// occurrences are the occurrences that are due or have begun.
	occurrences []*occurrence
	// isInherited is true for a job that an earlier holder may have started.
	isInherited bool
	// acceptedAt is when the job was recorded, by the scheduler's clock.
	acceptedAt time.Time
	// heldBytes is the memory that is counted for the job.
	heldBytes   int64
	isCancelled bool
	// outcome is the final state, or empty while the job has not ended.
	outcome modeller.JobState
	// hasStarted is true once a worker is known to have begun a task.
	hasStarted bool
	// hasPayload is true if info contains the payload.
	hasPayload bool
	// hasStoredProgress is true once a progress record is stored. This has to
	// precede the first start, because a later holder starts a job without a
	// progress record at once.
	hasStoredProgress bool
	// isProgressUnknown is true if the stored progress can't be decoded. Then no task
	// is started, since it may be done, and the record is kept until the job ends.
	isProgressUnknown bool
	pools             startPools
	// coreTime is the estimated core time of all tasks, and criticalPath the
	// estimated duration of the longest chain of steps.
	coreTime, criticalPath time.Duration
	// version counts changes. Storing a batch marks the job as clean only if
	// the version is still that of the batch.
	version int
	// storedVersion is the version that was last stored.
	storedVersion int
	// loadedProgress is the progress that earlier holders have stored, by task.
	loadedProgress map[modeller.TaskName]modeller.TaskProgress
	// list is the list of waiting jobs that contains the job, with the keys of rank,
	// or nil.
	list *teamList
	rank rankedJob
}

func (al *Allocator) setConfiguration(now time.Time, cf modeller.Configuration) {
	if cf.Version < al.configuration.Version {
		return
	}
	al.configuration = cf
	al.usage.setTeams(cf.Teams)
	al.setWeights(cf.Teams)
	clear(al.waiting)
	for _, id := range slices.Sorted(maps.Keys(al.jobs)) {
		jb := al.jobs[id]
		al.resolveQueue(jb)
		jb.list = nil
		al.enlist(now, jb)
		// The limit of attempts may be lower now.
		al.updateOutcome(now, jb)
	}
}

// resolveQueue updates a job's queue. An accepted job goes on when its queue is
// removed, by the settings that it had last.
func (al *Allocator) resolveQueue(jb *job) {
	qu, isConfigured := al.configuration.Queues[jb.info.Queue]
	switch {
	case isConfigured:
		jb.queue = qu
	case jb.queue.Pool == "":
		jb.queue = jb.info.Origin
	}
}

func (al *Allocator) loadProgress(ev ProgressLoaded) {
	pg := ev.Progress
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
	jb.loadedProgress = make(map[modeller.TaskName]modeller.TaskProgress, len(pg.Tasks))
	for _, tp := range pg.Tasks {
		name := modeller.TaskName{
			Job:        pg.ID,
			Occurrence: tp.Occurrence,
			Step:       tp.Step,
			Index:      tp.Index,
		}
		jb.loadedProgress[name] = tp
	}
	jb.hasStarted = pg.HasStarted
	jb.hasStoredProgress = true
	jb.isProgressUnknown = ev.IsInvalid
	jb.pools = newInheritedPools(pg.Pools)
}

func (al *Allocator) addJob(now time.Time, jr modeller.JobRecord) {
	id := jr.Job.ID
	if jr.FinalState != "" {
		if _, ok := al.retained[id]; !ok {
			al.retained[id] = retainedJob{
				queue:       jr.Job.Queue,
				host:        jr.Job.Origin.Host,
				prefix:      jr.Job.Origin.Prefix,
				team:        jr.Job.Team,
				state:       jr.FinalState,
				endedAt:     now,
				isTombstone: jr.IsTombstone,
			}
		}
		al.deleteJob(id)
		return
	}
	if _, ok := al.retained[id]; ok {
		return
	}
	jb := al.jobs[id]
	if jb == nil {
		jb = &job{}
		al.jobs[id] = jb
	}
	if jr.HasPayload && !jb.hasPayload {
		jb.hasPayload = true
		jb.info.Payload = jr.Job.Payload
	}
	if len(jb.info.Steps) > 0 {
		return
	}
	jr.Job.Payload = jb.info.Payload
	jb.info = jr.Job
	jb.isInherited = jb.hasStoredProgress
	if !jb.hasStoredProgress {
		al.markDirty(jb)
	}
	al.resolveQueue(jb)
	al.addStartPool(jb)
	jb.acceptedAt = now
	al.countMemory(jb)
	jb.coreTime, jb.criticalPath = jr.Job.EstimateWork()
	al.recordArrival(now, jb)
	if jr.Job.Occurrences == 0 {
		al.beginOccurrence(now, jb, 0)
		return
	}
	al.scheduledJobs++
	for name := range jb.loadedProgress {
		al.beginOccurrencesThrough(now, jb, name.Occurrence)
	}
}

func (al *Allocator) deleteJob(id modeller.JobID) {
	if jb := al.jobs[id]; jb != nil {
		jb.withdraw()
		al.keepUnknownDemand(jb)
		al.heldBytes -= jb.heldBytes
		delete(al.jobs, id)
	}
}

// beginOccurrencesThrough begins the occurrences up to and including a number.
// An earlier holder may have begun them by a clock that was ahead of this
// holder's.
func (al *Allocator) beginOccurrencesThrough(now time.Time, jb *job, number int) {
	for len(jb.occurrences) <= number && len(jb.occurrences) < jb.info.Occurrences {
		al.beginOccurrence(now, jb, len(jb.occurrences))
	}
}

// beginOccurrence creates the tasks of an occurrence.
func (al *Allocator) beginOccurrence(now time.Time, jb *job, number int) {
	oc := &occurrence{
		number: number,
	}
	for stepNumber, spec := range jb.info.Steps {
		st := &step{
			spec:          spec,
			reserved:      spec.ReservedResources(),
			job:           jb,
			runsPerWorker: map[modeller.WorkerID]int{},
		}
		if jb.info.Team != "" {
			st.charge = &charge{
				team:   jb.info.Team,
				demand: spec.Demand,
			}
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
			al.restoreTask(tk, jb)
			st.tasks = append(st.tasks, tk)
			if tk.isDone {
				st.doneCount++
			} else {
				st.waitingCount++
			}
		}
		oc.steps = append(oc.steps, st)
	}
	jb.occurrences = append(jb.occurrences, oc)
	oc.updateDone()
	al.enlist(now, jb)
	al.updateOutcome(now, jb)
}

// beginDueOccurrences begins the occurrences that are due at the given
// wall-clock time.
func (al *Allocator) beginDueOccurrences(now time.Time, wallTime time.Time) {
	if al.scheduledJobs == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(al.jobs)) {
		jb := al.jobs[id]
		for jb.outcome == "" && !jb.isCancelled && len(jb.occurrences) < jb.info.Occurrences {
			due := jb.info.FirstAt.Add(time.Duration(len(jb.occurrences)) * jb.info.Interval)
			if wallTime.Before(due) {
				break
			}
			al.beginOccurrence(now, jb, len(jb.occurrences))
		}
	}
}

// cancelJob cancels a job and stops its runs.
func (al *Allocator) cancelJob(now time.Time, id modeller.JobID) {
	jb := al.jobs[id]
	if jb == nil || jb.isCancelled || jb.outcome != "" {
		return
	}
	jb.isCancelled = true
	al.log(LogEntry{Message: "job cancelled", Job: id, Reason: "caller"})
	al.stopJobRuns(now, jb)
	al.updateOutcome(now, jb)
}

func (al *Allocator) stopJobRuns(now time.Time, jb *job) {
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			for _, tk := range st.tasks {
				if tk.run != nil {
					al.stopRun(now, tk.run)
				}
			}
		}
	}
}

// markDirty marks a job's progress as changed since it was last stored.
func (al *Allocator) markDirty(jb *job) {
	if jb.isProgressUnknown && jb.outcome == "" {
		return
	}
	jb.version++
	if _, ok := al.dirtyJobs[jb.info.ID]; !ok {
		al.dirtyQueue = append(al.dirtyQueue, jb)
	}
	al.dirtyJobs[jb.info.ID] = jb
}

// updateOutcome ends a job that is done, has exhausted the attempts of a task,
// or is cancelled and has no runs left.
func (al *Allocator) updateOutcome(now time.Time, jb *job) {
	if jb.outcome != "" || len(jb.info.Steps) == 0 {
		return
	}
	switch {
	case jb.isCancelled:
		if jb.hasRuns() {
			return
		}
		jb.outcome = modeller.JobCancelled
	case jb.hasExhaustedTask(jb.queue.MaxAttempts):
		jb.outcome = modeller.JobFailed
		al.stopJobRuns(now, jb)
	case jb.isDone():
		jb.outcome = modeller.JobCompleted
	default:
		return
	}
	al.log(LogEntry{Message: "job ended", Job: jb.info.ID, Reason: string(jb.outcome)})
	al.markDirty(jb)
}

// isOver reports whether the job has ended or been cancelled, so that its runs have to stop.
func (jb *job) isOver() bool { return jb.isCancelled || jb.outcome != "" }

func (jb *job) isDone() bool {
	for _, oc := range jb.occurrences {
		if !oc.isDone {
			return false
		}
	}
	return len(jb.occurrences) >= max(jb.info.Occurrences, 1)
}

// hasExhaustedTask reports whether a task has failed maxAttempts times. Zero
// means that the job's queue has never been known.
func (jb *job) hasExhaustedTask(maxAttempts int) bool {
	if maxAttempts == 0 {
		return false
	}
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.spec.IsLongRunning {
				continue
			}
			for _, tk := range st.tasks {
				if !tk.isDone && len(tk.failedAttempts) >= maxAttempts {
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

// Status returns the status of a job, and false if the job is unknown or was cancelled
// before it was stored.
func (al *Allocator) Status(id modeller.JobID) (modeller.JobStatus, bool) {
	if ended, ok := al.retained[id]; ok {
		return modeller.JobStatus{
			State:  ended.state,
			Queue:  ended.queue,
			Host:   ended.host,
			Prefix: ended.prefix,
			Team:   ended.team,
		}, !ended.isTombstone
	}
	jb, ok := al.jobs[id]
	if !ok || len(jb.info.Steps) == 0 {
		return modeller.JobStatus{}, false
	}
	return modeller.JobStatus{
		State:  jb.state(),
		Queue:  jb.info.Queue,
		Host:   jb.info.Origin.Host,
		Prefix: jb.info.Origin.Prefix,
		Team:   jb.info.Team,
	}, true
}

// state returns the state of a job whose end isn't stored yet.
func (jb *job) state() modeller.JobState {
	switch {
	case jb.isCancelled:
		return modeller.JobCancelled
	case jb.hasStarted:
		return modeller.JobRunning
	}
	return modeller.JobQueued
}

// Pending returns the number of a queue's jobs of which no task has started. They
// include the jobs that were submitted under its address when it had another name.
func (al *Allocator) Pending(queue modeller.Queue) int {
	pending := 0
	for _, jb := range al.jobs {
		isOfQueue := jb.info.Queue == queue.Name || jb.info.Origin.HasAddressOf(queue)
		if isOfQueue && !jb.hasStarted && jb.outcome == "" && !jb.isCancelled && len(jb.info.Steps) > 0 {
			pending++
		}
	}
	return pending
}
