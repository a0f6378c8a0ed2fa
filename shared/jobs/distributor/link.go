package distributor

import (
	"cmp"
	"iter"
	"maps"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// send queues an order to a worker.
func (li *link) send(now time.Time, wk modeller.Worker, od allocator.Order) {
	handle := li.attend(wk)
	switch od := od.(type) {
	case allocator.PollOrder:
		li.sendPoll(now, handle, od)
	case allocator.StartOrder:
		li.sendPayload(now, od)
		li.noteSent(now, startKey(od), wk)
		li.outgoing = append(li.outgoing, Start{
			Handle:         handle,
			Task:           od.Task,
			Attempt:        od.Attempt,
			Checkpoint:     od.Checkpoint,
			Ticket:         od.Ticket,
			LeaseEnd:       od.LeaseEnd,
			ReportAge:      od.ReportAge,
			FreeMilliCores: od.FreeMilliCores,
		})
	case allocator.StopOrder:
		li.noteSent(now, stopKey(od), wk)
		li.outgoing = append(li.outgoing, Stop{
			Handle:  handle,
			Task:    od.Task,
			Attempt: od.Attempt,
		})
	case allocator.PaceOrder:
		li.noteSent(now, paceKey(od), wk)
		li.outgoing = append(li.outgoing, Pace{
			Handle:  handle,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
		})
	}
}

// noteSent records that an order is sent.
func (li *link) noteSent(now time.Time, key orderKey, wk modeller.Worker) {
	so := li.orders[key]
	so.at = now
	so.generations = append(so.generations, wk.Generation)
	li.orders[key] = so
}

// attend returns the handle of a worker. It defines the handle on the first use
// and after a change of the address or the incarnation.
func (li *link) attend(wk modeller.Worker) Handle {
	handle, ok := li.handles[wk.ID]
	if ok {
		last := li.attended[handle].worker
		if last.Address == wk.Address && last.StartedAtMS == wk.StartedAtMS && last.Generation == wk.Generation {
			return handle
		}
	}
	if !ok {
		li.last++
		handle = li.last
		li.handles[wk.ID] = handle
		li.attended[handle] = &attendedWorker{}
	}
	li.attended[handle].worker = wk
	li.outgoing = append(li.outgoing, Attend{
		Handle:      handle,
		Worker:      wk.ID,
		Address:     wk.Address,
		StartedAtMS: wk.StartedAtMS,
		Generation:  wk.Generation,
	})
	return handle
}

func (li *link) sendPoll(now time.Time, handle Handle, od allocator.PollOrder) {
	aw := li.attended[handle]
	li.lastPoll++
	aw.poll = &pollInFlight{
		number:     li.lastPoll,
		sentAt:     now,
		wait:       od.Wait,
		generation: od.Worker.Generation,
	}
	li.outgoing = append(li.outgoing, Poll{
		Handle:           handle,
		Number:           li.lastPoll,
		IsFull:           !aw.hasReported,
		LeaseEnd:         od.LeaseEnd,
		AcknowledgedEnds: od.AcknowledgedEnds,
		ProcessedEnds:    od.ProcessedEnds,
		Wait:             od.Wait,
	})
}

// sendPayload makes the payload of a job known to the keeper, unless it is: it
// sends the payload if that is known and the rate permits, and otherwise lets the
// keeper read it from the store.
func (li *link) sendPayload(now time.Time, od allocator.StartOrder) {
	job := od.Task.Job
	if _, ok := li.payloads[job]; ok {
		return
	}
	li.payloads[job] = struct{}{}
	_, isMissing := li.missing[job]
	if od.HasPayload && (li.budget.take(now, len(od.Payload)) || isMissing) {
		delete(li.missing, job)
		li.outgoing = append(li.outgoing, Payload{
			Job:  job,
			Text: od.Payload,
		})
		return
	}
	li.outgoing = append(li.outgoing, Fetch{
		Job:   job,
		Queue: od.Queue,
	})
}

// forget lets the keeper discard the payload of a job that has ended.
func (li *link) forget(job modeller.JobID) {
	delete(li.missing, job)
	if _, ok := li.payloads[job]; !ok {
		return
	}
	delete(li.payloads, job)
	li.outgoing = append(li.outgoing, Forget{
		Job: job,
	})
}

func startKey(od allocator.StartOrder) orderKey {
	return orderKey{
		kind:    startKind,
		worker:  od.Worker.ID,
		task:    od.Task,
		attempt: od.Attempt,
	}
}

func stopKey(od allocator.StopOrder) orderKey {
	return orderKey{
		kind:    stopKind,
		worker:  od.Worker.ID,
		task:    od.Task,
		attempt: od.Attempt,
	}
}

func paceKey(od allocator.PaceOrder) orderKey {
	return orderKey{
		kind:    paceKind,
		worker:  od.Worker.ID,
		task:    od.Task,
		attempt: od.Attempt,
		percent: od.Percent,
	}
}

// compare orders keys by kind, worker, task and attempt.
func (ok orderKey) compare(other orderKey) int {
	return cmp.Or(cmp.Compare(ok.kind, other.kind), cmp.Compare(ok.worker, other.worker), ok.task.Compare(other.task), cmp.Compare(ok.attempt, other.attempt), cmp.Compare(ok.percent, other.percent))
}

// result returns the event with the outcome of the order.
func (ok orderKey) result(outcome allocator.Outcome, clock time.Duration) allocator.Event {
	switch ok.kind {
	case startKind:
		return allocator.StartResult{
			Worker:  ok.worker,
			Task:    ok.task,
			Attempt: ok.attempt,
			Outcome: outcome,
			Clock:   clock,
		}
	case stopKind:
		return allocator.StopResult{
			Worker:  ok.worker,
			Task:    ok.task,
			Attempt: ok.attempt,
			Outcome: outcome,
		}
	default:
		return allocator.PaceResult{
			Worker:  ok.worker,
			Task:    ok.task,
			Attempt: ok.attempt,
			Percent: ok.percent,
			Outcome: outcome,
		}
	}
}

func keysOf[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }
