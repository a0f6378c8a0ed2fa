package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Times and limits of moves between pools.
const (
	// moveInterval is how often demand and capacity are compared.
	moveInterval = 100 * time.Millisecond
	// demandHeadroom is how much more room a pool gets than its demand, since
	// tasks don't fill workers evenly.
	demandHeadroom = 1.15
	// minPoolVMs is how many VMs a pool with queues keeps.
	minPoolVMs = 2
	// surplusTime is for how long a pool must have had more than it needs before
	// it gives VMs away, so that a gap between two jobs moves nothing.
	surplusTime = 700 * time.Millisecond
	// standbyTime is for how long before they go on standby: about as long as a
	// VM may run for the price of two moves.
	standbyTime = 1200 * time.Millisecond
	// directoryTime is for how long after the duty was won the directory may be
	// behind the list of VMs; workers report every one and a half seconds.
	directoryTime = 4 * time.Second
	// arrivalTime is how long a moved VM is waited for.
	arrivalTime = 5 * time.Second
	// maxMovesAtOnce bounds the moves under way, so that a wrong guess stays small.
	maxMovesAtOnce = 24
)

// move is a VM on its way to another pool.
type move struct {
	pool      string
	worker    modeller.WorkerID
	orderedAt time.Time
	// isAccepted is true once the order was accepted.
	isAccepted bool
	// isSending is true while the order is under way, and isDoubtful once it has
	// got no answer: it may be carried out at any time until one that is sent
	// again is answered.
	isSending, isDoubtful bool
	sentAt                time.Time
}

// poolNeed is what a pool has and needs, in VMs.
type poolNeed struct {
	name string
	// have counts the workers that take work or soon will.
	have int
	// need is what the present demand asks for.
	need int
	// idle are the workers that run nothing.
	idle []*worker
}

// planMoves moves VMs to the pools whose demand is above their capacity, from
// standby first and then from pools that have had more than they need for a
// while, and sends those that nobody needs on standby.
func (al *Allocator) planMoves(now time.Time) {
	fl := al.fleet
	if now.Sub(fl.movesPlannedAt) < moveInterval || fl.listedAt.IsZero() || !al.isLoaded {
		return
	}
	fl.movesPlannedAt = now
	al.noteArrivals(now)
	needs := al.poolNeeds(now)
	standby := al.standbyPool()
	if standby == "" || al.isDirectoryBehind(now, standby) {
		return
	}
	donors := al.donors(now, needs, surplusTime)
	free := al.standbyVMs(standby)
	slices.SortFunc(needs, func(a, b poolNeed) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), cmp.Compare(a.name, b.name))
	})
	for _, pn := range needs {
		for range pn.need - pn.have {
			switch {
			case len(fl.moves) >= maxMovesAtOnce:
				return
			case len(free) > 0:
				al.orderMove(now, free[0], "", pn.name)
				free = free[1:]
			case len(donors) > 0:
				al.orderMove(now, donors[0].info.VM, donors[0].info.ID, pn.name)
				donors = donors[1:]
			}
		}
	}
	for _, wk := range al.donors(now, needs, standbyTime) {
		if len(fl.moves) < maxMovesAtOnce && !wk.isCordoned {
			al.orderMove(now, wk.info.VM, wk.info.ID, standby)
		}
	}
}

// isDirectoryBehind reports whether, soon after the duty was won, most VMs that
// are up have workers that aren't listed yet.
func (al *Allocator) isDirectoryBehind(now time.Time, standby string) bool {
	if now.Sub(al.startedAt) > directoryTime {
		return false
	}
	up, listed := 0, 0
	for _, vm := range al.fleet.vms {
		if vm.Pool != standby && vm.State == modeller.VMUp {
			up++
		}
	}
	for _, wk := range al.workers {
		if wk.isListed {
			listed++
		}
	}
	return listed < up/2
}

