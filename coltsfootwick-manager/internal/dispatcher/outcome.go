package dispatcher

import (
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
)

// OutcomeOf returns the order outcome for an error's code.
func OutcomeOf(err error) allocator.Outcome {
	switch classifier.CodeOf(err) {
	case classifier.OK:
		return allocator.Accepted
	case classifier.OrderFenced:
		return allocator.Fenced
	case classifier.AttemptOutdated:
		return allocator.Outdated
	case classifier.OrderLate:
		return allocator.Late
	case classifier.NoRoom:
		return allocator.Full
	case classifier.TicketInvalid:
		return allocator.BadTicket
	case classifier.WorkerReplaced:
		return allocator.Replaced
	case classifier.WorkerRestarted:
		return allocator.Restarted
	case classifier.WorkerUnhealthy:
		return allocator.Unhealthy
	case classifier.WorkerUnreachable, classifier.PlatformRateLimited, classifier.PlatformUnavailable:
		return allocator.NotSent
	case classifier.OrderMalformed, classifier.WaveMismatch:
		return allocator.Malformed
	case classifier.VMBusy:
		return allocator.Busy
	}
	return allocator.Unanswered
}

// emitNotSent reports that an order was not sent.
func (di *Dispatcher) emitNotSent(od allocator.Order) {
	switch od := od.(type) {
	case allocator.StartOrder:
		di.emit(allocator.StartResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.StopOrder:
		di.emit(allocator.StopResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.PaceOrder:
		di.emit(allocator.PaceResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: allocator.NotSent,
		})
	case allocator.PollOrder:
		di.emit(allocator.PollFailed{
			Worker:  od.Worker.ID,
			SentAt:  timekeeper.Now(),
			Outcome: allocator.KeeperLost,
		})
	}
}
