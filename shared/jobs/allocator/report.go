package allocator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// handleReport handles a worker's answer to a poll.
func (al *Allocator) handleReport(now time.Time, ev ReportReceived) {
	wk := al.workers.byID[ev.Worker]
	if wk == nil {
		return
	}
	al.reports++
	if !al.isEligible(now, wk) {
		al.changes.note(wk.info.Pool)
	}
	wk.isPollInFlight = false
	wk.pollAt = now.Add(minPollInterval)
	if wk.polledGeneration != wk.generation {
		// Orders of the generation before may take effect after this report.
		wk.pollAt = now
		return
	}
	if wk.isSynced && !wk.isOf(ev) {
		// Start times don't tell which incarnation is the later one, since a worker's
		// wall clock may jump. A poll that was sent after a report of one is answered by
		// that one or by a later one.
		if ev.SentAt.Before(wk.reportedAt) {
			return
		}
		reason := fmt.Sprintf("report has start time %d, not %d, and clock %s, not from %s to %s; polled with lease end %s, at most %d ends acknowledged",
			ev.Report.StartedAtMS, wk.startedAtMS, ev.Report.Clock, wk.minClock(ev.SentAt), wk.maxClock(ev.ReceivedAt), wk.polledLeaseEnd, wk.lastStoredEnd)
		if ev.Report.StartedAtMS == wk.startedAtMS {
			al.suspectIncarnation(now, wk, reason)
		} else {
			al.endIncarnation(now, wk, reason)
		}
		wk.pollAt = now
		return
	}
	wk.limitClock(ev)
	if wk.clockAt.IsZero() || !wk.isSynced || ev.Report.Clock > wk.clock {
		wk.clock = ev.Report.Clock
		wk.clockAt = ev.ReceivedAt
	}
	isFirst := !wk.isSynced
	wk.isSynced = true
	wk.startedAtMS = ev.Report.StartedAtMS
	wk.confirmAddress()
	al.matchEntry(wk)
	if isFirst {
		wk.pollAt = now
		wk.syncedAt = now
		al.limitEarlierLease(now, wk)
		al.setNeverAnswered(wk, false)
		if !wk.isDescribed() {
			al.log(LogEntry{Message: "worker awaits its entry", Worker: wk.info.ID, Reason: "the directory's entry is that of another incarnation"})
		}
		al.endTakenDownWorkers(al.workers.byVM[wk.info.VM])
	}
	wk.mayHoldOldRuns = false
	wk.noteAcknowledged(now)
	wk.reportedAt = ev.ReceivedAt
	wk.isUnresponsive = false
	wk.failedPolls = 0
	wk.suspectUntil = time.Time{}
	if wk.repeatsEnds() {
		wk.repeatInterval = min(2*wk.repeatInterval, al.bounds.PollWait)
	} else {
		wk.repeatInterval = unstoredPollInterval
	}
	for _, end := range ev.Report.Ended {
		al.handleEnd(now, wk, end)
	}
	if len(wk.unstoredEnds) > 0 {
		al.unacknowledged[wk] = struct{}{}
	}
	reportedAttempts := make(map[modeller.TaskName]int, len(ev.Report.Running))
	for _, reported := range ev.Report.Running {
		reportedAttempts[reported.Task] = reported.Attempt
		al.reconcileRun(now, wk, reported)
	}
	if ev.Report.HasMoreEnds {
		return
	}
	isMissing := func(rn *run) bool {
		attempt, ok := reportedAttempts[rn.name]
		return !ok || attempt != rn.attempt
	}
	for _, rn := range wk.sortedRunsWith(isMissing) {
		al.reconcileMissingRun(now, rn, ev.SentAt)
	}
}

// isOf reports whether a report is one of the incarnation that has reported before.
func (wk *worker) isOf(ev ReportReceived) bool {
	return ev.Report.StartedAtMS == wk.startedAtMS && wk.isPossibleClock(ev.Report.Clock, ev.SentAt, ev.ReceivedAt)
}

