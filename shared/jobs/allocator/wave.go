package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Times and limits of the fleet.
const (
	// vmListInterval is how often the VMs are listed while a wave runs.
	vmListInterval = time.Second
	// cordonAhead is how many times a wave's bound its VMs are emptied at once,
	// so that the next is empty when one returns.
	cordonAhead = 2
	// maxListAge is how old the list of VMs may be for maintenance to be ordered.
	maxListAge = 2 * time.Second
	// vmOrderRepeat is after what time a refused or unanswered order is sent again.
	vmOrderRepeat = 400 * time.Millisecond
	// emptyingTime is how long a VM takes to run out of tasks, and hurryFactor
	// and hurryMargin are what a wave keeps in hand.
	emptyingTime = 3 * time.Second
	hurryFactor  = 1.5
	hurryMargin  = 6 * time.Second
	// urgentShare is the share of a wave's time from which on it stops tasks
	// that would still run for a while.
	urgentShare = 0.6
)

// wave is a maintenance wave.
type wave struct {
	info       modeller.Wave
	maintained map[string]struct{}
	// down are the VMs that maintenance was ordered for and that aren't back.
	down map[string]*downVM
	// emptying are the VMs that get no work until their maintenance.
	emptying map[string]time.Time
	begunAt  time.Time
	// elapsed is how long the wave had lasted under earlier holders.
	elapsed   time.Duration
	isDirty   bool
	isAllDone bool
}

// downVM is a VM that maintenance was ordered for.
type downVM struct {
	worker modeller.WorkerID
	// isAccepted is true once the order was accepted, at acceptedAt.
	isAccepted bool
	acceptedAt time.Time
	// isSending is true while an order is under way, the last one from sentAt.
	isSending bool
	sentAt    time.Time
}

func (fl *fleet) wave(number int64) *wave {
	wv := fl.waves[number]
	if wv == nil {
		wv = &wave{
			maintained: map[string]struct{}{},
			down:       map[string]*downVM{},
			emptying:   map[string]time.Time{},
		}
		fl.waves[number] = wv
	}
	return wv
}

// changed returns the progress that has to be stored.
func (fl *fleet) changed(now time.Time) []WaveProgress {
	var changed []WaveProgress
	for _, number := range slices.Sorted(maps.Keys(fl.waves)) {
		wv := fl.waves[number]
		if wv.info.Number != number || !wv.isDirty {
			continue
		}
		wp := WaveProgress{
			Number:      number,
			IsCompleted: wv.isAllDone,
			Elapsed:     now.Sub(wv.begunAt),
		}
		for vm := range wv.maintained {
			wp.Maintained = append(wp.Maintained, vm)
		}
		slices.Sort(wp.Maintained)
		wv.isDirty = false
		changed = append(changed, wp)
	}
	return changed
}

func (al *Allocator) recordWave(now time.Time, info modeller.Wave) {
	wv := al.fleet.wave(info.Number)
	if wv.info.Number == info.Number && !wv.begunAt.IsZero() {
		return
	}
	wv.info = info
	wv.begunAt = now.Add(-min(wv.elapsed, info.Duration))
	wv.isDirty = true
	al.note(LogEntry{Message: "wave recorded", Reason: "operators"})
}

func (al *Allocator) loadWave(ev WaveProgressLoaded) {
	wv := al.fleet.wave(ev.Number)
	wv.elapsed = max(ev.Elapsed, 0)
	for _, vm := range ev.Maintained {
		wv.maintained[vm] = struct{}{}
	}
}

