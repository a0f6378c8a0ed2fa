package dispatcher

import (
	"context"

	"coltsfootwick.example/shared/requests/scheduler"
)

// The bounds on the events that a ticket holds unread: an attempt follows the
// end of the one before, or runs beside one other, and one last event follows.
const (
	maxEvents       = 2
	maxHedgedEvents = 8
)

// Ticket is a request's place at its service's scheduler.
type Ticket struct {
	id     scheduler.RequestID
	events chan Event
	// The fields below belong to the dispatcher's goroutine.
	context context.Context
	// running counts the attempts that run.
	running int
	// cancels ends attempts of a request that may be hedged; nil for others,
	// whose only attempt ends with the context.
	cancels map[int]context.CancelFunc
	over    bool
	urgent  bool
}

// Events returns what the holder has to do, in order.
func (tt *Ticket) Events() <-chan Event { return tt.events }
