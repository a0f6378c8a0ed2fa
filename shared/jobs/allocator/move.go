package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Durations and limits of moves between pools.
const (
	// moveInterval is the interval at which demand and capacity are compared.
	moveInterval = 100 * time.Millisecond
	// demandHeadroom is the ratio of a pool's required capacity to its demand.
	// It exceeds 1 since tasks do not fill workers evenly.
	demandHeadroom = 1.15
	// minPoolVMs is the minimum number of VMs of a pool with queues.
	minPoolVMs = 2
	// donationDelay is how long a pool must have had a surplus before other
	// pools get its VMs, so that a gap between two jobs causes no move.
	donationDelay = 700 * time.Millisecond
	// standbyDelay is how long a pool must have had a surplus before its VMs go
	// on standby. Running a VM for this long costs about as much as two moves.
	standbyDelay = 1200 * time.Millisecond
	// maxDirectoryLag is how long after the duty was won the directory may lag
	// behind the list of VMs; workers report every one and a half seconds.
	maxDirectoryLag = 4 * time.Second
	// unplacedDelay is how long long-running tasks of a pool must have waited
	// before it requires further VMs for them.
	unplacedDelay = 500 * time.Millisecond
	// arrivalTimeout is how long the arrival of a moved VM is awaited.
	arrivalTimeout = 5 * time.Second
	// maxMovingShare limits the share of all VMs that move at once, so that a
	// wrong estimate of demand leaves the others in place.
	maxMovingShare = 0.5
	// moveRateShare is the share of the VM interface's rate of orders that moves
	// may use, and moveBurst the time for which unused orders are kept. The rest
	// is for maintenance and repeated orders.
	moveRateShare = 0.75
	moveBurst     = 500 * time.Millisecond
)

// move is a move of a VM to another pool that is in progress.
type move struct {
	pool      string
	worker    modeller.WorkerID
	orderedAt time.Time
	// isAccepted is true once the order was accepted.
	isAccepted bool
	// isInFlight is true while the order is in flight. isUnconfirmed is true
	// once an order has got no answer: it may take effect at any time until a
	// repeated order is answered.
	isInFlight, isUnconfirmed bool
	sentAt                    time.Time
}

// poolNeed is the available and required number of VMs of a pool.
type poolNeed struct {
	name string
	// workers counts the workers that can get work, and available these and the
	// VMs that are moving to the pool.
	workers, available int
	// cordoned counts the other workers that are present.
	cordoned int
	// required is the number of VMs that the present demand requires, or the one
	// expected by the time that a move completes.
	required int
	// urgent is the number of VMs that the jobs require which can still be on
	// time, and target the part of it that the fleet can give to the pool.
	urgent, target int
	// least is the number of VMs that the pool keeps in any case.
	least int
	// idle are the workers without runs.
	idle []*worker
}

// planMoves moves VMs to the pools whose demand exceeds their capacity, from
// standby first and then from pools with a lasting surplus, and has workers
// vacated where these don't suffice. It puts VMs on standby that no pool requires.
func (al *Allocator) planMoves(now time.Time) {
	fl := al.fleet
	if now.Sub(fl.movesPlannedAt) < moveInterval || fl.listedAt.IsZero() || !al.isLoaded {
		return
	}
	fl.addMoveBudget(now.Sub(fl.movesPlannedAt), al.bounds.VMOrderRate)
	fl.movesPlannedAt = now
	al.updateMoves(now)
	standby := al.standbyPool()
	needs := al.poolNeeds(now, standby)
	fl.needs = needs
	if standby == "" || al.isDirectoryBehind(now, standby) {
		return
	}
	sources := moveSources{
		free:   al.standbyVMs(standby),
		donors: append(al.vacatedWorkers(), al.donors(now, needs, donationDelay)...),
	}
	al.moveVMs(now, needs, &sources, func(pn *poolNeed) int { return pn.target })
	al.planVacating(now, needs, missingVMs(needs)-sources.unused())
	al.moveVMs(now, needs, &sources, func(pn *poolNeed) int { return pn.required })
	for _, wk := range al.donors(now, needs, standbyDelay) {
		if fl.canMove() && !wk.isCordoned {
			al.orderMove(now, wk.info.VM, wk.info.ID, standby)
		}
	}
}

// moveSources are the VMs that can be moved: those on standby, and workers.
type moveSources struct {
	free   []string
	donors []*worker
}

