// Package dispatcher runs the scheduler of one service. One goroutine owns the
// scheduler; requests reach it through bounded channels.
package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

const (
	// submissionRing bounds the requests on their way to the scheduler.
	submissionRing = 256
	// reportRing bounds the reports on their way to the scheduler.
	reportRing = 256
)

// SchedulerFunc makes the scheduler of a service.
type SchedulerFunc func(config scheduler.Config) scheduler.Scheduler

// Dispatcher runs the scheduler of one service.
type Dispatcher struct {
	service atomic.Pointer[configurer.Service]
	board   board
	lastID  atomic.Uint64
	memory  *budgeter.Share
	load    load

	submissions chan submission
	reports     chan command
	done        chan struct{}
	// refused is told of targets that refuse because they are leaving.
	refused func(vm string)

	// The fields below belong to the goroutine of Run.
	scheduler scheduler.Scheduler
	targets   map[string]*sender.Target
	tickets   map[scheduler.RequestID]*Ticket
	timer     *time.Timer
	tickAt    time.Time
	retired   bool
	dial      sender.DialFunc
}

// Option changes how a Dispatcher works.
type Option func(*Dispatcher)

// WithDial sets the function that opens connections to targets.
func WithDial(dial sender.DialFunc) Option {
	return func(dr *Dispatcher) { dr.dial = dial }
}

// New returns a dispatcher of the service. Its requests take memory from the share.
func New(service configurer.Service, memory *budgeter.Share, newScheduler SchedulerFunc, options ...Option) *Dispatcher {
	dr := &Dispatcher{
		memory:      memory,
		submissions: make(chan submission, submissionRing),
		reports:     make(chan command, reportRing),
		done:        make(chan struct{}),
		scheduler:   newScheduler(scheduler.ConfigOf(service)),
		targets:     map[string]*sender.Target{},
		tickets:     map[scheduler.RequestID]*Ticket{},
	}
	for _, option := range options {
		option(dr)
	}
	dr.service.Store(&service)
	return dr
}

// Service returns the settings in force.
func (dr *Dispatcher) Service() *configurer.Service { return dr.service.Load() }

// Memory returns the service's share of the entry's memory.
func (dr *Dispatcher) Memory() *budgeter.Share { return dr.memory }

// Stats returns the scheduler's counts after its last step.
func (dr *Dispatcher) Stats() scheduler.Stats { return dr.board.read() }

// Submit asks for the request to be started and returns its ticket, or false
// if the scheduler is too busy to take it. The dispatcher sets the request's
// ID. Attempts end when ctx ends. Only a hedged request may have attempts beside
// each other, which are abandoned one by one.
func (dr *Dispatcher) Submit(ctx context.Context, request scheduler.Request, hedged bool) (*Ticket, bool) {
	request.ID = scheduler.RequestID(dr.lastID.Add(1))
	tt := &Ticket{
		id:      request.ID,
		context: ctx,
	}
	if hedged {
		tt.events = make(chan Event, maxHedgedEvents)
		tt.cancels = map[int]context.CancelFunc{}
	} else {
		tt.events = make(chan Event, maxEvents)
	}
	select {
	case dr.submissions <- submission{ticket: tt, request: request}:
		return tt, true
	default:
		return nil, false
	}
}

// Withdraw takes back a request whose caller went away. The holder goes on
// reading the ticket's events until the last one.
func (dr *Dispatcher) Withdraw(ticket *Ticket) {
	dr.report(withdrawal{ticket: ticket})
}

// Finish reports the end of an attempt.
func (dr *Dispatcher) Finish(attempt scheduler.Attempt, result scheduler.Result, latency time.Duration) {
	if result == scheduler.Refused && dr.refused != nil {
		dr.refused(attempt.VM)
	}
	dr.report(completion{
		attempt: attempt,
		result:  result,
		latency: latency,
	})
}

// Configure takes new settings of the service.
func (dr *Dispatcher) Configure(service configurer.Service) {
	dr.service.Store(&service)
	dr.report(configuration{service: service})
}

// Assign takes a new list of targets.
func (dr *Dispatcher) Assign(targets []Target) {
	dr.report(assignment{targets: targets})
}

// Retire asks the dispatcher to end when what it has is over.
func (dr *Dispatcher) Retire() { dr.report(retirement{}) }

// Done is closed when the dispatcher has stopped; no ticket gets an event after
// that.
func (dr *Dispatcher) Done() <-chan struct{} { return dr.done }

func (dr *Dispatcher) report(cd command) {
	select {
	case dr.reports <- cd:
	case <-dr.done:
	}
}
