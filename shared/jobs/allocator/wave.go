package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Durations and limits of maintenance waves.
const (
	// vmListInterval is the interval at which the VMs are listed while a wave
	// runs or there is a standby pool.
	vmListInterval = time.Second
	// cordonFactor is the multiple of a wave's MaxDown at which VMs are
	// evacuated at once, so that the next VM is empty when one returns.
	cordonFactor = 2
	// maxVMListAge is the greatest age of the list of VMs at which maintenance
	// is ordered, and runs are stopped for it.
	maxVMListAge = 2 * time.Second
	// vmOutageAge is the age of the list of VMs from which the VM interface counts as
	// out. Then VMs that are evacuated get work again.
	vmOutageAge = 4 * time.Second
	// maxOrderDelay is the time after which an order of an earlier holder is no longer
	// carried out. Until then its VM counts as down, even if it can't be taken down.
	maxOrderDelay = 15 * time.Second
	// vmOrderRetryInterval is the time after which a refused or unanswered VM
	// order is sent again.
	vmOrderRetryInterval = 400 * time.Millisecond
	// evacuationTime is how long the evacuation of a VM takes. scheduleFactor
	// and scheduleMargin are the reserves in the estimate of the time that a
	// wave still needs.
	evacuationTime = 3 * time.Second
	scheduleFactor = 1.5
	scheduleMargin = 6 * time.Second
	// maxStall is how long an evacuation may keep tasks waiting while it waits for
	// long-running tasks that may not be stopped. Then the worker gets tasks again for
	// stallRest.
	maxStall  = 2 * time.Second
	stallRest = time.Second
	// urgentTimeShare is the share of a wave's duration after which the wave
	// also stops checkpointing tasks, which might otherwise run for long.
	urgentTimeShare = 0.6
)

// wave is the state of a maintenance wave.
type wave struct {
	info       modeller.Wave
	maintained map[string]struct{}
	// down are the VMs whose maintenance was or will be ordered and that have not
	// returned.
	down map[string]*downVM
	// evacuating are the VMs that get no work until their maintenance, with the
	// time at which their evacuation began.
	evacuating map[string]time.Time
	startedAt  time.Time
	// elapsed is how long the wave had run under earlier holders.
	elapsed     time.Duration
	isDirty     bool
	isCompleted bool
}

// downVM is a VM whose maintenance was ordered, or will be once that is stored.
type downVM struct {
	worker modeller.WorkerID
	// isStored is true once the stored progress of the wave contains the VM. An order
	// that gets no answer may be carried out seconds later, and a later holder has to
	// count its VM among those that are down.
	isStored bool
	// isInherited is true if an earlier holder may have sent the order.
	isInherited bool
	// isAccepted is true once the order was accepted, at acceptedAt.
	isAccepted bool
	acceptedAt time.Time
	// isInFlight is true while an order is in flight. The last one was sent at
	// sentAt.
	isInFlight bool
	sentAt     time.Time
}

func (fl *fleet) wave(number int64) *wave {
	wv := fl.waves[number]
	if wv == nil {
		wv = &wave{
			maintained: map[string]struct{}{},
			down:       map[string]*downVM{},
			evacuating: map[string]time.Time{},
		}
		fl.waves[number] = wv
	}
	return wv
}

// changedWaves returns the progress of the waves that has changed since the
// last call.
func (fl *fleet) changedWaves(now time.Time) []WaveProgress {
	var changed []WaveProgress
	for _, number := range slices.Sorted(maps.Keys(fl.waves)) {
		wv := fl.waves[number]
		if wv.info.Number != number || !wv.isDirty {
			continue
		}
		wp := WaveProgress{
			Number:      number,
			IsCompleted: wv.isCompleted,
			Elapsed:     now.Sub(wv.startedAt),
		}
		for vm := range wv.maintained {
			wp.Maintained = append(wp.Maintained, vm)
		}
		slices.Sort(wp.Maintained)
		for vm, dv := range wv.down {
			if !dv.isAccepted {
				wp.Ordered = append(wp.Ordered, vm)
			}
		}
		slices.Sort(wp.Ordered)
		wv.isDirty = false
		changed = append(changed, wp)
	}
	return changed
}

// noteStored records that the progress of a wave is stored, so that its orders may be
// sent.
func (fl *fleet) noteStored(wp WaveProgress) {
	wv := fl.waves[wp.Number]
	if wv == nil {
		return
	}
	for _, vm := range wp.Ordered {
		if dv := wv.down[vm]; dv != nil {
			dv.isStored = true
		}
	}
}

func (al *Allocator) addWave(now time.Time, info modeller.Wave) {
	wv := al.fleet.wave(info.Number)
	if wv.info.Number == info.Number && !wv.startedAt.IsZero() {
		return
	}
	wv.info = info
	wv.startedAt = now.Add(-min(wv.elapsed, info.Duration))
	wv.isDirty = true
	al.log(LogEntry{Message: "wave recorded", Reason: "operators"})
}

