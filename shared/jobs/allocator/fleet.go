package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// minAbsence is how long the lists must have lacked a VM before it counts as
// removed: a list may be older than the VM, and the pages of a list do not form
// a consistent snapshot.
const minAbsence = 3 * time.Second

// fleet is the state of VMs, moves and maintenance waves.
type fleet struct {
	vms map[string]modeller.VM
	// absentSince maps VMs that were looked up but not listed to the time of
	// the first list that lacked them.
	absentSince map[string]time.Time
	// downSince maps VMs that the lists have shown as down without a break to the time of
	// the first of these lists.
	downSince       map[string]time.Time
	waves           map[int64]*wave
	listedAt        time.Time
	listRequestedAt time.Time
	isListInFlight  bool
	// moves are the moves in progress, by VM.
	moves          map[string]*move
	movesPlannedAt time.Time
	// moveBudget is how many moves may be ordered now.
	moveBudget float64
	// needs are the available and required VMs of the pools at the last plan.
	needs []poolNeed
	// moveTime is the average time of a move until the VM's worker is listed.
	moveTime time.Duration
	// unplacedSince holds, by pool, since when long-running tasks wait.
	unplacedSince map[string]time.Time
	// surplus is the history of each pool's surplus over what it requires, and
	// urgentSurplus that over its target.
	surplus, urgentSurplus map[string]surplusHistory
}

func newFleet() *fleet {
	return &fleet{
		vms:           map[string]modeller.VM{},
		absentSince:   map[string]time.Time{},
		downSince:     map[string]time.Time{},
		waves:         map[int64]*wave{},
		moves:         map[string]*move{},
		moveTime:      defaultMoveTime,
		unplacedSince: map[string]time.Time{},
		surplus:       map[string]surplusHistory{},
		urgentSurplus: map[string]surplusHistory{},
	}
}

func (al *Allocator) updateVMs(ev VMsListed) {
	fl := al.fleet
	fl.isListInFlight = false
	if ev.VMs == nil {
		return
	}
	fl.listedAt = ev.RequestedAt
	before := fl.vms
	fl.vms = make(map[string]modeller.VM, len(ev.VMs))
	for _, vm := range ev.VMs {
		fl.vms[vm.Name] = vm
		delete(fl.absentSince, vm.Name)
	}
	fl.keepUnnamed(before)
	fl.noteDown()
	al.relistWorkers(ev.VMs)
	al.endTakenDownWorkers(al.workers.sorted)
}

// relistWorkers lists the workers again that were taken to be down and are up. An order
// is also accepted if it has been carried out before; then the VM doesn't go down, and
// the directory's entry of its worker doesn't change.
func (al *Allocator) relistWorkers(vms []modeller.VM) {
	for _, vm := range vms {
		wk := al.workers.byID[vm.Worker]
		if wk == nil || wk.takenDownAt.IsZero() || vm.State != modeller.VMUp || vm.Name != wk.info.VM || vm.Pool != wk.info.Pool {
			continue
		}
		if al.fleet.listedAt.After(wk.takenDownAt) {
			al.markListed(wk)
			al.log(LogEntry{Message: "worker listed again", Worker: wk.info.ID, VM: vm.Name, Reason: "its VM is up"})
		}
	}
}

// isListCurrent reports whether the list of VMs is recent enough for orders that take
// VMs down.
func (fl *fleet) isListCurrent(now time.Time) bool { return now.Sub(fl.listedAt) <= maxVMListAge }

// isInterfaceOut reports whether the VM interface has answered no list for so long that
// its orders aren't waited for.
func (fl *fleet) isInterfaceOut(now time.Time) bool { return now.Sub(fl.listedAt) > vmOutageAge }

// keepUnnamed keeps the VMs of the list before if the present one has an entry
// without a name, which may be that of any of them.
func (fl *fleet) keepUnnamed(before map[string]modeller.VM) {
	if _, isIncomplete := fl.vms[""]; !isIncomplete {
		return
	}
	delete(fl.vms, "")
	for name, vm := range before {
		if _, isListed := fl.vms[name]; !isListed {
			vm.State = modeller.VMUnknown
			fl.vms[name] = vm
		}
	}
}

// isRemoved reports whether the lists have lacked a VM for minAbsence, counted
// from the first call that finds it absent.
func (fl *fleet) isRemoved(vm string) bool {
	if _, isListed := fl.vms[vm]; isListed {
		return false
	}
	since, ok := fl.absentSince[vm]
	if !ok {
		fl.absentSince[vm] = fl.listedAt
		return false
	}
	return fl.listedAt.Sub(since) >= minAbsence
}

// noteDown updates downSince after a list.
func (fl *fleet) noteDown() {
	before := fl.downSince
	fl.downSince = map[string]time.Time{}
	for name, vm := range fl.vms {
		if vm.State != modeller.VMDown {
			continue
		}
		since, wasDown := before[name]
		if !wasDown {
			since = fl.listedAt
		}
		fl.downSince[name] = since
	}
}

