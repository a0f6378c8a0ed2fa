package dispatcher

import (
	"context"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
)

// Event tells the holder of a ticket what to do: Started, Refused, GivenUp or
// Withdrawn. After one of the last three no further event follows.
type Event interface {
	event()
}

// Started asks for an attempt. The holder calls Dispatcher.Finish once for it.
type Started struct {
	// Attempt is the attempt to make.
	Attempt scheduler.Attempt
	// Target is where to send the request.
	Target *sender.Target
	// Context ends when the attempt is to be abandoned.
	Context context.Context
}

// Refused ends a request that was never started.
type Refused struct {
	// Code is the reason.
	Code classifier.Code
	// RetryAfter is when a repeat is worth while; zero if never.
	RetryAfter time.Duration
}

// GivenUp ends a request with the failure of its last attempt.
type GivenUp struct{}

// Withdrawn ends a request that its holder withdrew or that succeeded.
type Withdrawn struct{}

func (Started) event()   {}
func (Refused) event()   {}
func (GivenUp) event()   {}
func (Withdrawn) event() {}