// unused returns how many VMs are left that could be moved without vacating any
// worker.
func (ms *moveSources) unused() int {
	count := len(ms.free)
	for _, wk := range ms.donors {
		if !wk.isVacating {
			count++
		}
	}
	return count
}

// moveVMs orders moves to the pools that have fewer VMs than wanted, to the one
// that lacks most first.
func (al *Allocator) moveVMs(now time.Time, needs []poolNeed, sources *moveSources, wanted func(*poolNeed) int) {
	lack := func(pn poolNeed) int { return wanted(&pn) - pn.available }
	slices.SortFunc(needs, func(a, b poolNeed) int {
		return cmp.Or(cmp.Compare(lack(b), lack(a)), cmp.Compare(a.name, b.name))
	})
	for idx := range needs {
		pn := &needs[idx]
		for pn.available < wanted(pn) {
			switch {
			case !al.fleet.canMove():
				return
			case len(sources.free) > 0:
				al.orderMove(now, sources.free[0], "", pn.name)
				sources.free = sources.free[1:]
			case len(sources.donors) > 0:
				al.reassignWorker(now, sources.donors[0], pn.name)
				sources.donors = sources.donors[1:]
			default:
				return
			}
			pn.available++
		}
	}
}

// reassignWorker moves the VM of an idle worker to a pool. A vacated worker whose
// own pool lacks VMs by now stays there and gets tasks again.
func (al *Allocator) reassignWorker(now time.Time, wk *worker, pool string) {
	if wk.info.Pool != pool {
		al.orderMove(now, wk.info.VM, wk.info.ID, pool)
		return
	}
	wk.isVacating = false
	al.changes.note(pool)
}

// vacatedWorkers returns the workers that were vacated and are idle.
func (al *Allocator) vacatedWorkers() []*worker {
	var vacated []*worker
	for _, wk := range al.workers.sorted {
		if wk.isVacating && len(wk.runs) == 0 && al.isMovable(wk) {
			vacated = append(vacated, wk)
		}
	}
	return vacated
}

// addMoveBudget adds the orders that moves may use in the given time, at a rate
// per second of the VM interface.
func (fl *fleet) addMoveBudget(elapsed time.Duration, rate float64) {
	rate *= moveRateShare
	fl.moveBudget = min(fl.moveBudget+rate*elapsed.Seconds(), rate*moveBurst.Seconds())
}

// canMove reports whether another move may begin.
func (fl *fleet) canMove() bool {
	return fl.moveBudget >= 1 && float64(len(fl.moves)+1) <= maxMovingShare*float64(len(fl.vms))
}

// isDirectoryBehind reports whether, soon after the duty was won, the directory
// lists workers for less than half of the VMs that are up.
func (al *Allocator) isDirectoryBehind(now time.Time, standby string) bool {
	if now.Sub(al.startedAt) > maxDirectoryLag {
		return false
	}
	up, listed := 0, 0
	for _, vm := range al.fleet.vms {
		if vm.Pool != standby && vm.State == modeller.VMUp {
			up++
		}
	}
	for _, wk := range al.workers.byID {
		if wk.isPresent() {
			listed++
		}
	}
	return listed < up/2
}

// standbyPool returns the pool whose VMs are switched off, or an empty name.
func (al *Allocator) standbyPool() string {
	for _, name := range slices.Sorted(maps.Keys(al.configuration.Pools)) {
		if al.configuration.Pools[name].IsStandby {
			return name
		}
	}
	return ""
}

// standbyVMs returns the VMs on standby that can be moved.
func (al *Allocator) standbyVMs(standby string) []string {
	listed := al.listedWorkers()
	var free []string
	for _, name := range slices.Sorted(maps.Keys(al.fleet.vms)) {
		vm := al.fleet.vms[name]
		if vm.Pool == standby && vm.State == modeller.VMUp && al.fleet.moves[name] == nil && !al.fleet.isReserved(name) && !isOutdated(vm, listed) {
			free = append(free, name)
		}
	}
	return free
}

// listedWorkers returns the listed worker of each VM.
func (al *Allocator) listedWorkers() map[string]modeller.WorkerID {
	listed := make(map[string]modeller.WorkerID, len(al.workers.byID))
	for id, wk := range al.workers.byID {
		if wk.isPresent() && wk.info.VM != "" {
			listed[wk.info.VM] = id
		}
	}
	return listed
}

