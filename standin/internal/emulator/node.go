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

// node is a VM with the present life of its worker.
type node struct {
	ex       *executor.Executor
	info     modeller.Worker
	isUp     bool
	isListed bool
	// cutUntil is until when messages to it are lost.
	cutUntil time.Time
	backAt   time.Time
	state    modeller.VMState
	// isMaintained is true once the wave's maintenance of the VM has begun.
	isMaintained bool
	life         int
	// poll is the poll that waits here.
	poll *waitingPoll
	// lateShare of the orders get no answer and are carried out late.
	lateShare float64
}

// waitingPoll is a poll that waits for an end.
type waitingPoll struct {
	term  *term
	order allocator.PollOrder
	sent  time.Time
	until time.Time
}

func (dy *Day) addNode(pool, vm string) {
	nd := &node{
		isUp:     true,
		isListed: true,
		state:    modeller.VMUp,
	}
	nd.info = modeller.Worker{
		Pool:   pool,
		Labels: []string{"a", "r1"},
		Capacity: modeller.Resources{
			MilliCores: 16_000,
			MemoryMB:   64_000,
		},
		VM: vm,
	}
	dy.renew(nd, modeller.WorkerID("w-"+vm))
	dy.list(nd)
}

// renew gives a node a new life under an ID.
func (dy *Day) renew(nd *node, id modeller.WorkerID) {
	if nd.info.ID != "" {
		delete(dy.nodes, nd.info.ID)
	}
	nd.info.ID = id
	nd.info.StartedAtMS = dy.now.UnixMilli()
	nd.life++
	dy.dropPoll(nd)
	life := nd.life
	nd.ex = executor.New(dy.now, executor.Settings{
		Worker:   nd.info,
		StopTime: time.Duration(150+dy.random.IntN(750)) * time.Millisecond,
		MaxLease: 10 * time.Second,
		Drift:    0.02 * dy.random.Float64(),
		Profile:  dy.profile,
		Ended:    func(end modeller.End) { dy.noteEnd(nd, life, end) },
	})
	dy.nodes[id] = nd
	dy.ordered = nil
}

// list tells the holders of a worker's entry in the directory.
func (dy *Day) list(nd *node) {
	nd.isListed = true
	info := nd.info
	dy.tellAll(allocator.WorkerListed{Worker: info})
}

func (dy *Day) unlist(nd *node) {
	nd.isListed = false
	dy.tellAll(allocator.WorkerUnlisted{Worker: nd.info.ID})
}

// advance lets the workers' time pass and answers the polls that wait.
func (dy *Day) advance() {
	for _, nd := range dy.nodesInOrder() {
		if !nd.isUp {
			if !nd.backAt.IsZero() && !dy.now.Before(nd.backAt) {
				dy.comeBack(nd)
			}
			continue
		}
		nd.ex.Advance(dy.now)
		if pol := nd.poll; pol != nil && (nd.ex.HasEnds(pol.order.AcknowledgedEnds) || !dy.now.Before(pol.until)) {
			nd.poll = nil
			dy.answerPoll(nd, pol)
		}
	}
}

// nodesInOrder returns the nodes by their workers' IDs.
func (dy *Day) nodesInOrder() []*node {
	if dy.ordered == nil {
		for _, id := range slices.Sorted(maps.Keys(dy.nodes)) {
			dy.ordered = append(dy.ordered, dy.nodes[id])
		}
	}
	return dy.ordered
}

// comeBack starts a node's next life, under its old ID or a new one.
func (dy *Day) comeBack(nd *node) {
	nd.isUp = true
	nd.backAt = time.Time{}
	nd.state = modeller.VMUp
	id := nd.info.ID
	if dy.random.Float64() < 0.5 {
		id = modeller.WorkerID(fmt.Sprintf("w-%s-%d", nd.info.VM, nd.life))
		dy.unlist(nd)
	}
	nd.info.IsDraining = false
	dy.renew(nd, id)
	life := nd.life
	dy.due.add(dy.now.Add(time.Duration(dy.random.Int64N(int64(heartbeatInterval)))), func() {
		if nd.isUp && nd.life == life {
			dy.list(nd)
		}
	})
}

// heartbeatInterval is how long a worker may take to report to the directory
// after its start; the VM interface names it at once.
const heartbeatInterval = 1500 * time.Millisecond
