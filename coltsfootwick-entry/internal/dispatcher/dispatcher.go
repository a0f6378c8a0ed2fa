// Package dispatcher runs the scheduler of one service. One goroutine owns the
// scheduler; requests and commands reach it through bounded channels.
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
	// submissionQueueSize limits the submissions pending for the scheduler.
	submissionQueueSize = 256
	// commandQueueSize limits the other commands pending for the scheduler.
	commandQueueSize = 256
)

// SchedulerFunc returns a new scheduler for a service.
type SchedulerFunc func(config scheduler.Config) scheduler.Scheduler

// Dispatcher runs the scheduler of one service.
type Dispatcher struct {
	service atomic.Pointer[configurer.Service]
	stats   sharedStats
	lastID  atomic.Uint64
	memory  *budgeter.Share
	load    loadTracker

	submissions chan submission
	commands    chan command
	done        chan struct{}
	// onDraining is called with the VM of each target that refuses as draining.
	onDraining func(vm string)

	// The fields below belong to the goroutine of Run.
	scheduler scheduler.Scheduler
	targets   map[string]*sender.Target
	tickets   map[scheduler.RequestID]*Ticket
	timer     *time.Timer
	nextTick  time.Time
	retired   bool
	dial      sender.DialFunc
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithDial sets the function that opens connections to targets.
func WithDial(dial sender.DialFunc) Option {
	return func(dr *Dispatcher) { dr.dial = dial }
}

// New returns a dispatcher for the service. The bodies of its requests and
// answers are accounted in the memory share.
func New(service configurer.Service, memory *budgeter.Share, newScheduler SchedulerFunc, options ...Option) *Dispatcher {
	dr := &Dispatcher{
		memory:      memory,
		submissions: make(chan submission, submissionQueueSize),
		commands:    make(chan command, commandQueueSize),
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

// Service returns the current settings of the service.
func (dr *Dispatcher) Service() *configurer.Service { return dr.service.Load() }

// Memory returns the service's share of the entry's memory.
func (dr *Dispatcher) Memory() *budgeter.Share { return dr.memory }

// Stats returns the scheduler's counts as last published.
func (dr *Dispatcher) Stats() scheduler.Stats { return dr.stats.snapshot() }

// Submit submits the request to the scheduler and returns its ticket, or false
// if the submission queue is full. The dispatcher sets the request's ID. Attempts
// end when ctx ends. Only a hedged request may have concurrent attempts; each of
// them can be abandoned separately.
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

// Cancel cancels a request, for example because its caller disconnected. The
// holder must read the ticket's events up to the last one.
func (dr *Dispatcher) Cancel(ticket *Ticket) {
	dr.send(cancellation{ticket: ticket})
}

// Finish reports the end of an attempt.
func (dr *Dispatcher) Finish(attempt scheduler.Attempt, result scheduler.Result, latency time.Duration) {
	if result == scheduler.Refused && dr.onDraining != nil {
		dr.onDraining(attempt.VM)
	}
	dr.send(completion{
		attempt: attempt,
		result:  result,
		latency: latency,
	})
}

// Configure applies new settings of the service.
func (dr *Dispatcher) Configure(service configurer.Service) {
	dr.service.Store(&service)
	dr.send(configuration{service: service})
}

// Assign replaces the list of targets.
func (dr *Dispatcher) Assign(targets []Target) {
	dr.send(assignment{targets: targets})
}

// Retire makes Run return once no request is left.
func (dr *Dispatcher) Retire() { dr.send(retirement{}) }

// Done returns a channel that is closed when the dispatcher has stopped. No
// ticket gets an event after that.
func (dr *Dispatcher) Done() <-chan struct{} { return dr.done }

func (dr *Dispatcher) send(cd command) {
	select {
	case dr.commands <- cd:
	case <-dr.done:
	}
}
