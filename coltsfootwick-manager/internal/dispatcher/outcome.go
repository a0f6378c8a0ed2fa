package dispatcher

import (
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/classifier"
)

// outcomeOf returns the outcome that an error's code stands for.
func outcomeOf(err error) allocator.Outcome {
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

// tellNotSent tells that an order has not left.
func (di *Dispatcher) tellNotSent(od allocator.Order) {
	switch od := od.(type) {
	case allocator.StartOrder:
		di.tell(allocator.StartEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.StopOrder:
		di.tell(allocator.StopEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.PaceOrder:
		di.tell(allocator.PaceEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: allocator.NotSent,
		})
	case allocator.VMOrder:
		di.tell(allocator.VMOrderEnded{
			Order:   od,
			Outcome: allocator.NotSent,
		})
	case allocator.ListVMsOrder:
		di.tell(allocator.VMsListed{})
	}
}
