package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// report takes in a worker's answer to a poll.
func (al *Allocator) report(now time.Time, ev ReportReceived) {
	wk := al.workers[ev.Worker]
	if wk == nil {
		return
	}
	wk.isPolling = false
	wk.pollAt = now.Add(pollPause)
	if wk.isSynced && ev.Report.StartedAtMS != wk.bornMS {
		if ev.Report.StartedAtMS < wk.bornMS {
			return
		}
		al.endLife(now, wk, "reports a later start")
	}
	if wk.clockAt.IsZero() || !wk.isSynced || ev.Report.Clock > wk.clock {
		wk.clock = ev.Report.Clock
		wk.clockAt = ev.ReceivedAt
	}
	if !wk.isSynced {
		wk.pollAt = now
		wk.isSynced = true
		al.endReplaced(now)
	}
	wk.mayHoldOldRuns = false
	wk.bornMS = ev.Report.StartedAtMS
	wk.reportedAt = ev.ReceivedAt
	wk.isSilent = false
	wk.failedPolls = 0
	wk.suspectUntil = time.Time{}
	for _, end := range ev.Report.Ended {
		al.end(now, wk, end)
	}
	seen := make(map[modeller.TaskName]int, len(ev.Report.Running))
	for _, reported := range ev.Report.Running {
		seen[reported.Task] = reported.Attempt
		al.running(now, wk, reported)
	}
	isWhole := len(ev.Report.Ended) < modeller.EndsPerReport
	for _, rn := range wk.runsInOrder() {
		if attempt, ok := seen[rn.name]; (!ok || attempt != rn.attempt) && isWhole {
			al.missing(now, rn, ev.SentAt)
		}
	}
}

// running takes in a run that a worker lists.
func (al *Allocator) running(now time.Time, wk *worker, reported modeller.Run) {
	rn := wk.runs[reported.Task]
	if rn != nil && rn.attempt > reported.Attempt {
		return
	}
	if rn == nil || rn.attempt < reported.Attempt {
		rn = al.adopt(now, wk, reported)
	}
	if rn.state != runRunning {
		rn.state = runRunning
		rn.confirmedAt = now
		rn.progressAt = now
	}
	if reported.Progress != rn.progress {
		rn.progress = reported.Progress
		rn.progressAt = now
	}
	rn.load = reported.Load
	tk := rn.task
	if tk == nil {
		al.stop(now, rn)
		return
	}
	if reported.Checkpoint != "" {
		tk.checkpoint = reported.Checkpoint
	}
}

// isAtWork reports whether a long-running task serves, as far as is known: of a
// silent worker nothing is.
func isAtWork(rn *run) bool {
	return rn != nil && rn.state == runRunning && !rn.isStopping && rn.progress >= 100 && !rn.worker.isSilent
}

// adopt takes over a run that an earlier holder has started. A run whose task
// is done, runs elsewhere or belongs to no live job has no task.
func (al *Allocator) adopt(now time.Time, wk *worker, reported modeller.Run) *run {
	rn := &run{
		name:        reported.Task,
		attempt:     reported.Attempt,
		worker:      wk,
		state:       runRunning,
		sentAt:      now,
		confirmedAt: now,
		progressAt:  now,
		progress:    -1,
	}
	// An earlier holder may have changed the run's pace.
	rn.pacing.reduction = paceUnknown
	// What a run of an unknown job holds is unknown as well.
	rn.occupies = wk.info.Capacity
	tk := al.reportedTask(now, reported.Task)
	if tk != nil {
		rn.occupies = tk.step.spec.ReservedResources()
		tk.attempt = max(tk.attempt, reported.Attempt)
	}
	isWanted := tk != nil && !tk.isDone && tk.run == nil && tk.step.job.outcome == "" && !tk.step.job.isCancelled
	if isWanted {
		rn.task = tk
		al.attach(tk, rn)
		al.note(LogEntry{Message: "run adopted", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "listed by its worker"})
	} else {
		al.note(LogEntry{Message: "run not wanted", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "listed by its worker"})
	}
	wk.addRun(rn)
	return rn
}