// isDown reports whether the lists have shown a VM as down for minAbsence. A single list may
// be older than the worker that has started on the VM since.
func (fl *fleet) isDown(vm string) bool {
	since, ok := fl.downSince[vm]
	return ok && fl.listedAt.Sub(since) >= minAbsence
}

// awaitsLostWorker reports whether tasks may wait for a worker of an earlier holder that
// doesn't answer, of which the list of VMs may show that it is gone.
func (al *Allocator) awaitsLostWorker(now time.Time) bool {
	return now.Before(al.oldRunsExpiry()) && slices.ContainsFunc(al.workers.sorted, func(wk *worker) bool {
		return wk.mayHoldOldRuns && wk.isUnresponsive && wk.info.VM != ""
	})
}

// endTakenDownWorkers ends the incarnations of earlier holders' workers that
// have not reported and whose VMs have been taken down since, so that their
// tasks need not wait for the leases to expire. A VM has one worker at a time.
func (al *Allocator) endTakenDownWorkers(workers []*worker) {
	for _, wk := range workers {
		if !wk.mayHoldOldRuns || wk.isSynced || wk.info.VM == "" {
			continue
		}
		if reason := al.takedownReason(wk); reason != "" {
			al.resetIncarnation(wk, reason)
		}
	}
}

// takedownReason returns the evidence that a worker's VM has been taken down,
// or an empty string.
func (al *Allocator) takedownReason(wk *worker) string {
	if al.fleet.listedAt.After(al.startedAt) {
		vm, isListed := al.fleet.vms[wk.info.VM]
		switch {
		case al.fleet.isRemoved(wk.info.VM):
			return "its VM was removed"
		case al.fleet.isDown(wk.info.VM):
			return "its VM is down"
		case !isListed:
		case vm.State == modeller.VMMoving || vm.State == modeller.VMMaintenance:
			return "its VM is moving or under maintenance"
		case vm.Pool != wk.info.Pool:
			return "its VM is in another pool"
		}
	}
	for _, other := range al.workers.byVM[wk.info.VM] {
		if other != wk && other.isSynced && other.isDescribed() {
			return "another worker reports from its VM"
		}
	}
	return ""
}

// planWaves advances the maintenance waves, and requests the list of VMs when
// it is due.
func (al *Allocator) planWaves(now time.Time) {
	fl := al.fleet
	needsVMList := al.standbyPool() != "" || al.awaitsLostWorker(now)
	for _, number := range fl.waveNumbers() {
		wv := fl.waves[number]
		if wv.isCompleted {
			continue
		}
		needsVMList = true
		if !fl.listedAt.IsZero() && al.isLoaded {
			al.planWave(now, wv)
		}
	}
	if needsVMList && !fl.isListInFlight && now.Sub(fl.listRequestedAt) >= vmListInterval {
		fl.isListInFlight = true
		fl.listRequestedAt = now
		al.orders = append(al.orders, ListVMsOrder{})
	}
}

// hasPendingTakedown reports whether an order that is in flight or unconfirmed
// may still take a VM down, together with any worker that has started on it
// since.
func (fl *fleet) hasPendingTakedown(vm string) bool {
	if mv := fl.moves[vm]; mv != nil && !mv.isAccepted {
		return true
	}
	for _, wv := range fl.waves {
		if dv := wv.down[vm]; dv != nil && !dv.isAccepted {
			return true
		}
	}
	return false
}

// handleVMOrderResult handles the result of a move or maintenance order.
func (al *Allocator) handleVMOrderResult(now time.Time, ev VMOrderResult) {
	if ev.Order.Pool != "" {
		al.handleMoveResult(now, ev)
		return
	}
	wv := al.fleet.waves[ev.Order.Wave]
	if wv == nil || wv.down[ev.Order.VM] == nil {
		return
	}
	dv := wv.down[ev.Order.VM]
	dv.isInFlight = false
	al.log(LogEntry{Message: "maintenance order answered", Worker: dv.worker, Reason: ev.Outcome.String()})
	switch ev.Outcome {
	case Accepted:
		dv.isAccepted = true
		dv.acceptedAt = now
		wv.maintained[ev.Order.VM] = struct{}{}
		delete(wv.evacuating, ev.Order.VM)
		wv.isDirty = true
		if wk := al.workers.byID[dv.worker]; wk != nil {
			al.handleTakedown(now, wk, "VM goes down for maintenance")
		}
	case Malformed:
		// The platform does not know the VM or its wave, so there is nothing to
		// wait for.
		wv.maintained[ev.Order.VM] = struct{}{}
		delete(wv.evacuating, ev.Order.VM)
		delete(wv.down, ev.Order.VM)
		al.uncordon(dv.worker)
	default:
	}
}
