package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// planInterval is the interval between plans of a holder that receives no events.
const planInterval = 25 * time.Millisecond

// runTimers calls the callbacks that are due.
func (sm *Simulation) runTimers() {
	for {
		callback, ok := sm.timers.next(sm.now)
		if !ok {
			return
		}
		callback()
	}
}

// runHolders elects a new holder if one is due, ends expired terms, and sends
// the orders and stores the batches of the other holders.
func (sm *Simulation) runHolders() {
	if !sm.nextElectionAt.IsZero() && !sm.now.Before(sm.nextElectionAt) && !sm.store.isDown {
		sm.elect()
	}
	for _, tm := range sm.terms {
		if !tm.endsAt.IsZero() && !sm.now.Before(tm.endsAt) {
			tm.isOver = true
		}
	}
	sm.terms = slices.DeleteFunc(sm.terms, func(tm *term) bool { return tm.isOver })
	for _, tm := range sm.terms {
		if !tm.hasChanges && sm.now.Sub(tm.plannedAt) < planInterval {
			continue
		}
		tm.hasChanges = false
		tm.plannedAt = sm.now
		if tm.endsAt.IsZero() && !sm.store.isDown {
			tm.al.ConfirmDuty(sm.now)
		}
		orders := tm.al.Plan(sm.now, sm.now.Add(tm.skew))
		for _, od := range orders {
			sm.sendFleetOrder(tm, od)
		}
		sm.applyEvents(tm, tm.distributor.Dispatch(sm.now, orders))
		sm.removeLostKeepers(tm)
		sm.sendToKeepers(tm)
		for _, fi := range tm.al.LogEntries() {
			sm.tracef("holder %d: %s %s%s %s attempt %d: %s", tm.fence, fi.Message, fi.Job, fi.Task, fi.Worker, fi.Attempt, fi.Reason)
		}
		for bt := tm.al.Batch(sm.now); bt != nil; bt = tm.al.Batch(sm.now) {
			sm.storeBatch(tm, bt)
		}
	}
}

// removeLostKeepers closes the connections of keepers that are silent.
func (sm *Simulation) removeLostKeepers(tm *term) {
	lost, events := tm.distributor.Tick(sm.now)
	for _, id := range lost {
		sm.tracef("holder %d: keeper %s lost", tm.fence, id)
		if cn := tm.conns[id]; cn != nil {
			delete(tm.conns, id)
			cn.isClosed = true
		}
	}
	sm.applyEvents(tm, events)
}

// sendFleetOrder schedules the delivery of an order that no worker receives.
func (sm *Simulation) sendFleetOrder(tm *term, od allocator.Order) {
	switch od := od.(type) {
	case allocator.VMOrder:
		sm.sendVMOrder(tm, od)
	case allocator.ListVMsOrder:
		sm.listVMs(tm)
	case allocator.AdviceOrder:
		sm.notify(tm, messageDelay, allocator.AdviceResult{Task: od.Task, Failed: true})
	}
}

// carryOut schedules the delivery of an order from a manager to a worker, unless
// the permission has run out.
func (sm *Simulation) carryOut(cn *connection, to distributor.TimedOrder) {
	isExpired := !sm.now.Before(to.ValidUntil)
	switch od := to.Order.(type) {
	case allocator.PollOrder:
		if isExpired {
			sm.answer(cn, allocator.PollFailed{Worker: od.Worker.ID, SentAt: sm.now, Outcome: allocator.KeeperLost})
			return
		}
		sm.sendPoll(cn, od)
	case allocator.StartOrder:
		var clock time.Duration
		sm.sendOrder(cn, isExpired, od.Worker, func(oc allocator.Outcome) allocator.Event {
			return allocator.StartResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc, Clock: clock}
		}, func(nd *node) allocator.Outcome {
			clock = nd.ex.Clock(sm.now)
			return sm.carryOutStart(cn.term, nd, od)
		})
	case allocator.StopOrder:
		sm.tracef("holder %d: stop %s attempt %d at %s", cn.term.fence, od.Task, od.Attempt, od.Worker.ID)
		sm.sendOrder(cn, isExpired, od.Worker, func(oc allocator.Outcome) allocator.Event {
			return allocator.StopResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc}
		}, func(nd *node) allocator.Outcome { return sm.carryOutStop(cn.term, nd, od) })
	case allocator.PaceOrder:
		sm.sendOrder(cn, isExpired, od.Worker, func(oc allocator.Outcome) allocator.Event {
			return allocator.PaceResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Percent: od.Percent, Outcome: oc}
		}, func(nd *node) allocator.Outcome {
			return outcomeOf(nd.ex.Pace(sm.now, fenceOf(cn.term, od.Worker), od.Task, od.Attempt, od.Percent))
		})
	}
}