// isOutdated reports whether the directory lists a worker of a VM that the list
// of VMs doesn't know yet: the VM has arrived in another pool since.
func isOutdated(vm modeller.VM, listed map[string]modeller.WorkerID) bool {
	id, ok := listed[vm.Name]
	return ok && id != vm.Worker
}

// isReserved reports whether a wave is evacuating or maintaining a VM.
func (fl *fleet) isReserved(vm string) bool {
	for _, wv := range fl.waves {
		if _, ok := wv.evacuating[vm]; ok {
			return true
		}
		if wv.down[vm] != nil {
			return true
		}
	}
	return false
}

// updateMoves removes the moves that have completed or timed out, and repeats
// move orders that were not accepted.
func (al *Allocator) updateMoves(now time.Time) {
	fl := al.fleet
	for vm, mv := range fl.moves {
		listed := fl.vms[vm]
		hasArrived := mv.isAccepted && fl.listedAt.After(mv.orderedAt) && listed.State == modeller.VMUp && listed.Pool == mv.pool
		isOverdue := mv.isAccepted && now.Sub(mv.orderedAt) > arrivalTimeout
		isListed := al.hasListedWorker(vm, mv.pool)
		if isListed {
			fl.recordMoveTime(now.Sub(mv.orderedAt))
		}
		if hasArrived || isListed || isOverdue {
			delete(fl.moves, vm)
			al.uncordon(mv.worker)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(fl.moves)) {
		mv := fl.moves[vm]
		if !mv.isAccepted && !mv.isInFlight && now.Sub(mv.sentAt) >= vmOrderRetryInterval {
			al.sendMove(now, vm, mv)
		}
	}
}

// hasListedWorker reports whether a VM's worker is listed in a pool.
func (al *Allocator) hasListedWorker(vm, pool string) bool {
	for _, wk := range al.workers.byVM[vm] {
		if wk.info.Pool == pool && wk.isPresent() {
			return true
		}
	}
	return false
}

// poolNeeds returns the available and required VMs of each pool with queues, or
// with jobs of queues that were removed.
func (al *Allocator) poolNeeds(now time.Time, standby string) []poolNeed {
	byPool := map[string]*poolNeed{}
	addPool := func(name string) {
		if !al.configuration.Pools[name].IsStandby && byPool[name] == nil {
			byPool[name] = &poolNeed{
				name: name,
			}
		}
	}
	capacity := al.averageCapacity()
	demand := al.demandByPool(now)
	for _, qu := range al.configuration.Queues {
		addPool(qu.Pool)
	}
	for pool := range demand {
		addPool(pool)
	}
	fleetSize := 0
	for _, wk := range al.workers.sorted {
		pn := byPool[wk.info.Pool]
		if pn == nil || !wk.isPresent() || wk.info.IsDraining {
			continue
		}
		if wk.isCordoned {
			pn.cordoned++
			continue
		}
		fleetSize++
		if wk.isVacating {
			continue
		}
		pn.workers++
		if wk.isSynced && wk.isDescribed() && len(wk.runs) == 0 && wk.info.VM != "" {
			pn.idle = append(pn.idle, wk)
		}
	}
	for _, pn := range byPool {
		pn.available = pn.workers
	}
	for _, mv := range al.fleet.moves {
		if pn := byPool[mv.pool]; pn != nil {
			pn.available++
		}
	}
	var needs []poolNeed
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		pn := byPool[name]
		poolDemand := demand[name]
		expected := modeller.Resources{
			MilliCores: al.expectedMilliCores(now, name),
		}
		pn.least = max(poolDemand.minWorkers, minPoolVMs, al.longRunningNeed(now, name, poolDemand, pn.workers, capacity))
		pn.required = max(workersFor(poolDemand.resources.Max(expected), capacity), pn.least)
		pn.urgent = max(workersFor(poolDemand.urgentResources.Max(expected), capacity), pn.least)
		fleetSize += pn.available - pn.workers
		needs = append(needs, *pn)
	}
	al.suspension.hold(now, needs)
	shareFleet(needs, fleetSize+len(al.standbyVMs(standby)))
	for _, pn := range needs {
		recordSurplus(now, al.fleet.surplus, pn.name, pn.available-pn.required)
		recordSurplus(now, al.fleet.urgentSurplus, pn.name, pn.available-pn.target)
	}
	return needs
}

