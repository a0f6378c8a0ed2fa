package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// faultKind is a kind of fault.
type faultKind int

// The kinds of faults.
const (
	// faultHolderCrash stops the holder immediately.
	faultHolderCrash faultKind = iota
	// faultStaleHolder elects a new holder while the old holder continues.
	faultStaleHolder
	// faultPartition elects a new holder and partitions the fleet between it
	// and the old holder, which continues.
	faultPartition
	// faultWorkerCrash crashes workers, which restart with no state.
	faultWorkerCrash
	// faultWorkerLost ends a worker permanently.
	faultWorkerLost
	// faultUnreachable loses the messages to some workers, which continue to run.
	faultUnreachable
	// faultDelayedOrders delays orders by seconds.
	faultDelayedOrders
	// faultFailing makes each run that a worker starts fail.
	faultFailing
	// faultHanging makes each run that a worker starts hang.
	faultHanging
	// faultSlow slows a worker's runs down.
	faultSlow
	// faultStoreOutage makes the store unavailable.
	faultStoreOutage
	// faultWorkerDrain drains a worker, which then leaves the fleet for 2 s.
	faultWorkerDrain
	// faultMaintenanceWave starts a maintenance wave.
	faultMaintenanceWave
	// faultStoreSlow slows the commits of batches down, so that those of
	// different lanes overtake each other.
	faultStoreSlow
	// faultManagerCrash crashes managers, faultManagerFreeze suspends them and
	// faultManagerCut holds up their messages to and from the holder.
	faultManagerCrash
	faultManagerFreeze
	faultManagerCut
	faultKindCount
)

// fault is one scheduled fault.
type fault struct {
	kind       faultKind
	at         time.Duration
	length     time.Duration
	hasStarted bool
	isOver     bool
	affected   []*node
}

// schedule draws the faults of a simulation. Two in three follow closely on the
// fault before, since real faults are correlated.
func schedule(random *rand.Rand) []fault {
	var faults []fault
	at := time.Second
	for range 2 + random.IntN(6) {
		gap := time.Duration(random.IntN(4000)) * time.Millisecond
		if random.IntN(3) > 0 {
			gap /= 8
		}
		at += gap
		faults = append(faults, fault{
			kind:   faultKind(random.IntN(int(faultKindCount))),
			at:     at,
			length: time.Second + time.Duration(random.IntN(6000))*time.Millisecond,
		})
	}
	return faults
}

// applyFaults starts and ends the faults that are due.
func (sm *Simulation) applyFaults() {
	elapsed := sm.now.Sub(sm.begin)
	for idx := range sm.faults {
		ft := &sm.faults[idx]
		switch {
		case !ft.hasStarted && elapsed >= ft.at:
			ft.hasStarted = true
			sm.startFault(ft)
		case ft.hasStarted && !ft.isOver && elapsed >= ft.at+ft.length:
			ft.isOver = true
			sm.endFault(ft)
		}
	}
}

func (sm *Simulation) startFault(ft *fault) {
	ft.affected = sm.pickNodes(1 + sm.random.IntN(3))
	for _, nd := range ft.affected {
		sm.tracef("fault %d for %s, may affect %s", ft.kind, ft.length, nd.info.ID)
	}
	switch ft.kind {
	case faultHolderCrash:
		sm.replaceHolder(sm.now)
	case faultStaleHolder:
		sm.replaceHolder(sm.now.Add(bounds.MaxOverrun))
	case faultPartition:
		sm.partitionFleet(sm.now.Add(ft.length))
	case faultStoreOutage:
		sm.store.isDown = true
	case faultStoreSlow:
		sm.store.isSlow = true
	case faultManagerCrash:
		sm.crashManagers(sm.pickManagers(1+sm.random.IntN(len(sm.managers))), sm.now.Add(ft.length/2))
	case faultManagerFreeze:
		sm.freezeManagers(sm.pickManagers(1+sm.random.IntN(len(sm.managers))), sm.now.Add(ft.length))
	case faultManagerCut:
		sm.cutConnections(sm.pickManagers(1+sm.random.IntN(len(sm.managers))), sm.now.Add(ft.length))
	case faultMaintenanceWave:
		sm.recordWave()
	case faultWorkerLost:
		ft.affected = ft.affected[:1]
		sm.crash(ft.affected, time.Time{})
	case faultWorkerCrash:
		sm.crash(ft.affected, sm.now.Add(ft.length))
	default:
		for _, nd := range ft.affected {
			sm.applyToNode(nd, ft)
		}
	}
}

func (sm *Simulation) applyToNode(nd *node, ft *fault) {
	switch ft.kind {
	case faultUnreachable:
		nd.unreachableUntil = sm.now.Add(ft.length)
	case faultDelayedOrders:
		nd.delayedShare = 0.3
	case faultFailing:
		nd.ex.IsFailing = true
	case faultHanging:
		nd.ex.IsHanging = true
	case faultSlow:
		nd.ex.Slowness = 5
	case faultWorkerDrain:
		nd.info.IsDraining = true
		sm.listWorker(nd)
	default:
	}
}