// sendOrder schedules an order to a worker. The order may be carried out after
// the message delay, seconds late or not at all, with or without an answer.
func (sm *Simulation) sendOrder(cn *connection, isExpired bool, worker modeller.Worker, outcome func(oc allocator.Outcome) allocator.Event, carryOut func(nd *node) allocator.Outcome) {
	if isExpired {
		sm.answer(cn, outcome(allocator.NotSent))
		return
	}
	arrival := messageDelay
	nd := sm.nodes[worker.ID]
	isDelayed := nd != nil && sm.random.Float64() < nd.delayedShare
	incarnation := 0
	if isDelayed {
		incarnation = nd.incarnation
		arrival = 2*time.Second + time.Duration(sm.random.IntN(10_000))*time.Millisecond
		sm.answerAfter(cn, orderTimeout, outcome, allocator.Unanswered)
		if sm.networkRandom != nil {
			sm.sendLate(cn, worker.ID, arrival, carryOut)
			return
		}
	}
	isAnswered := isDelayed
	answer := func(delay time.Duration, oc allocator.Outcome) {
		if !isAnswered {
			isAnswered = true
			sm.answerAfter(cn, delay, outcome, oc)
		}
	}
	deliver := func() {
		nd := sm.nodes[worker.ID]
		switch {
		case isDelayed && (nd == nil || nd.incarnation != incarnation):
			// A delayed order is lost when its worker restarts.
		case !sm.canReach(cn.manager, nd):
			answer(orderTimeout, allocator.Unanswered)
		case !sm.isAddressee(nd, worker):
			answer(messageDelay, allocator.Restarted)
		default:
			answer(messageDelay, carryOut(nd))
		}
	}
	sm.timers.add(sm.now.Add(arrival), func() {
		sm.hold(cn, worker.ID, deliver, func() { answer(0, allocator.Unanswered) })
	})
}

// fenceOf returns the fencing token of a holder's orders to a worker.
func fenceOf(tm *term, worker modeller.Worker) uint64 { return worker.FencingToken(tm.fence) }

// answerAfter sends the outcome of an order from its manager after a delay.
func (sm *Simulation) answerAfter(cn *connection, delay time.Duration, outcome func(oc allocator.Outcome) allocator.Event, oc allocator.Outcome) {
	sm.atManager(cn, sm.now.Add(delay), func() { sm.answer(cn, outcome(oc)) })
}

// failPoll sends the failure of a poll from its manager after a delay.
func (sm *Simulation) failPoll(cn *connection, delay time.Duration, id modeller.WorkerID, oc allocator.Outcome) {
	sm.atManager(cn, sm.now.Add(delay), func() {
		sm.answer(cn, allocator.PollFailed{Worker: id, SentAt: sm.now, Outcome: oc})
	})
}