// reconcileRun updates or adopts a run that a worker reports as running.
func (al *Allocator) reconcileRun(now time.Time, wk *worker, reported modeller.Run) {
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
	rn.isReported = true
	rn.generation = wk.generation
	if reported.Progress != rn.progress {
		rn.progress = reported.Progress
		rn.progressAt = now
	}
	rn.load = reported.Load
	tk := rn.task
	if tk == nil {
		al.stopRun(now, rn)
		return
	}
	tk.step.job.hasStarted = true
	if reported.Checkpoint != "" {
		tk.checkpoint = reported.Checkpoint
	}
}

// isAvailable reports whether the run of a long-running task is known to be
// serving. Runs on an unresponsive worker are not.
func isAvailable(rn *run) bool {
	return rn != nil && rn.state == runRunning && !rn.isStopping && rn.progress >= 100 && !rn.worker.isUnresponsive
}

// adopt adds a reported run that an earlier holder has started. The run is
// orphaned, with no task, if its task is done, has another run or belongs to no
// live job.
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
	rn.pacing.reduction = unknownReduction
	tk := al.taskForReport(now, reported.Task)
	if tk != nil {
		rn.reserved = tk.step.reserved
		tk.attempt = max(tk.attempt, reported.Attempt)
	} else {
		rn.hasUnknownDemand = true
	}
	isWanted := tk != nil && !tk.isDone && tk.run == nil && tk.step.job.outcome == "" && !tk.step.job.isCancelled
	if isWanted {
		rn.task = tk
		al.assignRun(tk, rn)
		al.log(LogEntry{Message: "run adopted", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "reported by its worker"})
	} else {
		al.chargeOrphan(rn)
		al.log(LogEntry{Message: "orphaned run reported", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "reported by its worker"})
	}
	wk.addRun(rn)
	return rn
}

// reconcileMissingRun handles a run that is missing from the answer to a poll
// sent at pollSentAt.
func (al *Allocator) reconcileMissingRun(now time.Time, rn *run, pollSentAt time.Time) {
	switch {
	case rn.state != runRunning && rn.generation != rn.worker.generation:
		// The worker refuses orders of an earlier generation since the poll.
		al.dropRun(now, rn, "not carried out before another incarnation was polled")
	case !rn.stopAckedAt.IsZero() && pollSentAt.After(rn.stopAckedAt):
		al.dropRun(now, rn, "stopped before it started")
	case rn.state == runRunning && pollSentAt.After(rn.confirmedAt):
		// No order explains a running run that is neither reported nor ended;
		// the stop ensures that it no longer runs.
		al.stopRun(now, rn)
	case rn.state == runUnconfirmed && pollSentAt.After(rn.sentAt):
		al.stopRun(now, rn)
	}
}

// handleEnd handles the end of a run that a worker reports.
func (al *Allocator) handleEnd(now time.Time, wk *worker, end modeller.End) {
	if end.Number <= wk.lastProcessedEnd {
		al.repeatedEnds++
		return
	}
	wk.lastProcessedEnd = end.Number
	if rn := wk.runs[end.Task]; rn != nil && rn.attempt == end.Attempt {
		wk.removeRun(rn)
		al.changes.note(wk.info.Pool)
	}
	tk := al.taskForReport(now, end.Task)
	if tk == nil {
		wk.unstoredEnds = append(wk.unstoredEnds, unstoredEnd{
			number: end.Number,
		})
		return
	}
	tk.attempt = max(tk.attempt, end.Attempt)
	tk.endedAttempt = max(tk.endedAttempt, end.Attempt)
	jb := tk.step.job
	jb.hasStarted = true
	switch end.Kind {
	case modeller.EndDone:
		al.recordSuccess(wk)
		// A long-running task runs until its job is cancelled.
		if !tk.step.spec.IsLongRunning {
			al.finishTask(now, tk, wk, end)
		}
	case modeller.EndFailed:
		if !slices.Contains(tk.failedAttempts, end.Attempt) {
			tk.addFailedAttempt(end.Attempt)
			al.recordFailure(now, wk, tk)
		}
	default:
	}
	if end.Checkpoint != "" && end.Kind != modeller.EndDone {
		tk.checkpoint = end.Checkpoint
	}
	if rn := tk.run; rn != nil && rn.worker == wk && rn.attempt == end.Attempt {
		al.requeue(now, tk, "ended "+string(end.Kind))
	}
	al.markDirty(jb)
	al.updateOutcome(now, jb)
	wk.unstoredEnds = append(wk.unstoredEnds, unstoredEnd{
		number:  end.Number,
		job:     jb,
		version: jb.version,
	})
}

