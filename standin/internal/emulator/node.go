package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// node is a VM with the current incarnation of its worker.
type node struct {
	ex       *executor.Executor
	info     modeller.Worker
	isUp     bool
	isListed bool
	// writtenAt is when the worker last wrote its entry of the directory.
	writtenAt time.Time
	// unreachableUntil is the time until which messages to the node are lost.
	unreachableUntil time.Time
	restartAt        time.Time
	state            modeller.VMState
	// isMaintained is true once the wave has started maintenance of the VM.
	isMaintained bool
	incarnation  int
	// keepsID is true if the next incarnation has the ID of the present one.
	keepsID bool
	// vmFence is the highest fencing token of an order for the VM.
	vmFence uint64
	// side is the side of a partition that the node is on.
	side int
	// poll is the pending long poll, or nil.
	poll *pendingPoll
	// held are the calls that wait for the next incarnation.
	held []func()
	// delayedShare is the share of orders that get no answer in time and are
	// carried out late.
	delayedShare float64
}

// pendingPoll is a long poll that waits for a run to end.
type pendingPoll struct {
	conn  *connection
	order allocator.PollOrder
	until time.Time
	// incarnation is the one that the poll was sent to.
	incarnation int
}

func (sm *Simulation) addNode(pool, vm, zone string) {
	nd := &node{
		isUp:     true,
		isListed: true,
		state:    modeller.VMUp,
	}
	nd.info = modeller.Worker{
		Pool:   pool,
		Zone:   zone,
		Labels: []string{"a", "r1"},
		Capacity: modeller.Resources{
			MilliCores: 1000 * workerCores,
			MemoryMB:   64_000,
		},
		VM: vm,
	}
	sm.restartWorker(nd, modeller.WorkerID("w-"+vm))
	sm.listWorker(nd)
}

// restartWorker starts a new incarnation of a node's worker under an ID.
func (sm *Simulation) restartWorker(nd *node, id modeller.WorkerID) {
	if nd.info.ID != "" {
		delete(sm.nodes, nd.info.ID)
	}
	nd.info.ID = id
	nd.info.StartedAtMS = sm.now.UnixMilli()
	nd.incarnation++
	if !sm.keepsCalls(nd) {
		sm.abandonPoll(nd)
	}
	incarnation := nd.incarnation
	nd.ex = executor.New(sm.now, executor.Settings{
		Worker:      nd.info,
		StopTime:    time.Duration(150+sm.random.IntN(750)) * time.Millisecond,
		MaxLease:    10 * time.Second,
		Drift:       0.02 * sm.random.Float64(),
		ClockOffset: sm.drawClockOffset(),
		Profile:     sm.profile,
		OnEnd:       func(end modeller.End) { sm.recordEnd(nd, incarnation, end) },
	})
	sm.nodes[id] = nd
	sm.sortedNodes = nil
}

// listWorker adds a worker's entry to the directory and notifies the holders.
func (sm *Simulation) listWorker(nd *node) {
	nd.isListed = true
	nd.writtenAt = sm.now
	info := nd.info
	sm.notifyHolders(allocator.WorkerListed{Worker: info})
}

func (sm *Simulation) unlistWorker(nd *node) {
	nd.isListed = false
	sm.notifyHolders(allocator.WorkerUnlisted{Worker: nd.info.ID})
}

// advance moves the workers to the current time, restarts nodes that are due and
// answers the polls that have an end to report or have reached their timeout.
func (sm *Simulation) advance() {
	for _, nd := range sm.nodesInOrder() {
		if !nd.isUp {
			if !nd.restartAt.IsZero() && !sm.now.Before(nd.restartAt) {
				sm.restartNode(nd)
			}
			continue
		}
		nd.ex.Advance(sm.now)
		if nd.isListed && !sm.store.isDown && sm.now.Sub(nd.writtenAt) >= heartbeatInterval {
			sm.listWorker(nd)
		}
		sm.continuePoll(nd)
		if pol := nd.poll; pol != nil && (nd.ex.HasEnds(pol.order.AcknowledgedEnds) || !sm.now.Before(pol.until)) {
			nd.poll = nil
			sm.answerPoll(nd, pol)
		}
	}
}

// isAddressee reports whether an order to a worker reaches the present incarnation. A
// manager sends it on a connection on which the worker has said which one it is.
func (sm *Simulation) isAddressee(nd *node, worker modeller.Worker) bool {
	return sm.keepsConnections || worker.StartedAtMS == 0 || worker.StartedAtMS == nd.info.StartedAtMS
}

// nodesInOrder returns the nodes sorted by worker ID.
func (sm *Simulation) nodesInOrder() []*node {
	if sm.sortedNodes == nil {
		for _, id := range slices.Sorted(maps.Keys(sm.nodes)) {
			sm.sortedNodes = append(sm.sortedNodes, sm.nodes[id])
		}
	}
	return sm.sortedNodes
}

// restartNode restarts a node; its worker keeps its ID or gets a new one with
// equal probability, unless it is to keep it.
func (sm *Simulation) restartNode(nd *node) {
	nd.isUp = true
	nd.restartAt = time.Time{}
	nd.state = modeller.VMUp
	id := nd.info.ID
	if !nd.keepsID && sm.random.Float64() < 0.5 {
		id = modeller.WorkerID(fmt.Sprintf("w-%s-%d", nd.info.VM, nd.incarnation))
		sm.unlistWorker(nd)
	}
	nd.info.IsDraining = false
	sm.restartWorker(nd, id)
	nd.keepsID = false
	held := nd.held
	nd.held = nil
	for _, carryOut := range held {
		carryOut()
	}
	incarnation := nd.incarnation
	sm.timers.add(sm.now.Add(time.Duration(sm.random.Int64N(int64(heartbeatInterval)))), func() {
		if nd.isUp && nd.incarnation == incarnation {
			sm.listWorker(nd)
		}
	})
}

// heartbeatInterval is the interval at which workers write their entries of the
// directory. It bounds the time from a worker's start to its first entry; the VM
// interface lists the worker immediately.
const heartbeatInterval = 1500 * time.Millisecond