// standbyPool returns the pool whose VMs are off, or an empty name.
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
	var free []string
	for _, name := range slices.Sorted(maps.Keys(al.fleet.vms)) {
		vm := al.fleet.vms[name]
		if vm.Pool == standby && vm.State == modeller.VMUp && al.fleet.moves[name] == nil && !al.fleet.isReserved(name) {
			free = append(free, name)
		}
	}
	return free
}

// isReserved reports whether a wave is about to maintain a VM.
func (fl *fleet) isReserved(vm string) bool {
	for _, wv := range fl.waves {
		if _, ok := wv.emptying[vm]; ok {
			return true
		}
		if wv.down[vm] != nil {
			return true
		}
	}
	return false
}

// noteArrivals forgets the moves that have ended.
func (al *Allocator) noteArrivals(now time.Time) {
	fl := al.fleet
	for vm, mv := range fl.moves {
		listed := fl.vms[vm]
		hasArrived := mv.isAccepted && fl.listedAt.After(mv.orderedAt) && listed.State == modeller.VMUp && listed.Pool == mv.pool
		isOverdue := mv.isAccepted && now.Sub(mv.orderedAt) > arrivalTime
		if hasArrived || al.hasWorker(vm, mv.pool) || isOverdue {
			delete(fl.moves, vm)
			al.uncordon(mv.worker)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(fl.moves)) {
		mv := fl.moves[vm]
		if !mv.isAccepted && !mv.isSending && now.Sub(mv.sentAt) >= vmOrderRepeat {
			al.sendMove(now, vm, mv)
		}
	}
}

// hasWorker reports whether a VM's worker is listed in a pool.
func (al *Allocator) hasWorker(vm, pool string) bool {
	for _, wk := range al.workers {
		if wk.info.VM == vm && wk.info.Pool == pool && wk.isListed {
			return true
		}
	}
	return false
}

// poolNeeds returns what each pool with queues has and needs.
func (al *Allocator) poolNeeds(now time.Time) []poolNeed {
	byPool := map[string]*poolNeed{}
	for _, qu := range al.configuration.Queues {
		if pool := al.configuration.Pools[qu.Pool]; !pool.IsStandby && byPool[qu.Pool] == nil {
			byPool[qu.Pool] = &poolNeed{
				name: qu.Pool,
			}
		}
	}
	capacity := al.averageCapacity()
	demand := al.poolDemand(now)
	for _, wk := range al.inOrder() {
		pn := byPool[wk.info.Pool]
		if pn == nil || !wk.isListed || wk.info.IsDraining || wk.isCordoned {
			continue
		}
		pn.have++
		if wk.isSynced && len(wk.runs) == 0 && wk.info.VM != "" {
			pn.idle = append(pn.idle, wk)
		}
	}
	for _, mv := range al.fleet.moves {
		if pn := byPool[mv.pool]; pn != nil {
			pn.have++
		}
	}
	var needs []poolNeed
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		pn := byPool[name]
		wanted := demand[name]
		pn.need = max(int(math.Ceil(float64(wanted.milliCores)*demandHeadroom/capacity)), wanted.spread, minPoolVMs)
		al.fleet.noteNeed(now, *pn)
		needs = append(needs, *pn)
	}
	return needs
}

// averageCapacity returns the thousandths of a core of a worker.
func (al *Allocator) averageCapacity() float64 {
	sum := 0
	for _, wk := range al.workers {
		sum += wk.info.Capacity.MilliCores
	}
	return max(float64(sum)/float64(max(len(al.workers), 1)), 1)
}

// demand is what a pool's jobs ask for at a time.
type demand struct {
	// milliCores are those of tasks that run or could.
	milliCores int
	// spread is how many workers the widest long-running step needs.
	spread int
}