// averageCapacity returns the average capacity of a worker.
func (al *Allocator) averageCapacity() modeller.Resources {
	var sum modeller.Resources
	count := 0
	for _, wk := range al.workers.byID {
		if !wk.hasNeverAnswered {
			sum = sum.Plus(wk.info.Capacity)
			count++
		}
	}
	count = max(count, 1)
	return modeller.Resources{
		MilliCores: max(sum.MilliCores/count, 1),
		MemoryMB:   max(sum.MemoryMB/count, 1),
	}
}

// workersFor returns the number of workers of the given capacity that an amount
// of processors and memory requires.
func workersFor(amount, capacity modeller.Resources) int {
	share := max(float64(amount.MilliCores)/float64(capacity.MilliCores), float64(amount.MemoryMB)/float64(capacity.MemoryMB))
	return int(math.Ceil(share * demandHeadroom))
}

// demand is the present demand of a pool's jobs.
type demand struct {
	// resources is the demand of the tasks that are running or could run.
	resources modeller.Resources
	// urgentResources is the part of it without the jobs that are late.
	urgentResources modeller.Resources
	// longRunning counts the long-running tasks, waitingLongRunning those of them
	// that wait for a start, and waitingResources what these demand.
	longRunning, waitingLongRunning int
	waitingResources                modeller.Resources
	// minWorkers is the number of workers that the widest long-running step
	// requires, plus one.
	minWorkers int
}

// demandByPool returns the demand of each pool. Waiting tasks of late jobs are
// not counted, since such jobs only use spare capacity. Those of a team count as far as
// its cap allows.
func (al *Allocator) demandByPool(now time.Time) map[string]demand {
	demands := map[string]demand{}
	limited := map[teamInPool]modeller.Resources{}
	for _, jb := range al.jobs {
		if jb.queue.Pool == "" || jb.outcome != "" || jb.isCancelled {
			continue
		}
		class, _ := jb.serviceClass(now)
		isOnTime := class <= classOnTime
		isLimited := al.usage.hasCaps && al.usage.limiter.IsLimited(jb.info.Team)
		dm := demands[jb.queue.Pool]
		for _, oc := range jb.occurrences {
			for _, st := range oc.steps {
				if oc.isDone || !oc.areDependenciesDone(st) {
					continue
				}
				counted := len(st.tasks) - st.doneCount - st.waitingCount
				if isOnTime && isLimited {
					key := teamInPool{team: jb.info.Team, pool: jb.queue.Pool}
					limited[key] = limited[key].Plus(st.reserved.Times(st.waitingCount))
				} else if isOnTime {
					counted += st.waitingCount
				}
				if isOnTime {
					dm.urgentResources = dm.urgentResources.Plus(st.reserved.Times(counted))
				}
				dm.resources = dm.resources.Plus(st.reserved.Times(counted))
				if st.spec.IsLongRunning {
					dm.addLongRunning(st, !al.usage.allows(st, 1))
					dm.minWorkers = max(dm.minWorkers, minWorkersOf(st.spec)+1)
				}
			}
		}
		demands[jb.queue.Pool] = dm
	}
	for key, waiting := range limited {
		dm := demands[key.pool]
		waiting = al.usage.limiter.Bound(key.team, waiting)
		dm.resources = dm.resources.Plus(waiting)
		dm.urgentResources = dm.urgentResources.Plus(waiting)
		demands[key.pool] = dm
	}
	return demands
}

// teamInPool identifies the jobs of a team in a pool.
type teamInPool struct {
	team, pool string
}

// addLongRunning counts a step's tasks. Waiting ones that their team's cap holds back
// require no workers.
func (dm *demand) addLongRunning(st *step, isHeldBack bool) {
	dm.longRunning += len(st.tasks) - st.doneCount
	if isHeldBack {
		return
	}
	dm.waitingLongRunning += st.waitingCount
	dm.waitingResources = dm.waitingResources.Plus(st.reserved.Times(st.waitingCount))
}

// longRunningNeed returns the number of workers that a pool requires for its
// long-running tasks to start, or 0 if none has been waiting for unplacedDelay.
// The sum of the demands may be too low, since such tasks may not share a worker.
// A worker for each of them is always enough.
func (al *Allocator) longRunningNeed(now time.Time, pool string, dm demand, workers int, capacity modeller.Resources) int {
	if dm.waitingLongRunning == 0 {
		delete(al.fleet.unplacedSince, pool)
		return 0
	}
	since, ok := al.fleet.unplacedSince[pool]
	if !ok {
		al.fleet.unplacedSince[pool] = now
		return 0
	}
	if now.Sub(since) < unplacedDelay {
		return 0
	}
	more := max(workersFor(dm.waitingResources, capacity), 1)
	return min(workers+more, dm.longRunning+minPoolVMs)
}

