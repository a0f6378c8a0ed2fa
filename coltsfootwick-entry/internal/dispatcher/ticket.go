package dispatcher

import (
	"context"

	"coltsfootwick.example/shared/requests/scheduler"
)

// The capacities of a ticket's event channel. Without hedging an attempt starts
// only after the previous one has ended; with hedging it may run concurrently with
// one other. In both cases one last event follows.
const (
	maxEvents       = 2
	maxHedgedEvents = 8
)

// Ticket represents a request submitted to a dispatcher.
type Ticket struct {
	id     scheduler.RequestID
	events chan Event
	// The fields below belong to the dispatcher's goroutine.
	context context.Context
	// running is the number of attempts in flight.
	running int
	// cancels holds the cancel functions of the attempts in flight, by number. It
	// is nil if the request must not be hedged: its single attempt ends with the
	// context.
	cancels map[int]context.CancelFunc
	ended   bool
	urgent  bool
}

// Events returns the channel of the ticket's events, in order.
func (tt *Ticket) Events() <-chan Event { return tt.events }
