package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
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
		for _, od := range tm.al.Plan(sm.now, sm.now.Add(tm.skew)) {
			sm.send(tm, od)
		}
		for _, fi := range tm.al.LogEntries() {
			sm.tracef("holder %d: %s %s%s %s attempt %d: %s", tm.fence, fi.Message, fi.Job, fi.Task, fi.Worker, fi.Attempt, fi.Reason)
		}
		if bt := tm.al.Batch(sm.now); bt != nil {
			sm.storeBatch(tm, bt)
		}
	}
}

// send schedules the delivery of an order.
func (sm *Simulation) send(tm *term, od allocator.Order) {
	switch od := od.(type) {
	case allocator.PollOrder:
		sm.sendPoll(tm, od)
	case allocator.StartOrder:
		var clock time.Duration
		sm.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.StartResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc, Clock: clock}
		}, func(nd *node) allocator.Outcome {
			clock = nd.ex.Clock(sm.now)
			return sm.carryOutStart(tm, nd, od)
		})
	case allocator.StopOrder:
		sm.tracef("holder %d: stop %s attempt %d at %s", tm.fence, od.Task, od.Attempt, od.Worker.ID)
		sm.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.StopResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc}
		}, func(nd *node) allocator.Outcome { return sm.carryOutStop(tm, nd, od) })
	case allocator.PaceOrder:
		sm.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.PaceResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Percent: od.Percent, Outcome: oc}
		}, func(nd *node) allocator.Outcome {
			return outcomeOf(nd.ex.Pace(sm.now, tm.fence, od.Task, od.Attempt, od.Percent))
		})
	case allocator.VMOrder:
		sm.timers.add(sm.now.Add(messageDelay), func() { sm.carryOutVM(tm, od) })
	case allocator.ListVMsOrder:
		sm.listVMs(tm)
	case allocator.AdviceOrder:
		sm.notify(tm, messageDelay, allocator.AdviceResult{Task: od.Task, Failed: true})
	}
}

// sendOrder schedules an order to a worker. The order may be carried out after
// the message delay, seconds late or not at all, with or without an answer.
func (sm *Simulation) sendOrder(tm *term, id modeller.WorkerID, answer func(oc allocator.Outcome) allocator.Event, carryOut func(nd *node) allocator.Outcome) {
	arrival := messageDelay
	nd := sm.nodes[id]
	isDelayed := nd != nil && sm.random.Float64() < nd.delayedShare
	incarnation := 0
	if isDelayed {
		incarnation = nd.incarnation
		arrival = 2*time.Second + time.Duration(sm.random.IntN(10_000))*time.Millisecond
	}
	sm.timers.add(sm.now.Add(arrival), func() {
		nd := sm.nodes[id]
		if tm.isOver && !isDelayed {
			return
		}
		if !sm.canReach(tm, nd) || isDelayed && nd.incarnation != incarnation {
			// A delayed order is lost when its worker restarts.
			if !isDelayed {
				sm.notify(tm, orderTimeout, answer(allocator.Unanswered))
			}
			return
		}
		oc := carryOut(nd)
		sm.finishOrder(tm, oc)
		if !isDelayed {
			sm.notify(tm, messageDelay, answer(oc))
		}
	})
	if isDelayed {
		sm.notify(tm, orderTimeout, answer(allocator.Unanswered))
	}
}

// finishOrder ends a holder whose order was refused because its fencing token
// was stale.
func (sm *Simulation) finishOrder(tm *term, oc allocator.Outcome) {
	if oc == allocator.Fenced {
		tm.isOver = true
	}
}

func (sm *Simulation) sendPoll(tm *term, po allocator.PollOrder) {
	sent := sm.now
	id := po.Worker.ID
	sm.timers.add(sm.now.Add(messageDelay), func() {
		nd := sm.nodes[id]
		if !sm.canReach(tm, nd) {
			sm.notify(tm, po.Wait+orderTimeout, allocator.PollFailed{Worker: id, SentAt: sent, Outcome: allocator.Unanswered})
			return
		}
		sm.checkAcknowledged(nd, po)
		if _, _, ok := nd.ex.Poll(sm.now, tm.fence, po.LeaseEnd, po.AcknowledgedEnds); !ok {
			tm.isOver = true
			return
		}
		sm.abandonPoll(nd)
		nd.poll = &pendingPoll{
			term:  tm,
			order: po,
			sent:  sent,
			until: sm.now.Add(po.Wait),
		}
	})
}

// abandonPoll drops a node's pending poll, which then times out at the holder.
func (sm *Simulation) abandonPoll(nd *node) {
	if pol := nd.poll; pol != nil {
		nd.poll = nil
		sm.notify(pol.term, pol.until.Sub(sm.now)+orderTimeout, allocator.PollFailed{Worker: nd.info.ID, SentAt: pol.sent, Outcome: allocator.Unanswered})
	}
}

// answerPoll answers a pending poll with the worker's report.
func (sm *Simulation) answerPoll(nd *node, pol *pendingPoll) {
	id := nd.info.ID
	if !sm.canReach(pol.term, nd) {
		sm.notify(pol.term, orderTimeout, allocator.PollFailed{Worker: id, SentAt: pol.sent, Outcome: allocator.Unanswered})
		return
	}
	report := nd.ex.Report(sm.now)
	sm.timers.add(sm.now.Add(messageDelay), func() {
		if !pol.term.isOver {
			pol.term.hasChanges = true
			pol.term.al.Apply(sm.now, allocator.ReportReceived{
				Worker:     id,
				SentAt:     pol.sent,
				ReceivedAt: sm.now,
				Report:     report,
			})
		}
	})
}

func (sm *Simulation) carryOutStart(tm *term, nd *node, so allocator.StartOrder) allocator.Outcome {
	before := nd.ex.Runs()[so.Task]
	oc := outcomeOf(nd.ex.Start(sm.now, tm.fence, so.Task, so.Attempt, so.Checkpoint, so.LeaseEnd))
	if oc == allocator.Accepted && before != so.Attempt {
		sm.checkStart(nd, so)
	}
	return oc
}

func (sm *Simulation) carryOutStop(tm *term, nd *node, so allocator.StopOrder) allocator.Outcome {
	sm.checkStop(nd, so)
	return outcomeOf(nd.ex.Stop(sm.now, tm.fence, so.Task, so.Attempt))
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

func (sm *Simulation) carryOutVM(tm *term, vo allocator.VMOrder) {
	for _, nd := range sm.nodes {
		if nd.info.VM != vo.VM {
			continue
		}
		if !nd.isUp {
			sm.notify(tm, messageDelay, allocator.VMOrderResult{Order: vo, Outcome: allocator.Busy})
			return
		}
		if nd.isMaintained {
			sm.notify(tm, messageDelay, allocator.VMOrderResult{Order: vo, Outcome: allocator.Accepted})
			return
		}
		sm.checkMaintenance(nd)
		nd.isMaintained = true
		nd.isUp = false
		nd.state = modeller.VMMaintenance
		sm.abandonPoll(nd)
		nd.restartAt = sm.now.Add(bounds.MaintenanceTime)
		sm.unlistWorker(nd)
		sm.notify(tm, messageDelay, allocator.VMOrderResult{Order: vo, Outcome: allocator.Accepted})
		return
	}
}