func (fl *fleet) numbers() []int64 {
	var numbers []int64
	for number, wv := range fl.waves {
		if !wv.begunAt.IsZero() {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (al *Allocator) planWave(now time.Time, wv *wave) {
	al.noteReturned(now, wv)
	pending := wv.pending(al.fleet)
	if pending == 0 && len(wv.down) == 0 {
		wv.isAllDone = true
		wv.isDirty = true
		al.note(LogEntry{Message: "wave completed", Reason: "all VMs have been maintained"})
		return
	}
	al.cordon(now, wv, wv.mustHurry(now, pending, al.bounds.MaintenanceTime))
	al.orderMaintenances(now, wv)
}

// pending counts the VMs that are still to be maintained.
func (wv *wave) pending(fl *fleet) int {
	pending := 0
	for _, vm := range wv.info.VMs {
		if _, isMaintained := wv.maintained[vm]; !isMaintained && !fl.hasLeft(vm) {
			pending++
		}
	}
	return pending
}

// noteReturned takes the VMs that are back from those that are down.
func (al *Allocator) noteReturned(now time.Time, wv *wave) {
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
		if !dv.isAccepted && !dv.isSending && now.Sub(dv.sentAt) >= vmOrderRepeat {
			al.orderMaintenance(now, wv, name, dv)
		}
	}
}

func (al *Allocator) uncordon(id modeller.WorkerID) {
	if wk := al.workers[id]; wk != nil {
		wk.isCordoned = false
	}
}

// mustHurry reports whether the wave needs all of its remaining time, with
// something to spare, if as many VMs as may be are down from now on.
func (wv *wave) mustHurry(now time.Time, pending int, maintenanceTime time.Duration) bool {
	rounds := (pending + wv.info.MaxDown - 1) / wv.info.MaxDown
	needed := time.Duration(hurryFactor*float64(rounds)*float64(maintenanceTime+emptyingTime)) + hurryMargin
	return now.Add(needed).After(wv.begunAt.Add(wv.info.Duration))
}

// isSpare reports whether a VM runs nothing and its pool can do without it.
func (al *Allocator) isSpare(vm modeller.VM) bool {
	wk := al.workers[vm.Worker]
	if wk == nil || al.configuration.Pools[vm.Pool].IsStandby {
		return true
	}
	return wk.isSynced && len(wk.runs) == 0 && len(al.fleet.history[vm.Pool].surplusSince) > 0
}

// cordon chooses the VMs that are emptied next: those with the least to lose.
// Unless the wave has to hurry, they are VMs that their pools can do without.
func (al *Allocator) cordon(now time.Time, wv *wave, isHurried bool) {
	type candidate struct {
		name string
		cost float64
	}
	var candidates []candidate
	for _, name := range wv.info.VMs {
		vm, ok := al.fleet.vms[name]
		if _, isDone := wv.maintained[name]; isDone || !ok || vm.State != modeller.VMUp {
			continue
		}
		if _, isEmptying := wv.emptying[name]; isEmptying {
			continue
		}
		if al.fleet.moves[name] != nil {
			continue
		}
		if !isHurried && !al.isSpare(vm) {
			continue
		}
		candidates = append(candidates, candidate{
			name: name,
			cost: al.emptyingCost(vm),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	for _, ca := range candidates {
		if len(wv.emptying) >= cordonAhead*wv.info.MaxDown {
			return
		}
		wv.emptying[ca.name] = now
		if wk := al.workers[al.fleet.vms[ca.name].Worker]; wk != nil {
			wk.isCordoned = true
			al.note(LogEntry{Message: "worker cordoned", Worker: wk.info.ID, Reason: "maintenance is due"})
		}
	}
}

// longRunningCost is the cost of moving a long-running task, in other tasks.
const longRunningCost = 10

// emptyingCost returns how much work is in the way of a VM's maintenance.
func (al *Allocator) emptyingCost(vm modeller.VM) float64 {
	wk := al.workers[vm.Worker]
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

// orderMaintenances orders maintenance for VMs that are empty, within the wave's bound.
func (al *Allocator) orderMaintenances(now time.Time, wv *wave) {
	names := make([]string, 0, len(wv.emptying))
	for name := range wv.emptying {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(wv.emptying[a].Compare(wv.emptying[b]), cmp.Compare(a, b))
	})
	isUrgent := now.Sub(wv.begunAt) > time.Duration(urgentShare*float64(wv.info.Duration))
	for _, name := range names {
		vm, ok := al.fleet.vms[name]
		wk := al.workers[vm.Worker]
		if !ok || vm.State != modeller.VMUp || wv.down[name] != nil {
			continue
		}
		if wk != nil && !wk.isCordoned {
			wk.isCordoned = true
		}
		if wk != nil && !al.empty(now, wk, isUrgent) {
			continue
		}
		if al.fleet.down(wv) >= wv.info.MaxDown || now.Sub(al.fleet.listedAt) > maxListAge {
			continue
		}
		dv := &downVM{
			worker: vm.Worker,
		}
		wv.down[name] = dv
		al.orderMaintenance(now, wv, name, dv)
	}
}

// down returns how many VMs of a wave are down or about to be, also by an
// earlier holder's orders.
func (fl *fleet) down(wv *wave) int {
	count := len(wv.down)
	for _, name := range wv.info.VMs {
		if fl.vms[name].State == modeller.VMMaintenance && wv.down[name] == nil {
			count++
		}
	}
	return count
}

func (al *Allocator) orderMaintenance(now time.Time, wv *wave, name string, dv *downVM) {
	dv.isSending = true
	dv.sentAt = now
	al.orders = append(al.orders, VMOrder{
		VM:   name,
		Wave: wv.info.Number,
	})
}
