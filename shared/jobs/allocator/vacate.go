package allocator

import (
	"cmp"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// maxVacatingTime is the longest estimated time until a worker is idle at
	// which its VM is still given to another pool.
	maxVacatingTime = 4 * time.Second
	// urgentShortage is the share of its VMs for urgent demand that a pool must
	// lack for others to vacate workers, so that small differences move none.
	urgentShortage = 0.2
)

// shareFleet sets the target of each pool: the VMs for its urgent demand, or its
// proportional share of the fleet while the urgent demand exceeds it.
func shareFleet(needs []poolNeed, fleetSize int) {
	urgent := 0
	for _, pn := range needs {
		urgent += pn.urgent
	}
	for idx := range needs {
		pn := &needs[idx]
		pn.target = pn.urgent
		if urgent > fleetSize {
			pn.target = max(pn.urgent*fleetSize/urgent, pn.least)
		}
	}
}

// missingVMs returns how many VMs the pools lack for their targets, of those that
// lack more than a small share.
func missingVMs(needs []poolNeed) int {
	missing := 0
	for _, pn := range needs {
		if lack := pn.target - pn.available; float64(lack) > urgentShortage*float64(pn.target) {
			missing += lack
		}
	}
	return missing
}

// planVacating chooses the workers that get no further tasks, since other pools
// lack the given number of VMs for jobs that can still be on time. A pool that is
// busy with late jobs has no idle workers otherwise.
func (al *Allocator) planVacating(now time.Time, needs []poolNeed, missing int) {
	vacating := al.vacatingWorkers(now)
	for _, wk := range vacating[min(max(missing, 0), len(vacating)):] {
		wk.isVacating = false
		al.changes.note(wk.info.Pool)
	}
	missing -= len(vacating)
	for _, pn := range needs {
		if missing <= 0 {
			return
		}
		candidates := al.vacatable(now, pn.name)
		spare := min(lastingSurplus(now, al.fleet.urgentSurplus, pn.name, donationDelay), missing, len(candidates))
		for _, wk := range candidates[:max(spare, 0)] {
			wk.isVacating = true
			missing--
		}
	}
}

// vacatingWorkers returns the workers that vacate, those first that are idle soon.
func (al *Allocator) vacatingWorkers(now time.Time) []*worker {
	var vacating []*worker
	for _, wk := range al.workers.sorted {
		wk.isVacating = wk.isVacating && al.isMovable(wk)
		if wk.isVacating {
			vacating = append(vacating, wk)
		}
	}
	sortByBusyTime(now, vacating)
	return vacating
}

// vacatable returns the workers of a pool that will be idle soon and may then be
// moved, the soonest first.
func (al *Allocator) vacatable(now time.Time, pool string) []*worker {
	var found []*worker
	for _, wk := range al.workers.byPool[pool] {
		if wk.isVacating || !al.isMovable(wk) || wk.hasLastingRuns() || wk.busyTime(now) > maxVacatingTime {
			continue
		}
		found = append(found, wk)
	}
	sortByBusyTime(now, found)
	return found
}

// isMovable reports whether a worker's VM could be ordered to move once it is
// idle.
func (al *Allocator) isMovable(wk *worker) bool {
	vm := wk.info.VM
	return vm != "" && wk.isListed && wk.isDescribed() && wk.isSynced && !wk.info.IsDraining && !wk.isCordoned &&
		al.fleet.moves[vm] == nil && !al.fleet.isReserved(vm)
}

// hasLastingRuns reports whether the worker has runs that don't end soon by
// themselves, or of which the end can't be estimated.
func (wk *worker) hasLastingRuns() bool {
	for _, rn := range wk.runs {
		if rn.task == nil || rn.task.step.spec.IsLongRunning || rn.task.step.spec.IsFilling {
			return true
		}
	}
	return false
}

// busyTime returns the estimated time until the worker is idle. A run that takes
// longer than estimated is expected to take as long again.
func (wk *worker) busyTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, rn := range wk.runs {
		if rn.task == nil {
			continue
		}
		elapsed := now.Sub(rn.sentAt)
		remaining := rn.task.step.spec.Estimate - elapsed
		if remaining <= 0 {
			remaining = elapsed
		}
		longest = max(longest, remaining)
	}
	return longest
}

func sortByBusyTime(now time.Time, workers []*worker) {
	busy := make(map[modeller.WorkerID]time.Duration, len(workers))
	for _, wk := range workers {
		busy[wk.info.ID] = wk.busyTime(now)
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(busy[a.info.ID], busy[b.info.ID]), cmp.Compare(a.info.ID, b.info.ID))
	})
}