func (al *Allocator) loadWaveProgress(ev WaveProgressLoaded) {
	wv := al.fleet.wave(ev.Number)
	wv.elapsed = max(ev.Elapsed, 0)
	for _, vm := range ev.Maintained {
		wv.maintained[vm] = struct{}{}
	}
	for _, vm := range ev.Ordered {
		wv.down[vm] = &downVM{
			isStored:    true,
			isInherited: true,
		}
	}
}

func (fl *fleet) waveNumbers() []int64 {
	var numbers []int64
	for number, wv := range fl.waves {
		if !wv.startedAt.IsZero() {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (al *Allocator) planWave(now time.Time, wv *wave) {
	al.removeReturned(now, wv)
	pending := wv.pending(al.fleet)
	if pending == 0 && len(wv.down) == 0 {
		wv.isCompleted = true
		wv.isDirty = true
		al.log(LogEntry{Message: "wave completed", Reason: "all VMs have been maintained"})
		return
	}
	switch {
	case al.fleet.isListCurrent(now):
		al.cordonVMs(now, wv, wv.isBehindSchedule(now, pending, al.bounds.MaintenanceTime))
		al.orderDueMaintenance(now, wv)
	case al.fleet.isInterfaceOut(now):
		al.endEvacuations(wv)
	}
}

// endEvacuations gives the VMs of a wave work again whose maintenance isn't due yet.
func (al *Allocator) endEvacuations(wv *wave) {
	for name := range wv.evacuating {
		if wv.down[name] == nil {
			delete(wv.evacuating, name)
			al.uncordon(al.fleet.vms[name].Worker)
		}
	}
}

// pending counts the VMs whose maintenance is still to be done.
func (wv *wave) pending(fl *fleet) int {
	pending := 0
	for _, vm := range wv.info.VMs {
		if _, isMaintained := wv.maintained[vm]; !isMaintained && !fl.isRemoved(vm) {
			pending++
		}
	}
	return pending
}

// removeReturned removes the VMs that have returned from those that are down,
// and sends the maintenance orders that are stored and were not accepted.
func (al *Allocator) removeReturned(now time.Time, wv *wave) {
	fl := al.fleet
	for _, name := range slices.Sorted(maps.Keys(wv.down)) {
		dv := wv.down[name]
		vm, ok := fl.vms[name]
		isListedSince := dv.isAccepted && fl.listedAt.After(dv.acceptedAt)
		isBack := ok && vm.State == modeller.VMUp
		if isListedSince && (isBack || !ok) {
			delete(wv.down, name)
			al.uncordon(dv.worker)
		}
		if dv.isInherited && !dv.isAccepted && !isBack && now.Sub(al.startedAt) > maxOrderDelay {
			delete(wv.down, name)
			wv.isDirty = true
			continue
		}
		isDue := !dv.isAccepted && dv.isStored && !dv.isInFlight && now.Sub(dv.sentAt) >= vmOrderRetryInterval
		if isDue && (!dv.isInherited || al.isReadyForRepetition(now, vm, dv)) {
			al.orderMaintenance(now, wv, name, dv)
		}
	}
}

// isReadyForRepetition reports whether an order of an earlier holder may be repeated.
// Its VM may have been maintained since, and have got work.
func (al *Allocator) isReadyForRepetition(now time.Time, vm modeller.VM, dv *downVM) bool {
	if vm.State != modeller.VMUp {
		return false
	}
	dv.worker = vm.Worker
	wk := al.workers.byID[vm.Worker]
	return wk == nil || al.evacuate(now, wk, false, true)
}

func (al *Allocator) uncordon(id modeller.WorkerID) {
	if wk := al.workers.byID[id]; wk != nil {
		wk.isCordoned = false
	}
}

// isBehindSchedule reports whether the wave's remaining time is less than the
// estimate, with reserves, for the maintenance of the pending VMs, MaxDown at a
// time.
func (wv *wave) isBehindSchedule(now time.Time, pending int, maintenanceTime time.Duration) bool {
	rounds := (pending + wv.info.MaxDown - 1) / wv.info.MaxDown
	needed := time.Duration(scheduleFactor*float64(rounds)*float64(maintenanceTime+evacuationTime)) + scheduleMargin
	return now.Add(needed).After(wv.startedAt.Add(wv.info.Duration))
}

// isSpare reports whether a VM has no runs and its pool does not require it.
func (al *Allocator) isSpare(vm modeller.VM) bool {
	wk := al.workers.byID[vm.Worker]
	if wk == nil || al.configuration.Pools[vm.Pool].IsStandby {
		return true
	}
	return wk.isSynced && len(wk.runs) == 0 && len(al.fleet.surplus[vm.Pool].since) > 0
}

// cordonVMs chooses the VMs that are evacuated next, those with the lowest cost
// first. Unless the wave is behind schedule, it chooses only VMs that their
// pools do not require.
func (al *Allocator) cordonVMs(now time.Time, wv *wave, isBehindSchedule bool) {
	type candidate struct {
		name string
		cost float64
	}
	listed := al.listedWorkers()
	var candidates []candidate
	for _, name := range wv.info.VMs {
		vm, ok := al.fleet.vms[name]
		if _, isDone := wv.maintained[name]; isDone || !ok || vm.State != modeller.VMUp {
			continue
		}
		if _, isEvacuating := wv.evacuating[name]; isEvacuating {
			continue
		}
		if al.fleet.moves[name] != nil || isOutdated(vm, listed) {
			continue
		}
		if !isBehindSchedule && !al.isSpare(vm) {
			continue
		}
		candidates = append(candidates, candidate{
			name: name,
			cost: al.evacuationCost(vm),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	for _, ca := range candidates {
		wk := al.workers.byID[al.fleet.vms[ca.name].Worker]
		isIdle := wk == nil || len(wk.runs) == 0
		if al.countEvacuating(wv, isIdle) >= cordonFactor*wv.info.MaxDown {
			return
		}
		if wk == nil {
			wv.evacuating[ca.name] = now
			continue
		}
		if al.isLastOpen(wk) || al.isStuck(wk) || now.Before(wk.evacuableFrom) {
			continue
		}
		wv.evacuating[ca.name] = now
		wk.isCordoned = true
		al.log(LogEntry{Message: "worker cordoned", Worker: wk.info.ID, Reason: "maintenance is due"})
	}
}

// countEvacuating counts the VMs that a wave is evacuating, or only those that are
// idle: a further idle one need not wait for the others.
func (al *Allocator) countEvacuating(wv *wave, isIdleOnly bool) int {
	count := 0
	for name := range wv.evacuating {
		wk := al.workers.byID[al.fleet.vms[name].Worker]
		if !isIdleOnly || wk == nil || len(wk.runs) == 0 {
			count++
		}
	}
	return count
}

// isLastOpen reports whether a worker is the only one of its pool that gets tasks,
// and others are evacuated. Their tasks would have no place.
func (al *Allocator) isLastOpen(wk *worker) bool {
	isOtherCordoned := false
	for _, other := range al.workers.byPool[wk.info.Pool] {
		if other == wk || !other.isPresent() {
			continue
		}
		if !other.isCordoned && !other.info.IsDraining {
			return false
		}
		isOtherCordoned = isOtherCordoned || other.isCordoned
	}
	return isOtherCordoned
}

// longRunningCost is the evacuation cost of a long-running task; any other task
// costs 1.
const longRunningCost = 10

// evacuationCost returns the cost of evacuating a VM.
func (al *Allocator) evacuationCost(vm modeller.VM) float64 {
	wk := al.workers.byID[vm.Worker]
	if wk == nil {
		return 0
	}
	cost := 0.0
	for _, rn := range wk.runs {
		if rn.task != nil && rn.task.step.spec.IsLongRunning {
			cost += longRunningCost
			continue
		}
		cost++
	}
	return cost
}

// orderDueMaintenance evacuates the chosen VMs and prepares the maintenance of
// those that are empty, up to MaxDown at a time. It is ordered once that is stored.
func (al *Allocator) orderDueMaintenance(now time.Time, wv *wave) {
	names := make([]string, 0, len(wv.evacuating))
	for name := range wv.evacuating {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(wv.evacuating[a].Compare(wv.evacuating[b]), cmp.Compare(a, b))
	})
	canGoDown := al.fleet.downCount(wv) < wv.info.MaxDown
	isUrgent := now.Sub(wv.startedAt) > time.Duration(urgentTimeShare*float64(wv.info.Duration))
	listed := al.listedWorkers()
	for _, name := range names {
		vm, ok := al.fleet.vms[name]
		wk := al.workers.byID[vm.Worker]
		if wv.down[name] != nil || isOutdated(vm, listed) {
			continue
		}
		if !ok || vm.State != modeller.VMUp {
			// Another VM takes its place until it is back.
			delete(wv.evacuating, name)
			al.uncordon(vm.Worker)
			continue
		}
		if wk != nil && (al.isStuck(wk) || now.Before(wk.evacuableFrom)) {
			delete(wv.evacuating, name)
			al.uncordon(vm.Worker)
			continue
		}
		if wk != nil && !wk.isCordoned {
			wk.isCordoned = true
		}
		if wk != nil && !al.evacuate(now, wk, isUrgent, canGoDown) {
			al.noteStall(now, wk)
			continue
		}
		if al.fleet.downCount(wv) >= wv.info.MaxDown {
			continue
		}
		wv.down[name] = &downVM{
			worker: vm.Worker,
		}
		wv.isDirty = true
	}
}

// downCount returns how many VMs of a wave are down or ordered down, including
// by orders of earlier holders.
func (fl *fleet) downCount(wv *wave) int {
	count := len(wv.down)
	for _, name := range wv.info.VMs {
		if fl.vms[name].State == modeller.VMMaintenance && wv.down[name] == nil {
			count++
		}
	}
	return count
}

func (al *Allocator) orderMaintenance(now time.Time, wv *wave, name string, dv *downVM) {
	dv.isInFlight = true
	dv.sentAt = now
	al.orders = append(al.orders, VMOrder{
		VM:   name,
		Wave: wv.info.Number,
	})
}