func (sm *Simulation) endFault(ft *fault) {
	switch ft.kind {
	case faultStoreOutage:
		sm.store.isDown = false
		if sm.random.IntN(2) == 0 {
			sm.expireStoreLeases()
		}
		deferred := sm.store.deferred
		sm.store.deferred = nil
		for _, ev := range deferred {
			sm.notifyHolders(ev)
		}
	case faultStoreSlow:
		sm.store.isSlow = false
	case faultWorkerDrain:
		for _, nd := range ft.affected {
			if nd.isUp {
				sm.unlistWorker(nd)
				sm.crash([]*node{nd}, sm.now.Add(2*time.Second))
			}
		}
	default:
		for _, nd := range ft.affected {
			nd.delayedShare = 0
			nd.ex.IsFailing, nd.ex.IsHanging, nd.ex.Slowness = false, false, 1
		}
	}
}

// relistTime is the time after an outage by which all workers are listed again.
const relistTime = 2 * time.Second

// expireStoreLeases expires what the store held under a lease during an outage:
// the duty and the workers' entries, which are listed again at random times.
func (sm *Simulation) expireStoreLeases() {
	sm.replaceHolder(sm.now)
	sm.nextElectionAt = sm.now
	for _, nd := range sm.nodesInOrder() {
		if !nd.isListed {
			continue
		}
		sm.unlistWorker(nd)
		sm.timers.add(sm.now.Add(time.Duration(sm.random.Int64N(int64(relistTime)))), func() {
			if nd.isUp {
				sm.listWorker(nd)
			}
		})
	}
}

// pickNodes returns a random selection of nodes.
func (sm *Simulation) pickNodes(count int) []*node {
	ids := slices.Sorted(maps.Keys(sm.nodes))
	sm.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	var picked []*node
	for _, id := range ids[:count] {
		picked = append(picked, sm.nodes[id])
	}
	return picked
}

// replaceHolder schedules the election of a new holder. The current holder stops
// at endsAt at the latest.
func (sm *Simulation) replaceHolder(endsAt time.Time) {
	for _, tm := range sm.terms {
		tm.endsAt = endsAt
		tm.missesEvents = sm.random.IntN(2) == 0
	}
	if sm.nextElectionAt.IsZero() {
		sm.nextElectionAt = sm.now.Add(takeoverTime)
	}
}

// partitionFleet partitions the nodes and managers: the current holder can reach
// one part and the next holder the other.
func (sm *Simulation) partitionFleet(until time.Time) {
	if sm.now.Before(sm.partitionedUntil) {
		return
	}
	sm.partitionedUntil = until
	for number, nd := range sm.pickNodes(len(sm.nodes)) {
		nd.side = number % 3 / 2
	}
	for _, mg := range sm.managers {
		mg.side = sm.random.IntN(2)
		if mg.conn != nil && mg.conn.term.side != mg.side {
			mg.conn.cutUntil = until
		}
	}
	for _, tm := range sm.terms {
		tm.side = 0
	}
	sm.side = 1
	sm.replaceHolder(sm.now.Add(bounds.MaxOverrun))
}

// pickManagers returns a random selection of managers.
func (sm *Simulation) pickManagers(count int) []*manager {
	picked := slices.Clone(sm.managers)
	sm.random.Shuffle(len(picked), func(a, b int) { picked[a], picked[b] = picked[b], picked[a] })
	return picked[:count]
}

// crashManagers stops managers until restartAt. Their connections are closed, or
// fall silent.
func (sm *Simulation) crashManagers(managers []*manager, restartAt time.Time) {
	for _, mg := range managers {
		sm.tracef("manager %s crashes", mg.info.ID)
		mg.isUp = false
		mg.restartAt = restartAt
		if mg.conn == nil {
			continue
		}
		if sm.random.IntN(2) == 0 {
			sm.closeConnection(mg.conn)
		}
		mg.conn.isClosed = true
		mg.conn.isAbandoned = true
	}
}

// cutConnections holds up the messages between managers and the holder.
func (sm *Simulation) cutConnections(managers []*manager, until time.Time) {
	for _, mg := range managers {
		sm.tracef("connection of manager %s is cut", mg.info.ID)
		if mg.conn != nil {
			mg.conn.cutUntil = until
		}
	}
}

// freezeManagers suspends managers.
func (sm *Simulation) freezeManagers(managers []*manager, until time.Time) {
	for _, mg := range managers {
		sm.tracef("manager %s freezes", mg.info.ID)
		mg.frozenUntil = until
	}
}

// crash stops nodes until restartAt, or permanently if it is zero.
func (sm *Simulation) crash(nodes []*node, restartAt time.Time) {
	for _, nd := range nodes {
		if !nd.isUp {
			continue
		}
		nd.isUp = false
		nd.restartAt = restartAt
		if !sm.keepsCalls(nd) {
			sm.abandonPoll(nd)
		}
		nd.state = modeller.VMDown
		sm.timers.add(sm.now.Add(3*time.Second), func() {
			if !nd.isUp && nd.isListed {
				sm.unlistWorker(nd)
			}
		})
	}
}

// recordWave records a maintenance wave over half of the VMs.
func (sm *Simulation) recordWave() {
	if sm.wave != nil {
		return
	}
	sm.wave = &modeller.Wave{
		Number:   1,
		Duration: 20 * time.Second,
		MaxDown:  maxInMaintenance,
	}
	for number, id := range slices.Sorted(maps.Keys(sm.nodes)) {
		if number%2 == 0 {
			sm.wave.VMs = append(sm.wave.VMs, sm.nodes[id].info.VM)
		}
	}
	sm.notifyHolders(allocator.WaveRecorded{Wave: *sm.wave})
}
