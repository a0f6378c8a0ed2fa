package emulator

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// planInterval is how often a holder plans without news.
const planInterval = 25 * time.Millisecond

// deliver carries out what is due.
func (dy *Day) deliver() {
	for {
		act, ok := dy.due.next(dy.now)
		if !ok {
			return
		}
		act()
	}
}

// hold has all holders plan and carries their orders out.
func (dy *Day) hold() {
	if !dy.nextTermAt.IsZero() && !dy.now.Before(dy.nextTermAt) && !dy.store.isDown {
		dy.win()
	}
	for _, tm := range dy.terms {
		if !tm.endsAt.IsZero() && !dy.now.Before(tm.endsAt) {
			tm.isOver = true
		}
	}
	dy.terms = slices.DeleteFunc(dy.terms, func(tm *term) bool { return tm.isOver })
	for _, tm := range dy.terms {
		if !tm.hasNews && dy.now.Sub(tm.plannedAt) < planInterval {
			continue
		}
		tm.hasNews = false
		tm.plannedAt = dy.now
		if tm.endsAt.IsZero() && !dy.store.isDown {
			tm.al.ConfirmDuty(dy.now)
		}
		for _, od := range tm.al.Plan(dy.now, dy.now.Add(tm.skew)) {
			dy.send(tm, od)
		}
		for _, fi := range tm.al.LogEntries() {
			dy.tracef("holder %d: %s %s%s %s attempt %d: %s", tm.fence, fi.Message, fi.Job, fi.Task, fi.Worker, fi.Attempt, fi.Reason)
		}
		if bt := tm.al.Batch(dy.now); bt != nil {
			dy.keep(tm, bt)
		}
	}
}

// send sends an order on its way.
func (dy *Day) send(tm *term, od allocator.Order) {
	switch od := od.(type) {
	case allocator.PollOrder:
		dy.sendPoll(tm, od)
	case allocator.StartOrder:
		dy.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.StartResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc}
		}, func(nd *node) allocator.Outcome { return dy.carryOutStart(tm, nd, od) })
	case allocator.StopOrder:
		dy.tracef("holder %d: stop %s attempt %d at %s", tm.fence, od.Task, od.Attempt, od.Worker.ID)
		dy.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.StopResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Outcome: oc}
		}, func(nd *node) allocator.Outcome { return dy.carryOutStop(tm, nd, od) })
	case allocator.PaceOrder:
		dy.sendOrder(tm, od.Worker.ID, func(oc allocator.Outcome) allocator.Event {
			return allocator.PaceResult{Worker: od.Worker.ID, Task: od.Task, Attempt: od.Attempt, Percent: od.Percent, Outcome: oc}
		}, func(nd *node) allocator.Outcome {
			return outcomeOf(nd.ex.Pace(dy.now, tm.fence, od.Task, od.Attempt, od.Percent))
		})
	case allocator.VMOrder:
		dy.due.add(dy.now.Add(hop), func() { dy.carryOutVM(tm, od) })
	case allocator.ListVMsOrder:
		dy.listVMs(tm)
	case allocator.AdviceOrder:
		dy.tell(tm, hop, allocator.AdviceResult{Task: od.Task, Failed: true})
	}
}

// sendOrder carries an order out at its worker: at once, late or never, with an
// answer or without.
func (dy *Day) sendOrder(tm *term, id modeller.WorkerID, answer func(oc allocator.Outcome) allocator.Event, carryOut func(nd *node) allocator.Outcome) {
	arrival := hop
	nd := dy.nodes[id]
	isLate := nd != nil && dy.random.Float64() < nd.lateShare
	life := 0
	if isLate {
		life = nd.life
		arrival = 2*time.Second + time.Duration(dy.random.IntN(10_000))*time.Millisecond
	}
	dy.due.add(dy.now.Add(arrival), func() {
		nd := dy.nodes[id]
		if tm.isOver && !isLate {
			return
		}
		if !dy.reaches(tm, nd) || isLate && nd.life != life {
			// A worker that puts an order off loses it with its life.
			if !isLate {
				dy.tell(tm, orderTimeout, answer(allocator.Unanswered))
			}
			return
		}
		oc := carryOut(nd)
		dy.finishOrder(tm, oc)
		if !isLate {
			dy.tell(tm, hop, answer(oc))
		}
	})
	if isLate {
		dy.tell(tm, orderTimeout, answer(allocator.Unanswered))
	}
}

// finishOrder ends a holder whose order was refused for a later holder's.
func (dy *Day) finishOrder(tm *term, oc allocator.Outcome) {
	if oc == allocator.Fenced {
		tm.isOver = true
	}
}

