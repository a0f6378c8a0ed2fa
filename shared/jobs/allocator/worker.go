package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// worker is a worker as the scheduler knows it.
type worker struct {
	info modeller.Worker
	// isListed is true while it is in the directory.
	isListed bool
	// isRostered is true once the stored roster names it, which has to be before
	// its first start: a later holder waits for the workers that it names.
	isRostered bool
	// isSynced is true once its present life has reported under the fence.
	isSynced bool
	// bornMS is the Unix millisecond of the life that has reported.
	bornMS int64
	// mayHoldOldRuns is true until it has reported, for a worker from before.
	mayHoldOldRuns bool
	// reportedAt is when the last report came.
	reportedAt time.Time
	// clock is its clock as of clockAt, and leaseEnd the end of its lease by
	// that clock.
	clock    time.Duration
	clockAt  time.Time
	leaseEnd time.Duration
	// isSilent is true if the last poll got no report, and failedPolls counts
	// the polls since the last that did.
	isSilent    bool
	failedPolls int
	// isPolling is true while a poll is under way; the next is due at pollAt.
	isPolling bool
	pollAt    time.Time
	// runs are all runs that hold capacity, and used what they hold.
	runs map[modeller.TaskName]*run
	used modeller.Resources
	// unsettled are the attempts of starts without an answer that were given up
	// with the lease. The worker may still carry them out, so its lease isn't
	// extended until it has acknowledged a stop of each.
	unsettled map[modeller.TaskName]int
	// processedEnd and storedEnd are numbers of ends.
	processedEnd, storedEnd int64
	// failedJobs are the jobs that failed here since the last success.
	failedJobs       map[modeller.JobID]struct{}
	quarantinedUntil time.Time
	// settledAt is when stops of unsettled starts were last sent.
	settledAt time.Time
	// suspectUntil is until when it gets no work after an unanswered call.
	suspectUntil time.Time
	// isCordoned is true while the worker is emptied for a move or maintenance.
	isCordoned bool
}

func (al *Allocator) listWorker(now time.Time, info modeller.Worker) {
	wk, ok := al.workers[info.ID]
	if !ok {
		wk = &worker{
			runs:       map[modeller.TaskName]*run{},
			failedJobs: map[modeller.JobID]struct{}{},
			unsettled:  map[modeller.TaskName]int{},
		}
		wk.mayHoldOldRuns = !al.isLoaded
		al.workers[info.ID] = wk
		al.ordered = nil
		al.isRosterDirty = true
	}
	if info.VM == "" {
		info.VM = wk.info.VM
	}
	if !wk.info.IsDraining && info.IsDraining {
		al.note(LogEntry{Message: "worker drains", Worker: info.ID, Reason: "directory"})
	}
	if wk.isSynced && info.StartedAtMS != 0 && wk.bornMS != 0 && info.StartedAtMS > wk.bornMS {
		al.endLife(now, wk, "directory lists a later start")
	}
	if !wk.isAt(info) {
		wk.isRostered = false
		al.isRosterDirty = true
	}
	wk.info = info
	wk.isListed = true
}

// isAt reports whether a worker is in the pool and at the address of an entry.
func (wk *worker) isAt(info modeller.Worker) bool {
	return wk.info.Pool == info.Pool && wk.info.Address == info.Address
}

func (al *Allocator) unlistWorker(id modeller.WorkerID) {
	wk, ok := al.workers[id]
	if !ok || !wk.isListed {
		return
	}
	wk.isListed = false
	al.note(LogEntry{Message: "worker unlisted", Worker: id, Reason: "directory"})
}

func (al *Allocator) loadRoster(now time.Time, workers []modeller.Worker) {
	for _, info := range workers {
		if _, ok := al.workers[info.ID]; !ok {
			al.listWorker(now, info)
			al.workers[info.ID].isListed = false
			al.workers[info.ID].mayHoldOldRuns = true
			al.workers[info.ID].isRostered = true
		}
	}
}

// leaseBound returns until when runs may go on at a worker that is silent.
func (al *Allocator) leaseBound(wk *worker) time.Time {
	if wk.clockAt.IsZero() || wk.leaseEnd == 0 {
		return al.uncertainUntil()
	}
	bound := wk.clockAt.Add(stretched(max(wk.leaseEnd-wk.clock, 0)) + leaseMargin)
	if wk.mayHoldOldRuns && al.uncertainUntil().After(bound) {
		return al.uncertainUntil()
	}
	return bound
}

// takesWork reports whether a worker may get a start now.
func (al *Allocator) takesWork(now time.Time, wk *worker) bool {
	return wk.isListed && wk.isRostered && wk.isSynced && !wk.info.IsDraining && !wk.isCordoned && !al.fleet.mayTakeDown(wk.info.VM) &&
		now.Sub(wk.reportedAt) < reportFreshness && !now.Before(wk.quarantinedUntil) && !now.Before(wk.suspectUntil) &&
		wk.leaseEnd > 0 && al.clockOf(now, wk) < wk.leaseEnd
}

