package allocator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// worker is the scheduler's state of a worker.
type worker struct {
	// info is the believed entry of the directory or the roster. unmatched is the
	// latest entry of the directory if it is not believed, or nil.
	info      modeller.Worker
	unmatched *modeller.Worker
	// address is where the next orders go. polledAddress is where the last poll went,
	// and usedAddress where the worker has reported or an earlier holder has used it.
	// It is invalid if there is none.
	address, polledAddress, usedAddress netip.AddrPort
	// isListed is true while the directory lists the worker.
	isListed bool
	// takenDownAt is when an order to take down the worker's VM was accepted, or zero
	// once the directory or the list of VMs has shown what became of the worker.
	takenDownAt time.Time
	// isRostered is true once the stored roster contains the worker with its
	// present pool and address. This has to precede its first start, because a
	// later holder waits for the workers of the roster.
	isRostered bool
	// isOnRoster is true once the stored roster contains the worker, wherever it is.
	isOnRoster bool
	// isSynced is true once the present incarnation has reported its runs under
	// the current fencing token.
	isSynced bool
	// hasNeverAnswered is true from the first failed poll of a worker that has not
	// reported yet until it does.
	hasNeverAnswered bool
	// incarnation counts the incarnations that have ended.
	incarnation int
	// generation is that of the next orders. The worker refuses those of an earlier one
	// once it has got one of this generation. polledGeneration is that of the last poll.
	generation, polledGeneration int
	// syncedAt is when the present incarnation first reported.
	syncedAt time.Time
	// startedAtMS is the Unix millisecond at which the reporting incarnation
	// started.
	startedAtMS int64
	// mayHoldOldRuns is true for a worker of an earlier holder's roster, until it
	// has reported.
	mayHoldOldRuns bool
	// reportedAt is when the last report arrived.
	reportedAt time.Time
	// clock is the worker's own clock at clockAt, and leaseEnd the end of its
	// lease by that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// clockLimit is the greatest possible reading of the clock at clockLimitAt.
	clockLimit   time.Duration
	clockLimitAt time.Time
	// strayLeaseExpiry is when a lease has ended that the present incarnation may have
	// got by orders for the one before.
	strayLeaseExpiry time.Time
	// isSettled is true once the present incarnation has no longer lease than a holder
	// grants. inherited is the incarnation of which earlier holders have recorded that.
	isSettled bool
	inherited modeller.Incarnation
	// isUnresponsive is true if the last poll got no report. failedPolls counts
	// the consecutive failed polls.
	isUnresponsive bool
	failedPolls    int
	// isPollInFlight is true while a poll is in flight. The next poll is due at
	// pollAt. polledAt is when the last poll was ordered, and failedPollAt when
	// the last of those was ordered that got no report.
	isPollInFlight                 bool
	pollAt, polledAt, failedPollAt time.Time
	// polledLeaseEnd is the end of the lease in the last poll, and polledAck the number of
	// the last end that it acknowledged, or zero.
	polledLeaseEnd time.Duration
	polledAck      int64
	// repeatInterval is the time from a report with unstored ends to the next
	// poll if the ends are not stored earlier.
	repeatInterval time.Duration
	// runs are all runs that hold capacity, and used is the sum of what they
	// hold.
	runs map[modeller.TaskName]*run
	used modeller.Resources
	// teams accounts the runs against the caps of their teams.
	teams *teamUsage
	// unknownDemands counts the runs that hold the whole worker.
	unknownDemands int
	// neighbours counts the runs by what they mean for other runs.
	neighbours neighbourCounts
	// lastProcessedEnd, lastStoredEnd and lastAckedEnd are the numbers of the last end
	// that was processed, of the last that was stored, and of the last whose
	// acknowledgement was answered.
	lastProcessedEnd, lastStoredEnd, lastAckedEnd int64
	// owesAckSince is since when the worker has had stored ends to be acknowledged, or
	// zero.
	owesAckSince time.Time
	// unstoredEnds are the ends after lastStoredEnd, in order.
	unstoredEnds []unstoredEnd
	// failedJobs are the jobs that have failed on this worker since its last
	// success.
	failedJobs       map[modeller.JobID]struct{}
	quarantinedUntil time.Time
	// suspectUntil is the time until which the worker gets no starts after an
	// unanswered or refused order.
	suspectUntil time.Time
	// isCordoned is true while the worker is evacuated for a move or
	// maintenance.
	isCordoned bool
	// stalledSince is since when the worker's evacuation keeps tasks waiting, or zero.
	// Once it has been given up, the worker isn't evacuated before evacuableFrom.
	stalledSince, evacuableFrom time.Time
	// isVacating is true while the worker gets no tasks since another pool needs
	// its VM.
	isVacating bool
}

// setNeverAnswered removes a worker from the roster, or adds it again. The entry of a
// worker that has never answered may be another writer's. It gets no starts, and a
// later holder would wait for it in vain.
func (al *Allocator) setNeverAnswered(wk *worker, hasNeverAnswered bool) {
	if wk.hasNeverAnswered != hasNeverAnswered {
		wk.hasNeverAnswered = hasNeverAnswered
		al.isRosterDirty = true
	}
}

// leaseExpiry returns the time until which runs may continue on an unresponsive
// worker.
func (al *Allocator) leaseExpiry(wk *worker) time.Time {
	expiry := wk.strayLeaseExpiry
	isLeaseKnown := !wk.clockAt.IsZero() && wk.leaseEnd > 0
	if isLeaseKnown {
		expiry = latest(expiry, wk.clockAt.Add(maxElapsed(max(wk.leaseEnd-wk.clock, 0))+leaseMargin))
	}
	if !isLeaseKnown || wk.mayHoldOldRuns {
		expiry = latest(expiry, al.oldRunsExpiry())
	}
	return expiry
}

func latest(at, other time.Time) time.Time {
	if other.After(at) {
		return other
	}
	return at
}

// minClock returns the least possible reading of a worker's own clock at a time, unless
// it starts again.
func (wk *worker) minClock(at time.Time) time.Duration {
	return wk.clock + leastAdvance(at.Sub(wk.clockAt)) - clockRounding
}

// isPossibleClock reports whether the incarnation that has reported may have read its
// clock between two times.
func (wk *worker) isPossibleClock(clock time.Duration, from, to time.Time) bool {
	return clock >= wk.minClock(from) && clock <= wk.maxClock(to)+clockRounding
}

// maxClock returns the greatest possible reading of a worker's own clock at a time,
// unless it starts again. The clocks of holder and worker may differ either way.
func (wk *worker) maxClock(at time.Time) time.Duration {
	return wk.clockLimit - leastAdvance(wk.clockLimitAt.Sub(at))
}

// leastAdvance returns by how much a clock advances at least in a time, which may be
// negative.
func leastAdvance(elapsed time.Duration) time.Duration {
	if elapsed < 0 {
		return time.Duration(float64(elapsed) * (1 + clockDrift))
	}
	return time.Duration(float64(elapsed) * (1 - clockDrift))
}

// limitClock updates the greatest possible reading after a report: the clock showed at
// most the reported reading when the poll was sent.
func (wk *worker) limitClock(ev ReportReceived) {
	if !wk.isSynced || ev.Report.Clock < wk.maxClock(ev.SentAt) {
		wk.clockLimit = ev.Report.Clock
		wk.clockLimitAt = ev.SentAt
	}
}

// addressee returns the worker as the receiver of orders: the incarnation that has
// reported, or any if none has.
func (wk *worker) addressee() modeller.Worker {
	info := wk.info
	info.Address = wk.address
	info.StartedAtMS = 0
	if wk.isSynced {
		info.StartedAtMS = wk.startedAtMS
	}
	info.Generation = wk.generation
	return info
}

// isEligible reports whether a worker may get a start now.
func (al *Allocator) isEligible(now time.Time, wk *worker) bool {
	return wk.isOpen() &&
		now.Sub(wk.reportedAt) < maxReportAge && !al.isQuarantined(now, wk) && !now.Before(wk.suspectUntil) &&
		wk.leaseEnd > 0 && al.estimateClock(now, wk) < wk.leaseEnd && !wk.isAcknowledging(now) && al.isFenced(now, wk) && !al.fleet.hasPendingTakedown(wk.info.VM)
}

// isQuarantined reports whether a worker gets no work because of its failures.
func (al *Allocator) isQuarantined(now time.Time, wk *worker) bool {
	if !now.Before(wk.quarantinedUntil) {
		return false
	}
	return now.Before(wk.quarantinedUntil.Add(shortQuarantineTime-quarantineTime)) ||
		slices.ContainsFunc(al.workers.byPool[wk.info.Pool], func(other *worker) bool {
			return !now.Before(other.quarantinedUntil) && other.isOpen() && now.Sub(other.reportedAt) < maxReportAge
		})
}

// isOpen reports whether a worker is meant to get tasks.
func (wk *worker) isOpen() bool {
	return wk.isListed && wk.isDescribed() && wk.isRostered && wk.isSynced && !wk.info.IsDraining && !wk.isCordoned && !wk.isVacating
}

// isFenced reports whether a later holder would wait for a worker before it
// starts the tasks that this holder may start there. While the duty isn't
// confirmed, that is so only for incarnations from before: a later holder may
// know of ends of the incarnation before, and a new one knows no fencing token.
func (al *Allocator) isFenced(now time.Time, wk *worker) bool {
	return al.isConfirmed(now) || !wk.syncedAt.After(al.confirmedAt)
}

// estimateClock estimates the present time of a worker's own clock.
func (al *Allocator) estimateClock(now time.Time, wk *worker) time.Duration {
	return wk.clock + now.Sub(wk.clockAt)
}

// endIncarnation ends the incarnation of a worker that is known to be over. The runs that
// it has reported are dropped. Others may be runs of the next incarnation, to whose
// first report they are left.
func (al *Allocator) endIncarnation(now time.Time, wk *worker, reason string) {
	for _, rn := range wk.sortedRuns() {
		if rn.state == runRunning && rn.isReported {
			al.dropRun(now, rn, reason)
		}
	}
	al.suspectIncarnation(now, wk, reason)
}

// suspectIncarnation resets the state of a worker of which another incarnation may have
// answered. Its runs are left to the next report.
func (al *Allocator) suspectIncarnation(now time.Time, wk *worker, reason string) {
	for _, rn := range wk.runs {
		if rn.state == runRunning {
			rn.state = runUnconfirmed
			rn.sentAt = now
		}
	}
	wk.strayLeaseExpiry = now.Add(al.maxLeaseTime())
	// The next incarnation may have the start time that the roster has as settled.
	al.isRosterDirty = al.isRosterDirty || wk.isSettled
	al.resetIncarnation(wk, reason)
}

// resetIncarnation resets what is known of the incarnation of a worker. The next report
// is that of another one, or shows the worker as if it were.
func (al *Allocator) resetIncarnation(wk *worker, reason string) {
	wk.isSynced = false
	wk.isSettled = false
	wk.inherited = modeller.Incarnation{}
	wk.isVacating = false
	wk.incarnation++
	wk.generation++
	wk.mayHoldOldRuns = false
	wk.lastProcessedEnd = 0
	wk.lastStoredEnd = 0
	wk.lastAckedEnd = 0
	wk.owesAckSince = time.Time{}
	wk.unstoredEnds = nil
	wk.leaseEnd = 0
	wk.startedAtMS = 0
	wk.failedJobs = map[modeller.JobID]struct{}{}
	wk.quarantinedUntil = time.Time{}
	if !wk.isBound() {
		al.releaseEntry(wk)
	}
	al.log(LogEntry{Message: "worker incarnation ended", Worker: wk.info.ID, Reason: reason})
}

// expireLeases drops the runs of unresponsive workers whose leases have
// certainly expired. The duty has to have been confirmed since then: a later
// holder may reach a worker that this one can't, and extend its lease. A poll
// has to have failed since then, too: the worker may still report that a run
// was done before the lease expired.
func (al *Allocator) expireLeases(now time.Time) {
	var gone []*worker
	for _, wk := range al.workers.sorted {
		expiry := al.leaseExpiry(wk)
		if now.Sub(wk.reportedAt) < maxReportAge || !now.After(expiry) {
			continue
		}
		if len(wk.runs) > 0 && !wk.polledAt.After(expiry) {
			wk.pollAt = now
		}
		if !al.confirmedAt.After(expiry) || len(wk.runs) > 0 && !wk.failedPollAt.After(expiry) {
			continue
		}
		al.expireRuns(now, wk, expiry)
		wk.mayHoldOldRuns = false
		if !wk.isListed && wk.takenDownAt.IsZero() && !wk.isPollInFlight && len(wk.runs) == 0 {
			gone = append(gone, wk)
		}
	}
	for _, wk := range gone {
		al.workers.remove(wk)
		al.isRosterDirty = true
		if wk.generation > 0 {
			al.forgottenGenerations[wk.info.ID] = wk.generation
		}
	}
}

// expireRuns drops the runs of a worker whose lease has ended. Unconfirmed ones are kept
// until the longest lease has passed.
func (al *Allocator) expireRuns(now time.Time, wk *worker, expiry time.Time) {
	isOver := wk.isSynced
	for _, rn := range wk.sortedRuns() {
		if rn.state != runRunning {
			if doubt := al.doubtExpiry(rn); !al.confirmedAt.After(doubt) || !wk.failedPollAt.After(doubt) {
				continue
			}
		}
		al.dropRun(now, rn, "worker lease expired")
		isOver = true
	}
	if !isOver {
		return
	}
	al.resetIncarnation(wk, fmt.Sprintf("unresponsive until its lease expired; last report %s ago, lease counted until %s ago", now.Sub(wk.reportedAt), now.Sub(expiry)))
}

// pollWorkers orders the polls that are due. It waits until all records are
// loaded, since earlier reports would show runs of jobs that are not known yet.
func (al *Allocator) pollWorkers(now time.Time) {
	if !al.isLoaded {
		return
	}
	for _, wk := range al.workers.sorted {
		isGone := !wk.isListed && !wk.isSynced && !wk.mayHoldOldRuns && len(wk.runs) == 0
		if wk.isPollInFlight || now.Before(wk.pollAt) || isGone || wk.awaitsStorage(now) {
			continue
		}
		po := PollOrder{
			Worker: wk.addressee(),
		}
		if wk.isSynced {
			po.ProcessedEnds = wk.lastProcessedEnd
			// A poll without an answer may still extend the lease, so the lease of an
			// unresponsive worker is left to expire. The next incarnation may answer it,
			// by whose clock the end of the lease is far away.
			// A later holder awaits the leases of workers on the roster only.
			if !wk.isUnresponsive && wk.isOnRoster {
				if wk.leaseEnd == 0 {
					al.changes.note(wk.info.Pool)
				}
				wk.leaseEnd = max(wk.leaseEnd, al.estimateClock(now, wk)+al.bounds.RunLease)
				po.LeaseEnd = wk.leaseEnd
				po.Wait = al.bounds.PollWait
			}
			if wk.canAcknowledge() {
				po.AcknowledgedEnds = wk.lastStoredEnd
				po.Wait = 0
			}
		}
		wk.isPollInFlight = true
		wk.polledAt = now
		wk.polledAddress = wk.address
		wk.polledLeaseEnd = po.LeaseEnd
		wk.polledAck = po.AcknowledgedEnds
		wk.polledGeneration = wk.generation
		al.orders = append(al.orders, po)
	}
}

// awaitsStorage reports whether a poll of the worker is better sent after ends
// are stored and can be acknowledged: until then a worker answers at once and repeats
// them.
func (wk *worker) awaitsStorage(now time.Time) bool {
	return wk.leaseEnd > 0 && wk.repeatsEnds() && now.Before(wk.reportedAt.Add(wk.repeatInterval))
}

// repeatsEnds reports whether the worker's next report repeats ends.
func (wk *worker) repeatsEnds() bool {
	return len(wk.unstoredEnds) > 0 || wk.owesAcknowledgement() && !wk.canAcknowledge()
}

func (wk *worker) owesAcknowledgement() bool { return wk.lastStoredEnd > wk.lastAckedEnd }

// canAcknowledge reports whether the next poll may acknowledge ends. The next
// incarnation may get that poll instead, and discards ends of its own that it numbers
// alike. So it must not have any by then that no report has shown: no start is on its
// way, and none is sent until the poll, which doesn't wait for further ends, is answered.
func (wk *worker) canAcknowledge() bool {
	return wk.owesAcknowledgement() && !wk.isUnresponsive && !wk.hasStartInDoubt()
}

// hasStartInDoubt reports whether a start isn't known to be carried out by the
// incarnation that it was meant for.
func (wk *worker) hasStartInDoubt() bool {
	for _, rn := range wk.runs {
		if rn.state != runRunning {
			return true
		}
	}
	return false
}

// isAcknowledging reports whether starts have to wait for an acknowledgement of ends.
func (wk *worker) isAcknowledging(now time.Time) bool {
	isOverdue := !wk.owesAckSince.IsZero() && now.Sub(wk.owesAckSince) >= maxAcknowledgementDelay
	return wk.isPollInFlight && wk.polledAck > 0 || isOverdue
}

// noteAcknowledged records the end that a poll with an answer has acknowledged.
func (wk *worker) noteAcknowledged(now time.Time) {
	if wk.polledAck <= wk.lastAckedEnd {
		return
	}
	wk.lastAckedEnd = wk.polledAck
	wk.owesAckSince = time.Time{}
	if wk.owesAcknowledgement() {
		wk.owesAckSince = now
	}
}

// Roster returns the workers that may have runs.
func (al *Allocator) Roster(now time.Time) []modeller.RosterEntry {
	roster := make([]modeller.RosterEntry, 0, len(al.workers.sorted))
	for _, wk := range al.workers.sorted {
		if !wk.hasNeverAnswered {
			roster = append(roster, modeller.RosterEntry{
				Worker:  wk.info,
				Settled: al.settledIncarnation(now, wk),
			})
		}
	}
	return roster
}