// finishTask completes a task. The end of one member completes all tasks of a
// gang.
func (al *Allocator) finishTask(now time.Time, tk *task, wk *worker, end modeller.End) {
	al.log(LogEntry{Message: "task done", Task: tk.name.String(), Worker: wk.info.ID, Attempt: end.Attempt, Reason: "reported by its worker"})
	members := []*task{tk}
	if tk.step.spec.IsGang {
		members = tk.step.tasks
	}
	for _, member := range members {
		al.completeTask(now, member)
		if rn := member.run; rn != nil && (rn.worker != wk || rn.attempt != end.Attempt) && !tk.step.spec.IsGang {
			al.stopRun(now, rn)
		}
	}
}

func (al *Allocator) recordSuccess(wk *worker) {
	clear(wk.failedJobs)
}

// recordFailure makes the task avoid the worker, and quarantines the worker
// after consecutive failures of different jobs. A task that has failed before
// does not count, since the cause may be the task itself.
func (al *Allocator) recordFailure(now time.Time, wk *worker, tk *task) {
	tk.avoid(now, wk)
	al.log(LogEntry{Message: "task failed", Task: tk.name.String(), Worker: wk.info.ID, Attempt: tk.attempt, Reason: "reported by its worker"})
	if len(tk.failedAttempts) > 1 || tk.step.spec.IsLongRunning {
		return
	}
	wk.failedJobs[tk.name.Job] = struct{}{}
	if len(wk.failedJobs) >= quarantineThreshold {
		wk.quarantinedUntil = now.Add(quarantineTime)
		al.log(LogEntry{Message: "worker quarantined", Worker: wk.info.ID, Reason: "consecutive failures of different jobs"})
	}
}

func (al *Allocator) handlePollFailed(now time.Time, ev PollFailed) {
	wk := al.workers.byID[ev.Worker]
	if wk == nil {
		return
	}
	wk.isPollInFlight = false
	if wk.polledGeneration != wk.generation {
		wk.pollAt = now.Add(minPollInterval)
		return
	}
	if wk.polledAck > 0 && ev.Outcome != NotSent {
		// The acknowledgement may take effect later, also at the next incarnation. The
		// worker refuses it once it has got an order of another generation.
		wk.generation++
	}
	switch ev.Outcome {
	case KeeperLost:
		wk.pollAt = now.Add(minPollInterval)
		return
	case Restarted:
		wk.pollAt = now.Add(minPollInterval)
		if wk.isSynced {
			al.endIncarnation(now, wk, "another incarnation answers")
		}
		return
	default:
	}
	if wk.clockAt.IsZero() && !wk.mayHoldOldRuns {
		al.setNeverAnswered(wk, true)
	}
	hasUsed := wk.hasUsed(wk.polledAddress)
	if hasUsed {
		wk.failedPollAt = wk.polledAt
	}
	wk.address = wk.nextAddress()
	wk.isUnresponsive = true
	wk.pollAt = now.Add(min(pollBackoff<<wk.failedPolls, maxPollBackoff))
	wk.failedPolls = min(wk.failedPolls+1, maxPollDoublings)
	wk.suspectUntil = now.Add(maxReportAge)
	if ev.Outcome == Replaced && hasUsed {
		for _, rn := range wk.sortedRuns() {
			al.dropRun(now, rn, "another worker answers at its address")
		}
		al.endIncarnation(now, wk, "another worker answers at its address")
	}
}

// handleStartResult handles the result of a start order.
func (al *Allocator) handleStartResult(now time.Time, ev StartResult) {
	wk := al.workers.byID[ev.Worker]
	if wk == nil {
		return
	}
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt || rn.state != runStarting {
		return
	}
	switch ev.Outcome {
	case Accepted:
		if rn.task != nil {
			rn.task.step.job.hasStarted = true
		}
		if rn.generation == wk.generation && ev.Clock > 0 && !wk.isPossibleClock(ev.Clock, rn.sentAt, now) {
			al.suspectIncarnation(now, wk, fmt.Sprintf("a start was accepted by another incarnation, clock %s, not from %s to %s", ev.Clock, wk.minClock(rn.sentAt), wk.maxClock(now)))
		}
		if rn.generation != wk.generation || wk.unmatched != nil {
			rn.state = runUnconfirmed
			rn.sentAt = now
			return
		}
		rn.state = runRunning
		rn.confirmedAt = now
		rn.progressAt = now
	case Unanswered:
		rn.state = runUnconfirmed
		rn.sentAt = now
		wk.suspectUntil = now.Add(pollBackoff)
		al.log(LogEntry{Message: "start order unanswered", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no answer"})
	default:
		al.handleStartRefusal(now, rn, ev.Outcome)
	}
}

// handleStartRefusal requeues a task whose start has certainly had no effect.
func (al *Allocator) handleStartRefusal(now time.Time, rn *run, outcome Outcome) {
	wk, tk := rn.worker, rn.task
	switch outcome {
	case Outdated:
		if tk != nil {
			tk.attempt += outdatedAttemptStep
		}
	case NotSent, Unhealthy, Replaced:
		wk.suspectUntil = now.Add(orderRetryInterval)
	case Restarted:
		if rn.generation == wk.generation {
			al.endIncarnation(now, wk, "another incarnation answers")
		}
	case BadTicket:
		if tk != nil {
			tk.step.forgetPermission(wk)
		}
	case Late, Full:
		wk.suspectUntil = now.Add(refusalBackoff)
	default:
		if tk != nil {
			tk.notBefore = now.Add(orderRetryInterval)
		}
	}
	al.dropRun(now, rn, "start refused: "+outcome.String())
}

// outdatedAttemptStep is the increase of the attempt when a worker has seen a
// higher attempt than is known here.
const outdatedAttemptStep = 4

func (al *Allocator) handleStopResult(now time.Time, ev StopResult) {
	wk := al.workers.byID[ev.Worker]
	if wk == nil {
		return
	}
	isLaterStartRefused := ev.Outcome == Accepted || ev.Outcome == Outdated
	rn := wk.runs[ev.Task]
	if rn == nil || rn.attempt != ev.Attempt {
		return
	}
	if isLaterStartRefused && rn.stopAckedAt.IsZero() {
		rn.stopAckedAt = now
	}
}

// stopRun orders the stop of a run. The order is repeated until the run has
// ended.
func (al *Allocator) stopRun(now time.Time, rn *run) {
	if rn.isStopping && now.Sub(rn.stopSentAt) < orderRetryInterval {
		return
	}
	rn.isStopping = true
	rn.stopSentAt = now
	al.stopping[rn] = struct{}{}
	al.orders = append(al.orders, StopOrder{
		Worker:  rn.worker.addressee(),
		Task:    rn.name,
		Attempt: rn.attempt,
	})
}

// retryStops repeats stop orders of runs that have not ended.
func (al *Allocator) retryStops(now time.Time) {
	var due []*run
	for rn := range al.stopping {
		switch {
		case rn.worker.runs[rn.name] != rn:
			delete(al.stopping, rn)
		case now.Sub(rn.stopSentAt) >= orderRetryInterval && rn.canRepeatStop():
			due = append(due, rn)
		}
	}
	slices.SortFunc(due, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.worker.info.ID, b.worker.info.ID), a.name.Compare(b.name))
	})
	for _, rn := range due {
		al.stopRun(now, rn)
	}
}

// canRepeatStop reports whether a stop may be ordered again. If it evicts a task that
// is still available, others of its step may have become unavailable since. The runs of a
// job that is over are not evicted.
func (rn *run) canRepeatStop() bool {
	tk := rn.task
	isEviction := tk != nil && tk.step.spec.IsLongRunning && !tk.step.job.isOver() && rn.progress >= 100
	return !isEviction || tk.step.canEvict(rn)
}

// String returns the outcome's name.
func (oc Outcome) String() string {
	names := [...]string{"accepted", "unanswered", "not sent", "fenced", "outdated", "late", "full", "bad ticket", "replaced", "unhealthy", "malformed", "busy", "keeper lost", "restarted"}
	if int(oc) < len(names) {
		return names[oc]
	}
	return "unknown"
}
