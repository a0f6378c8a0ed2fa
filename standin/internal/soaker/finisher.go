package soaker

import (
	"context"
	"net/http"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

const (
	// finishInterval is the interval of the checks after the traffic.
	finishInterval = 200 * time.Millisecond
	// cancelledGone is the time after which no task of a cancelled job may run, and a
	// margin.
	cancelledGone = contactTime + ackTimeout + cancelTime + stopGrace + 2*finishInterval
	// maxFinishTime bounds the wait for jobs that lack room.
	maxFinishTime = 30 * time.Second
)

// finisher waits after the traffic until all jobs are completed, and reports those
// that are lost.
type finisher struct {
	play    *play
	caller  *caller
	beganAt time.Time
	// open are the jobs that are to be completed or to run.
	open []*job
	// idleSince holds since when a job, or a long-running task, has had room and
	// nothing running.
	idleSince map[any]time.Time
	pools     map[string]provider.Pool
	history   history
}

func newFinisher(pl *play) *finisher {
	fs := &finisher{
		play:      pl,
		caller:    newCaller(pl, len(pl.managers)*callersPerManager),
		beganAt:   time.Now(),
		idleSince: map[any]time.Time{},
	}
	for _, jb := range pl.jobs {
		if _, ok := jb.accepted(); ok && !jb.cancelSent() {
			fs.open = append(fs.open, jb)
		}
	}
	return fs
}

// run checks the jobs until all are completed, or lost.
func (fs *finisher) run(ctx context.Context) {
	defer fs.caller.close()
	for {
		fs.observe()
		var open []*job
		for _, jb := range fs.open {
			if !fs.isFinished(ctx, jb) {
				open = append(open, jb)
			}
		}
		fs.open = open
		since := time.Since(fs.beganAt)
		isQuiet := len(open) == 0 && (since > cancelledGone || !fs.hasCancelledRun())
		if isQuiet || since > maxFinishTime || !pause(ctx, finishInterval) {
			break
		}
	}
	fs.play.unfinished = len(fs.open)
	for _, jb := range fs.open {
		fs.play.tracef("unfinished for want of room: %s", jb.path)
	}
}

// observe takes the state of the workers.
func (fs *finisher) observe() {
	pv := fs.play.stage.Provider()
	fs.pools = map[string]provider.Pool{}
	for _, pool := range pools {
		fs.pools[pool] = pv.Pool(pool)
	}
	fs.history = newHistory(pv.Runs())
}

// hasCancelledRun reports whether a task of a cancelled job runs.
func (fs *finisher) hasCancelledRun() bool {
	for _, jb := range fs.play.jobs {
		if jb.cancelSent() && fs.history.isRunning[jb.ID] {
			return true
		}
	}
	return false
}

// isFinished reports whether nothing further is expected of a job: it is completed,
// its long-running tasks run, or it was reported as lost.
func (fs *finisher) isFinished(ctx context.Context, jb *job) bool {
	isLate := time.Since(fs.beganAt) > finishTime
	as, ok := fs.caller.send(ctx, jb, http.MethodGet)
	switch {
	case ctx.Err() != nil:
		return false
	case isLate && (!ok || !as.isSuccess()):
		fs.play.report("LOST", "job %s isn't known after the traffic: answered %t, status %d", jb.path, ok, as.status)
		return true
	case as.state.IsFinal():
		return true
	case jb.isLong():
		return fs.isRunningOn(jb, isLate)
	case !isLate:
		return false
	}
	next, isIdle := fs.next(ctx, jb)
	return fs.isLost(jb.ID, isIdle, "job %s has nothing running and is %q; %s is next", jb.path, as.state, next)
}

// storedProgress returns what the managers have stored of a job's tasks.
func (fs *finisher) storedProgress(ctx context.Context, jb *job) (modeller.Progress, error) {
	store := fs.play.stage.Provider().Keeper().Zone("operator")
	et, err := store.Get(ctx, archiver.JobKey(jb.ID))
	if err != nil {
		return modeller.Progress{}, err
	}
	jr, err := modeller.DecodeJob(et.Value)
	if err != nil {
		return modeller.Progress{}, err
	}
	et, err = store.Get(ctx, archiver.ProgressKey(jr.Job.Queue, jb.ID))
	if err != nil {
		return modeller.Progress{}, err
	}
	return archiver.DecodeProgress(et)
}

// next names a task of a job whose turn has come, if possible one with room. It reports
// whether the job has nothing running though that task has room, or though there is
// none.
func (fs *finisher) next(ctx context.Context, jb *job) (string, bool) {
	// Without stored progress tasks count as done by acknowledgements alone.
	if pg, err := fs.storedProgress(ctx, jb); err == nil {
		fs.history.noteStored(pg)
	}
	ready := fs.history.ready(jb, time.Now())
	if len(ready) == 0 {
		return "no task", !fs.history.isRunning[jb.ID]
	}
	for _, name := range ready {
		if fs.hasRoom(jb, name) {
			return name.String(), !fs.history.isRunning[jb.ID]
		}
	}
	return ready[0].String(), false
}

// isRunningOn reports whether all tasks of a long-running job run or are lost.
func (fs *finisher) isRunningOn(jb *job, isLate bool) bool {
	isFinished := true
	for _, name := range jb.tasks() {
		if fs.history.current[name] != nil {
			delete(fs.idleSince, name)
			continue
		}
		hasRoom := fs.hasRoom(jb, name)
		if isLate && !hasRoom {
			// It may lack room for good, and other jobs don't wait for it.
			continue
		}
		isIdle := isLate && time.Since(fs.history.endedAt[name]) > longRestartTime && hasRoom
		if !fs.isLost(name, isIdle, "long-running task %s of %s doesn't run", name, jb.path) {
			isFinished = false
		}
	}
	return isFinished
}

// isLost reports whether a job or task has been idle for too long, as a finding.
func (fs *finisher) isLost(key any, isIdle bool, format string, args ...any) bool {
	since, wasIdle := fs.idleSince[key]
	switch {
	case !isIdle:
		delete(fs.idleSince, key)
		return false
	case !wasIdle:
		fs.idleSince[key] = time.Now()
		return false
	case time.Since(since) < idleTime:
		return false
	}
	fs.play.report("LOST", format, args...)
	fs.play.tracef("pools: %+v", fs.pools)
	return true
}

// hasRoom reports whether the pool of a task has room for it twice over and is less
// than half in use.
func (fs *finisher) hasRoom(jb *job, name modeller.TaskName) bool {
	step := jb.Steps[name.Step]
	queuePools := fs.play.plan.poolsOf(jb.prefix())
	pool := queuePools[len(queuePools)-1]
	var used, capacity, places int
	for _, wk := range fs.pools[pool].Workers {
		used += wk.Used.MilliCores
		capacity += wk.Capacity.MilliCores
		free := wk.Capacity.Minus(wk.Used)
		fitting := min(free.MilliCores/step.Demand.MilliCores, free.MemoryMB/step.Demand.MemoryMB)
		if step.RequiredLabel != "" && !slices.Contains(wk.Labels, step.RequiredLabel) || !fs.play.stage.Provider().IsPermitted(name, wk.VM) {
			fitting = 0
		}
		if step.MaxPerWorker > 0 {
			for _, other := range wk.Runs {
				if other.StepName() == name.StepName() {
					fitting = 0
				}
			}
			fitting = min(fitting, step.MaxPerWorker)
		}
		places += max(fitting, 0)
	}
	needed := 2
	if step.IsGang {
		needed *= step.Count
	}
	return places >= needed && 2*used < capacity
}
