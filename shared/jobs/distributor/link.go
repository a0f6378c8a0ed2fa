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
		li.sendPayload(od.Task.Job, od.Payload)
		li.orders[startKey(od)] = now
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
		li.orders[stopKey(od)] = now
		li.outgoing = append(li.outgoing, Stop{
			Handle:  handle,
			Task:    od.Task,
			Attempt: od.Attempt,
		})
	case allocator.PaceOrder:
		li.orders[paceKey(od)] = now
		li.outgoing = append(li.outgoing, Pace{
			Handle:  handle,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
		})
	}
}

// attend returns the handle of a worker. It defines the handle on the first use
// and after a change of the address.
func (li *link) attend(wk modeller.Worker) Handle {
	handle, ok := li.handles[wk.ID]
	if ok && li.attended[handle].worker.Address == wk.Address {
		return handle
	}
	if !ok {
		li.last++
		handle = li.last
		li.handles[wk.ID] = handle
		li.attended[handle] = &attendedWorker{}
	}
	li.attended[handle].worker = wk
	li.outgoing = append(li.outgoing, Attend{
		Handle:  handle,
		Worker:  wk.ID,
		Address: wk.Address,
	})
	return handle
}

func (li *link) sendPoll(now time.Time, handle Handle, od allocator.PollOrder) {
	aw := li.attended[handle]
	li.lastPoll++
	aw.poll = &pollInFlight{
		number: li.lastPoll,
		sentAt: now,
		wait:   od.Wait,
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

// sendPayload sends the payload of a job, unless the keeper holds it.
func (li *link) sendPayload(job modeller.JobID, payload string) {
	if _, ok := li.payloads[job]; ok {
		return
	}
	if len(li.payloadQueue) >= maxPayloads {
		oldest := li.payloadQueue[0]
		li.payloadQueue = li.payloadQueue[1:]
		delete(li.payloads, oldest)
		li.outgoing = append(li.outgoing, Forget{
			Job: oldest,
		})
	}
	li.payloads[job] = struct{}{}
	li.payloadQueue = append(li.payloadQueue, job)
	li.outgoing = append(li.outgoing, Payload{
		Job:  job,
		Text: payload,
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