// clockOf estimates a worker's clock.
func (al *Allocator) clockOf(now time.Time, wk *worker) time.Duration {
	return wk.clock + now.Sub(wk.clockAt)
}

// inOrder returns the workers by ID.
func (al *Allocator) inOrder() []*worker {
	if al.ordered == nil {
		al.ordered = slices.SortedFunc(maps.Values(al.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return al.ordered
}

// endLife ends all runs of a worker's life that is over.
func (al *Allocator) endLife(now time.Time, wk *worker, reason string) {
	for _, rn := range wk.runsInOrder() {
		if rn.state == runRunning {
			al.loseRun(now, rn, reason)
		}
	}
	wk.isSynced = false
	wk.mayHoldOldRuns = false
	wk.processedEnd = 0
	wk.storedEnd = 0
	wk.leaseEnd = 0
	wk.bornMS = 0
	wk.unsettled = map[modeller.TaskName]int{}
	wk.failedJobs = map[modeller.JobID]struct{}{}
	wk.quarantinedUntil = time.Time{}
	al.note(LogEntry{Message: "worker's life ended", Worker: wk.info.ID, Reason: reason})
}

// dropSilent gives up the workers whose leases have surely passed. The duty
// must have been confirmed since: a later holder may reach a worker that this
// one doesn't, and extend its lease.
func (al *Allocator) dropSilent(now time.Time) {
	for _, wk := range al.inOrder() {
		id := wk.info.ID
		if now.Sub(wk.reportedAt) < reportFreshness || !al.confirmedAt.After(al.leaseBound(wk)) {
			continue
		}
		if len(wk.runs) > 0 || wk.isSynced {
			unsettled := wk.unsettled
			for _, rn := range wk.runsInOrder() {
				if rn.state != runRunning {
					unsettled[rn.name] = max(unsettled[rn.name], rn.attempt)
				}
				al.loseRun(now, rn, "lease passed")
			}
			al.endLife(now, wk, "silent until its lease passed")
			wk.unsettled = unsettled
		}
		wk.mayHoldOldRuns = false
		if !wk.isListed && !wk.isPolling && len(wk.unsettled) == 0 {
			delete(al.workers, id)
			al.ordered = nil
			al.isRosterDirty = true
		}
	}
}

// poll orders the polls that are due. Before all records from before are known
// a report would show runs of jobs that nobody seems to want.
func (al *Allocator) poll(now time.Time) {
	if !al.isLoaded {
		return
	}
	for _, wk := range al.inOrder() {
		isGone := !wk.isListed && !wk.isSynced && !wk.mayHoldOldRuns && len(wk.runs) == 0
		if wk.isPolling || now.Before(wk.pollAt) || isGone {
			continue
		}
		po := PollOrder{
			Worker:           wk.info,
			AcknowledgedEnds: wk.storedEnd,
		}
		if wk.isSynced {
			// A poll without an answer may still extend the lease, so a silent
			// worker's lease is left to end.
			if !wk.isSilent && len(wk.unsettled) == 0 {
				wk.leaseEnd = max(wk.leaseEnd, al.clockOf(now, wk)+al.bounds.RunLease)
				po.Wait = al.bounds.PollWait
			}
			po.LeaseEnd = wk.leaseEnd
		}
		wk.isPolling = true
		al.orders = append(al.orders, po)
	}
}

// settle has a worker that is back stop what it may still start late.
func (al *Allocator) settle(now time.Time) {
	for _, wk := range al.inOrder() {
		if len(wk.unsettled) == 0 || !wk.isSynced || now.Sub(wk.settledAt) < orderRepeat {
			continue
		}
		wk.settledAt = now
		for _, name := range slices.SortedFunc(maps.Keys(wk.unsettled), modeller.TaskName.Compare) {
			al.orders = append(al.orders, StopOrder{
				Worker:  wk.info,
				Task:    name,
				Attempt: wk.unsettled[name],
			})
		}
	}
}

// isUncertain reports whether runs of earlier holders may go on unseen at a
// worker of a pool.
func (al *Allocator) isUncertain(pool string) bool {
	if !al.isLoaded {
		return true
	}
	if al.confirmedAt.After(al.uncertainUntil()) {
		return false
	}
	for _, wk := range al.workers {
		if wk.mayHoldOldRuns && wk.info.Pool == pool {
			return true
		}
	}
	return false
}

// Roster returns the workers that may hold runs.
func (al *Allocator) Roster() []modeller.Worker {
	roster := make([]modeller.Worker, 0, len(al.workers))
	for _, wk := range al.inOrder() {
		roster = append(roster, wk.info)
	}
	return roster
}
