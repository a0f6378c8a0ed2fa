package dispatcher

import (
	"context"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
)

// Event is sent to the holder of a ticket: Started, Refused, Exhausted or Closed.
// No further event follows one of the last three.
type Event interface {
	event()
}

// Started requests an attempt. The holder must call Dispatcher.Finish exactly
// once for it.
type Started struct {
	// Attempt is the attempt to make.
	Attempt scheduler.Attempt
	// Target is the target of the attempt.
	Target *sender.Target
	// Context is cancelled when the attempt must be abandoned.
	Context context.Context
}

// Refused ends a request that was never started.
type Refused struct {
	// Code is the reason.
	Code classifier.Code
	// RetryAfter is the suggested delay before a retry; zero for none.
	RetryAfter time.Duration
}

// Exhausted ends a request whose last attempt failed and that gets no further
// attempt.
type Exhausted struct{}

// Closed ends a request that succeeded or was cancelled by its holder.
type Closed struct{}

func (Started) event()   {}
func (Refused) event()   {}
func (Exhausted) event() {}
func (Closed) event()    {}
