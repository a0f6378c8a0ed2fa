package allocator

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// absenceTime is for how long the lists must have lacked a VM before it counts
// as gone: a list may be older than the VM, and its pages are no snapshot.
const absenceTime = 3 * time.Second

// fleet is the state of VMs and waves.
type fleet struct {
	vms map[string]modeller.VM
	// absentSince is by VM that was asked for: since when the lists have lacked it.
	absentSince map[string]time.Time
	waves       map[int64]*wave
	listedAt    time.Time
	askedAt     time.Time
	isAsking    bool
	// moves are the VMs on their way to another pool.
	moves          map[string]*move
	movesPlannedAt time.Time
	// history is by pool.
	history map[string]needHistory
}

func newFleet() *fleet {
	return &fleet{
		vms:         map[string]modeller.VM{},
		absentSince: map[string]time.Time{},
		waves:       map[int64]*wave{},
		moves:       map[string]*move{},
		history:     map[string]needHistory{},
	}
}

func (al *Allocator) listVMs(now time.Time, ev VMsListed) {
	fl := al.fleet
	fl.isAsking = false
	if ev.VMs == nil {
		return
	}
	fl.listedAt = ev.RequestedAt
	clear(fl.vms)
	for _, vm := range ev.VMs {
		fl.vms[vm.Name] = vm
		delete(fl.absentSince, vm.Name)
	}
	al.endReplaced(now)
}

// hasLeft reports whether the lists have lacked a VM for some time, which counts
// from the first call that finds it absent.
func (fl *fleet) hasLeft(vm string) bool {
	if _, isListed := fl.vms[vm]; isListed {
		return false
	}
	since, ok := fl.absentSince[vm]
	if !ok {
		fl.absentSince[vm] = fl.listedAt
		return false
	}
	return fl.listedAt.Sub(since) >= absenceTime
}

// endReplaced ends the lives of an earlier holder's workers that haven't
// reported and whose VMs have been taken down since, so that nothing waits for
// their leases. A VM has one worker at a time.
func (al *Allocator) endReplaced(now time.Time) {
	for _, wk := range al.inOrder() {
		if !wk.mayHoldOldRuns || wk.isSynced || wk.info.VM == "" {
			continue
		}
		if reason := al.replacement(wk); reason != "" {
			al.endLife(now, wk, reason)
		}
	}
}

// replacement says what shows that a worker's VM has been taken down, or nothing.
func (al *Allocator) replacement(wk *worker) string {
	if al.fleet.listedAt.After(al.startedAt) {
		vm, isListed := al.fleet.vms[wk.info.VM]
		switch {
		case al.fleet.hasLeft(wk.info.VM):
			return "its VM has left"
		case !isListed:
		case vm.State == modeller.VMMoving || vm.State == modeller.VMMaintenance:
			return "its VM is away"
		case vm.Pool != wk.info.Pool:
			return "its VM is in another pool"
		}
	}
	for _, other := range al.workers {
		if other != wk && other.isSynced && other.info.VM == wk.info.VM {
			return "another worker reports from its VM"
		}
	}
	return ""
}

// planFleet empties VMs that are due for maintenance and orders their maintenance.
func (al *Allocator) planFleet(now time.Time) {
	fl := al.fleet
	isActive := al.standbyPool() != ""
	for _, number := range fl.numbers() {
		wv := fl.waves[number]
		if wv.isAllDone {
			continue
		}
		isActive = true
		if !fl.listedAt.IsZero() && al.isLoaded {
			al.planWave(now, wv)
		}
	}
	if isActive && !fl.isAsking && now.Sub(fl.askedAt) >= vmListInterval {
		fl.isAsking = true
		fl.askedAt = now
		al.orders = append(al.orders, ListVMsOrder{})
	}
}

// mayTakeDown reports whether an order that is under way or in doubt may take a
// VM down, with whatever worker is on it by then.
func (fl *fleet) mayTakeDown(vm string) bool {
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

// vmOrderEnded takes in what became of a move or maintenance.
func (al *Allocator) vmOrderEnded(now time.Time, ev VMOrderResult) {
	if ev.Order.Pool != "" {
		al.moveEnded(now, ev)
		return
	}
	wv := al.fleet.waves[ev.Order.Wave]
	if wv == nil || wv.down[ev.Order.VM] == nil {
		return
	}
	dv := wv.down[ev.Order.VM]
	dv.isSending = false
	al.note(LogEntry{Message: "maintenance ordered", Worker: dv.worker, Reason: ev.Outcome.String()})
	switch ev.Outcome {
	case Accepted:
		dv.isAccepted = true
		dv.acceptedAt = now
		wv.maintained[ev.Order.VM] = struct{}{}
		delete(wv.emptying, ev.Order.VM)
		wv.isDirty = true
		if wk := al.workers[dv.worker]; wk != nil {
			al.takeDown(now, wk, "VM goes down for maintenance")
		}
	case Malformed:
		// The VM or its wave is unknown to the platform; there is nothing to wait for.
		wv.maintained[ev.Order.VM] = struct{}{}
		delete(wv.emptying, ev.Order.VM)
		delete(wv.down, ev.Order.VM)
		al.uncordon(dv.worker)
	default:
	}
}
