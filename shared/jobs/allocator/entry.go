package allocator

import (
	"net/netip"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// What is believed of a worker, and from whom:
//
//   - Only the worker's own responses show which incarnation runs, which runs it has and
//     had, its clock and its lease. Nothing that the directory says ends an incarnation or
//     a run, since any writer may have left an entry under the ID of a worker that is up.
//   - The directory says where a worker is (address, VM, availability zone), what it is
//     for (pool, labels, capacity) and whether it drains. An entry says this of the
//     incarnation with its start time. One without a start time, or of a worker that
//     reports none, says it of the incarnation at its address.
//   - An entry that doesn't match the worker's incarnation is kept apart. It may be that of
//     the next incarnation, so the worker gets no starts and is polled at once, also at the
//     address of that entry if it doesn't answer at its own. The report decides.
//   - The roster says where earlier holders have used a worker. That is believed until the
//     worker reports or its old runs are over.

// updateWorker applies an entry of the directory.
func (al *Allocator) updateWorker(now time.Time, entry modeller.Worker) {
	wk, ok := al.workers.byID[entry.ID]
	if !ok {
		wk = al.addWorker(entry)
	}
	if entry.VM == "" {
		entry.VM = wk.info.VM
	}
	if wk.isEntryOfOther(entry) {
		al.keepApart(now, wk, entry)
	} else {
		al.believe(wk, entry)
		if wk.isSynced {
			al.endTakenDownWorkers(al.workers.byVM[entry.VM])
		}
	}
	al.markListed(wk)
}

// addWorker adds a worker of which nothing but an entry is known.
func (al *Allocator) addWorker(entry modeller.Worker) *worker {
	wk := &worker{
		runs:       map[modeller.TaskName]*run{},
		failedJobs: map[modeller.JobID]struct{}{},
		generation: al.forgottenGenerations[entry.ID],
		teams:      al.usage,
	}
	wk.mayHoldOldRuns = !al.isLoaded && al.isRosterIncomplete
	wk.info = entry
	wk.info.IsDraining = false
	al.workers.add(wk)
	al.isRosterDirty = true
	return wk
}

// isBound reports whether what is believed of the worker describes an incarnation that
// may have runs.
func (wk *worker) isBound() bool {
	return wk.isSynced || wk.mayHoldOldRuns || len(wk.runs) > 0
}

// isEntryOfOther reports whether an entry doesn't match the incarnation that is believed
// to run. Without start times the address has to match, and the place if it is known from
// the roster, which has none.
func (wk *worker) isEntryOfOther(entry modeller.Worker) bool {
	switch {
	case !wk.isBound():
		return false
	case wk.isSynced && entry.StartedAtMS != 0 && wk.startedAtMS != 0:
		return entry.StartedAtMS != wk.startedAtMS
	case wk.isSynced:
		return !wk.hasUsed(entry.Address)
	}
	isSamePlace := wk.hasSameLocation(entry) && (wk.info.VM == "" || wk.info.VM == entry.VM)
	return !isSamePlace || !isSameStart(entry.StartedAtMS, wk.info.StartedAtMS)
}

// isSameStart reports whether two start times may be those of one incarnation. Zero is
// an unknown one.
func isSameStart(startedAtMS, otherMS int64) bool {
	return startedAtMS == 0 || otherMS == 0 || startedAtMS == otherMS
}

// keepApart keeps an entry that doesn't match the worker's incarnation until a report
// shows which one runs. Accepted starts that no report has shown may be runs of the next
// incarnation, which may have a longer lease.
func (al *Allocator) keepApart(now time.Time, wk *worker, entry modeller.Worker) {
	if wk.unmatched == nil || wk.unmatched.StartedAtMS != entry.StartedAtMS {
		wk.pollAt = now
		al.log(LogEntry{Message: "worker entry of another incarnation", Worker: entry.ID, Reason: "directory"})
	}
	wk.unmatched = &entry
	for _, rn := range wk.runs {
		if rn.state == runRunning && !rn.isReported {
			rn.state = runUnconfirmed
			rn.sentAt = now
		}
	}
}

// believe replaces what is believed of a worker by an entry.
func (al *Allocator) believe(wk *worker, entry modeller.Worker) {
	wk.unmatched = nil
	if entry.IsDraining && !wk.info.IsDraining {
		al.log(LogEntry{Message: "worker draining", Worker: entry.ID, Reason: "directory"})
	}
	if !wk.hasSameLocation(entry) {
		wk.isRostered = false
		al.isRosterDirty = true
	}
	al.workers.update(wk, entry)
	al.rechargeOrphans(wk)
	al.changes.note(entry.Pool)
	if !wk.isSynced {
		wk.address = entry.Address
	}
}

// matchEntry believes the entry that was kept apart if it is that of the incarnation
// that has reported.
func (al *Allocator) matchEntry(wk *worker) {
	if wk.unmatched != nil && !wk.isEntryOfOther(*wk.unmatched) {
		al.believe(wk, *wk.unmatched)
	}
}

// releaseEntry believes the latest entry of a worker that has no runs.
func (al *Allocator) releaseEntry(wk *worker) {
	wk.usedAddress = netip.AddrPort{}
	if wk.unmatched != nil {
		al.believe(wk, *wk.unmatched)
	}
	wk.address = wk.info.Address
}

// isDescribed reports whether the directory's latest entry is that of the incarnation
// that has reported. Until it is, nothing is known of what the worker may run, since an
// incarnation may have other labels, another capacity and another pool than the one before.
func (wk *worker) isDescribed() bool {
	return wk.unmatched == nil && wk.hasUsed(wk.info.Address) && isSameStart(wk.info.StartedAtMS, wk.startedAtMS)
}

// isDraining reports whether the worker's incarnation is about to shut down. The entry of
// the one before doesn't say so.
func (wk *worker) isDraining() bool {
	return wk.info.IsDraining && isSameStart(wk.info.StartedAtMS, wk.startedAtMS)
}

// confirmAddress records that the worker has reported from where it was polled.
func (wk *worker) confirmAddress() {
	if wk.polledAddress.IsValid() {
		wk.address = wk.polledAddress
		wk.usedAddress = wk.polledAddress
	}
}

// hasUsed reports whether the worker's runs were started at an address, as far as that
// is known. What happens at another one says nothing about them.
func (wk *worker) hasUsed(address netip.AddrPort) bool {
	return !wk.usedAddress.IsValid() || wk.usedAddress == address
}

// nextAddress returns where to poll a worker next that didn't answer at the last address.
func (wk *worker) nextAddress() netip.AddrPort {
	addresses := []netip.AddrPort{wk.usedAddress, wk.info.Address}
	if wk.unmatched != nil {
		addresses = append(addresses, wk.unmatched.Address)
	}
	first := slices.Index(addresses, wk.polledAddress) + 1
	for offset := range addresses {
		address := addresses[(first+offset)%len(addresses)]
		if address.IsValid() && address != wk.polledAddress {
			return address
		}
	}
	return wk.address
}

func (al *Allocator) markListed(wk *worker) {
	wk.isListed = true
	wk.takenDownAt = time.Time{}
	al.changes.note(wk.info.Pool)
}

// hasSameLocation reports whether an entry has the worker's pool and address.
func (wk *worker) hasSameLocation(entry modeller.Worker) bool {
	return wk.info.Pool == entry.Pool && wk.info.Address == entry.Address
}

func (al *Allocator) markUnlisted(id modeller.WorkerID) {
	wk, ok := al.workers.byID[id]
	if !ok {
		return
	}
	wk.unmatched = nil
	wk.takenDownAt = time.Time{}
	if !wk.isListed {
		return
	}
	wk.isListed = false
	al.log(LogEntry{Message: "worker no longer listed", Worker: id, Reason: "directory"})
}

// loadRoster applies the stored roster. It is believed rather than entries of the
// directory, which may be another writer's.
func (al *Allocator) loadRoster(now time.Time, ev RosterLoaded) {
	al.isRosterIncomplete = ev.IsIncomplete
	for _, re := range ev.Workers {
		info := re.Worker
		wk := al.workers.byID[info.ID]
		if wk == nil {
			wk = al.addWorker(info)
		}
		if wk.isSynced {
			wk.isRostered = wk.hasSameLocation(info)
			continue
		}
		entry := wk.info
		al.believe(wk, info)
		wk.mayHoldOldRuns = true
		wk.isRostered = true
		wk.isOnRoster = true
		wk.usedAddress = info.Address
		wk.inherited = re.Settled
		if wk.isListed {
			al.updateWorker(now, entry)
		}
	}
}

// isPresent reports whether the directory lists the worker, and not only an entry of
// which nobody ever answers.
func (wk *worker) isPresent() bool { return wk.isListed && !wk.hasNeverAnswered }