// poolDemand returns the demand of each pool. Jobs that are too late to earn
// use what room there is and ask for none.
func (al *Allocator) poolDemand(now time.Time) map[string]demand {
	demands := map[string]demand{}
	for _, jb := range al.jobs {
		qu, ok := al.configuration.Queues[jb.info.Queue]
		if !ok || jb.outcome != "" || jb.isCancelled {
			continue
		}
		isWorthwhile := jb.standing(now, qu) <= standingInTime
		dm := demands[qu.Pool]
		for _, oc := range jb.occurrences {
			for _, st := range oc.steps {
				if oc.isDone || !oc.isReady(st) {
					continue
				}
				running := len(st.tasks) - st.done - st.waiting
				if isWorthwhile {
					running += st.waiting
				}
				dm.milliCores += running * st.spec.ReservedResources().MilliCores
				if st.spec.IsLongRunning {
					dm.spread = max(dm.spread, spreadOf(st.spec)+1)
				}
			}
		}
		demands[qu.Pool] = dm
	}
	return demands
}

// spreadOf returns on how many workers a step's tasks run at least.
func spreadOf(st modeller.Step) int {
	if st.MaxPerWorker == 0 {
		return 1
	}
	return (st.Count + st.MaxPerWorker - 1) / st.MaxPerWorker
}

// needHistory is since when a pool has had more VMs than it needs.
type needHistory struct {
	// surplusSince is by number of VMs to spare: since when at least so many.
	surplusSince []time.Time
}

// noteNeed keeps the history of a pool's surplus.
func (fl *fleet) noteNeed(now time.Time, pn poolNeed) {
	nh := fl.history[pn.name]
	surplus := max(pn.have-pn.need, 0)
	if len(nh.surplusSince) > surplus {
		nh.surplusSince = nh.surplusSince[:surplus]
	}
	for len(nh.surplusSince) < surplus {
		nh.surplusSince = append(nh.surplusSince, now)
	}
	fl.history[pn.name] = nh
}

// donors returns idle workers of pools that have had VMs to spare for a time.
func (al *Allocator) donors(now time.Time, needs []poolNeed, duration time.Duration) []*worker {
	var donors []*worker
	for _, pn := range needs {
		spare := 0
		for _, since := range al.fleet.history[pn.name].surplusSince {
			if now.Sub(since) >= duration {
				spare++
			}
		}
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
	al.fleet.moves[vm] = &move{
		pool:      pool,
		worker:    worker,
		orderedAt: now,
	}
	if wk := al.workers[worker]; wk != nil {
		wk.isCordoned = true
	}
	al.note(LogEntry{Message: "VM moves", Worker: worker, VM: vm, Reason: "to pool " + pool})
	al.sendMove(now, vm, al.fleet.moves[vm])
}

func (al *Allocator) sendMove(now time.Time, vm string, mv *move) {
	mv.isSending = true
	mv.sentAt = now
	al.orders = append(al.orders, VMOrder{
		VM:   vm,
		Pool: mv.pool,
	})
}

// moveEnded takes in what became of the order of a move.
func (al *Allocator) moveEnded(now time.Time, ev VMOrderResult) {
	mv := al.fleet.moves[ev.Order.VM]
	if mv == nil || mv.pool != ev.Order.Pool {
		return
	}
	mv.isSending = false
	switch {
	case ev.Outcome == Accepted:
		mv.isAccepted = true
		if wk := al.workers[mv.worker]; wk != nil {
			al.takeDown(now, wk, "VM moves to another pool")
		}
	case ev.Outcome == Unanswered:
		mv.isDoubtful = true
	case mv.isDoubtful && ev.Outcome != Malformed:
		// A refusal of this order says nothing of the one before it.
	default:
		delete(al.fleet.moves, ev.Order.VM)
		al.uncordon(mv.worker)
	}
}

// takeDown ends the life of a worker whose VM the platform has taken down. A
// worker that still has runs may be one that came after an order that had been
// carried out before; its runs end when it says so or its lease has passed.
func (al *Allocator) takeDown(now time.Time, wk *worker, reason string) {
	wk.isCordoned = false
	if len(wk.runs)+len(wk.unsettled) > 0 {
		al.note(LogEntry{Message: "worker kept", Worker: wk.info.ID, VM: wk.info.VM, Reason: "it has runs although its " + reason})
		return
	}
	al.endLife(now, wk, reason)
	wk.isListed = false
}