// missing settles a run that a worker doesn't list, in the answer to a poll
// that was sent at a time.
func (al *Allocator) missing(now time.Time, rn *run, pollSentAt time.Time) {
	switch {
	case !rn.stoppedAt.IsZero() && pollSentAt.After(rn.stoppedAt):
		al.loseRun(now, rn, "stopped before it was carried out")
	case rn.state == runRunning && pollSentAt.After(rn.confirmedAt):
		// A run that was there and is neither listed nor ended can't be
		// explained by an order; the stop makes sure that it is gone.
		al.stop(now, rn)
	case rn.state == runDoubtful && pollSentAt.After(rn.sentAt):
		al.stop(now, rn)
	}
}

// end takes in an end that a worker lists.
func (al *Allocator) end(now time.Time, wk *worker, end modeller.End) {
	if end.Number <= wk.processedEnd {
		return
	}
	wk.processedEnd = end.Number
	if rn := wk.runs[end.Task]; rn != nil && rn.attempt == end.Attempt {
		wk.removeRun(rn)
	}
	tk := al.reportedTask(now, end.Task)
	if tk == nil {
		return
	}
	tk.attempt = max(tk.attempt, end.Attempt)
	tk.endedAttempt = max(tk.endedAttempt, end.Attempt)
	jb := tk.step.job
	switch end.Kind {
	case modeller.EndDone:
		al.noteSuccess(wk)
		al.finish(now, tk, wk, end)
	case modeller.EndFailed:
		if !slices.Contains(tk.failed, end.Attempt) {
			tk.failed = append(tk.failed, end.Attempt)
			al.noteFailure(now, wk, tk)
		}
	default:
	}
	if end.Checkpoint != "" && end.Kind != modeller.EndDone {
		tk.checkpoint = end.Checkpoint
	}
	if rn := tk.run; rn != nil && rn.worker == wk && rn.attempt == end.Attempt {
		al.release(now, tk, "ended "+string(end.Kind))
	}
	al.touch(jb)
	al.settleJob(now, jb)
}

// finish completes a task, and all members of a gang by the end of one.
func (al *Allocator) finish(now time.Time, tk *task, wk *worker, end modeller.End) {
	al.note(LogEntry{Message: "task done", Task: tk.name.String(), Worker: wk.info.ID, Attempt: end.Attempt, Reason: "listed by its worker"})
	members := []*task{tk}
	if tk.step.spec.IsGang {
		members = tk.step.tasks
	}
	for _, member := range members {
		al.complete(now, member)
		if rn := member.run; rn != nil && (rn.worker != wk || rn.attempt != end.Attempt) && !tk.step.spec.IsGang {
			al.stop(now, rn)
		}
	}
}

func (al *Allocator) noteSuccess(wk *worker) {
	clear(wk.failedJobs)
}

// noteFailure keeps the task away from the worker, and the worker from work
// once jobs fail there one after the other. A job that has failed elsewhere
// says nothing about the worker.
func (al *Allocator) noteFailure(now time.Time, wk *worker, tk *task) {
	tk.avoid(now, wk)
	al.note(LogEntry{Message: "task failed", Task: tk.name.String(), Worker: wk.info.ID, Attempt: tk.attempt, Reason: "listed by its worker"})
	if len(tk.failed) > 1 || tk.step.spec.IsLongRunning {
		return
	}
	wk.failedJobs[tk.name.Job] = struct{}{}
	if len(wk.failedJobs) >= quarantineFailures {
		wk.quarantinedUntil = now.Add(quarantineTime)
		al.note(LogEntry{Message: "worker under quarantine", Worker: wk.info.ID, Reason: "jobs failed one after the other"})
	}
}