func (sm *Simulation) sendPoll(cn *connection, po allocator.PollOrder) {
	id := po.Worker.ID
	isAnswered := false
	fail := func(delay time.Duration, oc allocator.Outcome) {
		if !isAnswered {
			isAnswered = true
			sm.failPoll(cn, delay, id, oc)
		}
	}
	deliver := func() {
		nd := sm.nodes[id]
		if !sm.canReach(cn.manager, nd) {
			fail(po.Wait+orderTimeout, allocator.Unanswered)
			return
		}
		if !sm.isAddressee(nd, po.Worker) {
			fail(messageDelay, allocator.Restarted)
			return
		}
		sm.checkAcknowledged(nd, po)
		if _, _, ok := nd.ex.Poll(sm.now, fenceOf(cn.term, po.Worker), po.LeaseEnd, po.AcknowledgedEnds); !ok {
			fail(messageDelay, allocator.Fenced)
			return
		}
		if isAnswered {
			return
		}
		sm.abandonPoll(nd)
		isAnswered = true
		nd.poll = &pendingPoll{
			conn:        cn,
			order:       po,
			until:       sm.now.Add(po.Wait),
			incarnation: nd.incarnation,
		}
	}
	sm.timers.add(sm.now.Add(messageDelay), func() {
		sm.hold(cn, id, deliver, func() { fail(0, allocator.Unanswered) })
	})
}

// abandonPoll drops a node's pending poll, which then times out at its manager.
func (sm *Simulation) abandonPoll(nd *node) {
	if pol := nd.poll; pol != nil {
		nd.poll = nil
		sm.failPoll(pol.conn, pol.until.Sub(sm.now)+orderTimeout, nd.info.ID, allocator.Unanswered)
	}
}

// answerPoll answers a pending poll with the worker's report.
func (sm *Simulation) answerPoll(nd *node, pol *pendingPoll) {
	id := nd.info.ID
	if !sm.canReach(pol.conn.manager, nd) {
		sm.failPoll(pol.conn, orderTimeout, id, allocator.Unanswered)
		return
	}
	report := nd.ex.Report(sm.now)
	sm.atManager(pol.conn, sm.now.Add(messageDelay), func() {
		sm.answer(pol.conn, allocator.ReportReceived{
			Worker: id,
			Report: report,
		})
	})
}

func (sm *Simulation) carryOutStart(tm *term, nd *node, so allocator.StartOrder) allocator.Outcome {
	if so.Payload != string(so.Task.Job) {
		sm.recordViolation("UNASKED", "%s is started with payload %q", so.Task, so.Payload)
	}
	before := nd.ex.Runs()[so.Task]
	oc := outcomeOf(nd.ex.Start(sm.now, executor.StartOrder{
		Fence:      fenceOf(tm, so.Worker),
		Task:       so.Task,
		Attempt:    so.Attempt,
		Checkpoint: so.Checkpoint,
		LeaseEnd:   so.LeaseEnd,
	}))
	if oc == allocator.Accepted && before != so.Attempt {
		sm.checkStart(nd, so)
	}
	return oc
}

func (sm *Simulation) carryOutStop(tm *term, nd *node, so allocator.StopOrder) allocator.Outcome {
	sm.checkStop(nd, so)
	return outcomeOf(nd.ex.Stop(sm.now, fenceOf(tm, so.Worker), so.Task, so.Attempt))
}

func outcomeOf(refusal executor.Refusal, ok bool) allocator.Outcome {
	switch {
	case ok:
		return allocator.Accepted
	case refusal == executor.RefusedFence:
		return allocator.Fenced
	case refusal == executor.RefusedStale:
		return allocator.Outdated
	case refusal == executor.RefusedExpired:
		return allocator.Late
	}
	return allocator.Full
}

func (sm *Simulation) listVMs(tm *term) {
	asked := sm.now
	var vms []modeller.VM
	for _, id := range slices.Sorted(maps.Keys(sm.nodes)) {
		nd := sm.nodes[id]
		if hasLeft := !nd.isUp && nd.restartAt.IsZero(); hasLeft {
			continue
		}
		vms = append(vms, modeller.VM{
			Name:   nd.info.VM,
			Pool:   nd.info.Pool,
			State:  nd.state,
			Worker: nd.info.ID,
		})
	}
	sm.notify(tm, 2*messageDelay, allocator.VMsListed{VMs: vms, RequestedAt: asked})
}