func (dy *Day) sendPoll(tm *term, po allocator.PollOrder) {
	sent := dy.now
	id := po.Worker.ID
	dy.due.add(dy.now.Add(hop), func() {
		nd := dy.nodes[id]
		if !dy.reaches(tm, nd) {
			dy.tell(tm, po.Wait+orderTimeout, allocator.PollFailed{Worker: id, SentAt: sent, Outcome: allocator.Unanswered})
			return
		}
		dy.acknowledge(nd, po)
		if _, _, ok := nd.ex.Poll(dy.now, tm.fence, po.LeaseEnd, po.AcknowledgedEnds); !ok {
			tm.isOver = true
			return
		}
		dy.dropPoll(nd)
		nd.poll = &waitingPoll{
			term:  tm,
			order: po,
			sent:  sent,
			until: dy.now.Add(po.Wait),
		}
	})
}

// dropPoll leaves the poll that waits at a node without an answer.
func (dy *Day) dropPoll(nd *node) {
	if pol := nd.poll; pol != nil {
		nd.poll = nil
		dy.tell(pol.term, pol.until.Sub(dy.now)+orderTimeout, allocator.PollFailed{Worker: nd.info.ID, SentAt: pol.sent, Outcome: allocator.Unanswered})
	}
}

// answerPoll answers a poll that has waited.
func (dy *Day) answerPoll(nd *node, pol *waitingPoll) {
	id := nd.info.ID
	if !dy.reaches(pol.term, nd) {
		dy.tell(pol.term, orderTimeout, allocator.PollFailed{Worker: id, SentAt: pol.sent, Outcome: allocator.Unanswered})
		return
	}
	report := nd.ex.Report(dy.now)
	dy.due.add(dy.now.Add(hop), func() {
		if !pol.term.isOver {
			pol.term.hasNews = true
			pol.term.al.Apply(dy.now, allocator.ReportReceived{
				Worker:     id,
				SentAt:     pol.sent,
				ReceivedAt: dy.now,
				Report:     report,
			})
		}
	})
}

func (dy *Day) carryOutStart(tm *term, nd *node, so allocator.StartOrder) allocator.Outcome {
	before := nd.ex.Runs()[so.Task]
	oc := outcomeOf(nd.ex.Start(dy.now, tm.fence, so.Task, so.Attempt, so.Checkpoint, so.LeaseEnd))
	if oc == allocator.Accepted && before != so.Attempt {
		dy.checkStart(nd, so)
	}
	return oc
}

func (dy *Day) carryOutStop(tm *term, nd *node, so allocator.StopOrder) allocator.Outcome {
	dy.checkStop(nd, so)
	return outcomeOf(nd.ex.Stop(dy.now, tm.fence, so.Task, so.Attempt))
}

func outcomeOf(refusal executor.Refusal, ok bool) allocator.Outcome {
	switch {
	case ok:
		return allocator.Accepted
	case refusal == executor.RefusedFence:
		return allocator.Fenced
	case refusal == executor.RefusedOld:
		return allocator.Outdated
	case refusal == executor.RefusedLate:
		return allocator.Late
	}
	return allocator.Full
}

func (dy *Day) listVMs(tm *term) {
	asked := dy.now
	var vms []modeller.VM
	for _, id := range slices.Sorted(maps.Keys(dy.nodes)) {
		nd := dy.nodes[id]
		if hasLeft := !nd.isUp && nd.backAt.IsZero(); hasLeft {
			continue
		}
		vms = append(vms, modeller.VM{
			Name:   nd.info.VM,
			Pool:   nd.info.Pool,
			State:  nd.state,
			Worker: nd.info.ID,
		})
	}
	dy.tell(tm, 2*hop, allocator.VMsListed{VMs: vms, RequestedAt: asked})
}

func (dy *Day) carryOutVM(tm *term, vo allocator.VMOrder) {
	for _, nd := range dy.nodes {
		if nd.info.VM != vo.VM {
			continue
		}
		if !nd.isUp {
			dy.tell(tm, hop, allocator.VMOrderResult{Order: vo, Outcome: allocator.Busy})
			return
		}
		if nd.isMaintained {
			dy.tell(tm, hop, allocator.VMOrderResult{Order: vo, Outcome: allocator.Accepted})
			return
		}
		dy.checkMaintenance(nd)
		nd.isMaintained = true
		nd.isUp = false
		nd.state = modeller.VMMaintenance
		dy.dropPoll(nd)
		nd.backAt = dy.now.Add(bounds.MaintenanceTime)
		dy.unlist(nd)
		dy.tell(tm, hop, allocator.VMOrderResult{Order: vo, Outcome: allocator.Accepted})
		return
	}
}