func (al *Allocator) pollFailed(now time.Time, ev PollFailed) {
	wk := al.workers[ev.Worker]
	if wk == nil {
		return
	}
	wk.isPolling = false
	wk.isSilent = true
	wk.pollAt = now.Add(min(pollRetry<<wk.failedPolls, maxPollRetry))
	wk.failedPolls = min(wk.failedPolls+1, maxPollDoublings)
	wk.suspectUntil = now.Add(reportFreshness)
	if ev.Outcome == Replaced {
		for _, rn := range wk.runsInOrder() {
			al.loseRun(now, rn, "another worker is at the address")
		}
		al.endLife(now, wk, "another worker is at the address")
	}
}

// startEnded takes in what became of a start.
func (al *Allocator) startEnded(now time.Time, ev StartResult) {
	wk := al.workers[ev.Worker]
	if wk == nil {
		return
	}
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt || rn.state != runStarting {
		return
	}
	switch ev.Outcome {
	case Accepted:
		rn.state = runRunning
		rn.confirmedAt = now
		rn.progressAt = now
	case Unanswered:
		rn.state = runDoubtful
		rn.sentAt = now
		wk.suspectUntil = now.Add(pollRetry)
		al.note(LogEntry{Message: "start in doubt", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no answer"})
	default:
		al.startRefused(now, rn, ev.Outcome)
	}
}

// startRefused makes a task wait again whose start has surely had no effect.
func (al *Allocator) startRefused(now time.Time, rn *run, outcome Outcome) {
	wk, tk := rn.worker, rn.task
	switch outcome {
	case Outdated:
		if tk != nil {
			tk.attempt += outdatedStep
		}
	case NotSent, Unhealthy, Replaced:
		wk.suspectUntil = now.Add(orderRepeat)
	case BadTicket:
		if tk != nil {
			delete(tk.step.tickets, wk.info.ID)
		}
	case Late, Full:
		wk.suspectUntil = now.Add(retryPause)
	default:
		if tk != nil {
			tk.notBefore = now.Add(orderRepeat)
		}
	}
	al.loseRun(now, rn, "start refused: "+outcome.String())
}

// outdatedStep is by how much the attempt rises when a worker has seen a
// higher one that isn't known here.
const outdatedStep = 4

func (al *Allocator) stopEnded(now time.Time, ev StopResult) {
	wk := al.workers[ev.Worker]
	if wk == nil {
		return
	}
	isRefusedLater := ev.Outcome == Accepted || ev.Outcome == Outdated
	if isRefusedLater && wk.unsettled[ev.Task] == ev.Attempt {
		delete(wk.unsettled, ev.Task)
	}
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt {
		return
	}
	if isRefusedLater && rn.stoppedAt.IsZero() {
		rn.stoppedAt = now
	}
}

// stop decides that a run is to end. The order is repeated until it has.
func (al *Allocator) stop(now time.Time, rn *run) {
	if rn.isStopping && now.Sub(rn.stopSentAt) < orderRepeat {
		return
	}
	rn.isStopping = true
	rn.stopSentAt = now
	al.orders = append(al.orders, StopOrder{
		Worker:  rn.worker.info,
		Task:    rn.name,
		Attempt: rn.attempt,
	})
}

// repeatStops sends stops again that have had no effect.
func (al *Allocator) repeatStops(now time.Time) {
	for _, wk := range al.inOrder() {
		for _, rn := range wk.runsInOrder() {
			if rn.isStopping && now.Sub(rn.stopSentAt) >= orderRepeat {
				al.stop(now, rn)
			}
		}
	}
}

// String returns the outcome's name.
func (oc Outcome) String() string {
	names := [...]string{"accepted", "unanswered", "not sent", "fenced", "outdated", "late", "full", "bad ticket", "replaced", "unhealthy", "malformed", "busy"}
	if int(oc) < len(names) {
		return names[oc]
	}
	return "unknown"
}