// minWorkersOf returns the minimum number of workers on which a step's tasks
// run.
func minWorkersOf(st modeller.Step) int {
	if st.MaxPerWorker == 0 {
		return 1
	}
	return (st.Count + st.MaxPerWorker - 1) / st.MaxPerWorker
}

// surplusHistory records since when a pool has had more VMs than it requires.
type surplusHistory struct {
	// since holds, at index i, the time since which at least i+1 VMs have been
	// surplus.
	since []time.Time
}

// recordSurplus updates the history of a pool's surplus.
func recordSurplus(now time.Time, histories map[string]surplusHistory, pool string, surplus int) {
	history := histories[pool]
	surplus = max(surplus, 0)
	if len(history.since) > surplus {
		history.since = history.since[:surplus]
	}
	for len(history.since) < surplus {
		history.since = append(history.since, now)
	}
	histories[pool] = history
}

// lastingSurplus returns how many VMs of a pool have been surplus for the given
// duration.
func lastingSurplus(now time.Time, histories map[string]surplusHistory, pool string, duration time.Duration) int {
	count := 0
	for _, since := range histories[pool].since {
		if now.Sub(since) >= duration {
			count++
		}
	}
	return count
}

// donors returns idle workers of pools, at most as many of each pool as have
// been surplus for the given duration.
func (al *Allocator) donors(now time.Time, needs []poolNeed, duration time.Duration) []*worker {
	var donors []*worker
	for _, pn := range needs {
		spare := lastingSurplus(now, al.fleet.surplus, pn.name, duration)
		for _, wk := range pn.idle {
			if spare == 0 {
				break
			}
			if wk.isCordoned || al.fleet.moves[wk.info.VM] != nil || al.fleet.isReserved(wk.info.VM) {
				continue
			}
			donors = append(donors, wk)
			spare--
		}
	}
	return donors
}

func (al *Allocator) orderMove(now time.Time, vm string, worker modeller.WorkerID, pool string) {
	al.fleet.moveBudget--
	al.fleet.moves[vm] = &move{
		pool:      pool,
		worker:    worker,
		orderedAt: now,
	}
	if wk := al.workers.byID[worker]; wk != nil {
		wk.isCordoned = true
		wk.isVacating = false
	}
	al.log(LogEntry{Message: "VM move ordered", Worker: worker, VM: vm, Reason: "to pool " + pool})
	al.sendMove(now, vm, al.fleet.moves[vm])
}

func (al *Allocator) sendMove(now time.Time, vm string, mv *move) {
	mv.isInFlight = true
	mv.sentAt = now
	al.orders = append(al.orders, VMOrder{
		VM:   vm,
		Pool: mv.pool,
	})
}

// handleMoveResult handles the result of a move order.
func (al *Allocator) handleMoveResult(now time.Time, ev VMOrderResult) {
	mv := al.fleet.moves[ev.Order.VM]
	if mv == nil || mv.pool != ev.Order.Pool {
		return
	}
	mv.isInFlight = false
	switch {
	case ev.Outcome == Accepted:
		mv.isAccepted = true
		if wk := al.workers.byID[mv.worker]; wk != nil {
			al.handleTakedown(now, wk, "VM moves to another pool")
		}
	case ev.Outcome == Unanswered:
		mv.isUnconfirmed = true
	case mv.isUnconfirmed && ev.Outcome != Malformed:
		// The refusal of a repeated order does not show whether an earlier one
		// took effect.
	default:
		delete(al.fleet.moves, ev.Order.VM)
		al.uncordon(mv.worker)
	}
}

// handleTakedown ends the incarnation of a worker whose VM the platform has
// taken down. A worker that still has runs is kept, since it may have started
// after an earlier order took effect: its runs end when it reports their end or
// its lease expires.
func (al *Allocator) handleTakedown(now time.Time, wk *worker, reason string) {
	wk.isCordoned = false
	if len(wk.runs) > 0 {
		al.log(LogEntry{Message: "worker kept after takedown", Worker: wk.info.ID, VM: wk.info.VM, Reason: "it still has runs although its " + reason})
		return
	}
	al.resetIncarnation(wk, reason)
	wk.isListed = false
	wk.takenDownAt = now
}
