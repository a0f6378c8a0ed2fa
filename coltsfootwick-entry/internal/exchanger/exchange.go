// Package exchanger carries one request from the queue of its service over its
// attempts to the answer.
package exchanger

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
)

// ErrCallerGone is returned when the caller stopped waiting.
var ErrCallerGone = errors.New("the caller went away")

// RefusalError tells why a request got no answer of a target.
type RefusalError struct {
	// Code is the reason.
	Code classifier.Code
	// Detail says what was wrong in this case.
	Detail string
	// Outcome tells what is known of the execution of the request.
	Outcome classifier.Outcome
	// RetryAfter is when a repeat is worth while; zero if never.
	RetryAfter time.Duration
}

// Error returns the code and the detail in one line.
func (rl *RefusalError) Error() string { return rl.Code.String() + ": " + rl.Detail }

// Exchange is one request on its way. One goroutine owns it.
type Exchange struct {
	dispatcher    *dispatcher.Dispatcher
	request       *sender.Request
	attemptPrefix string
	ticket        *dispatcher.Ticket
	// mayHaveRun is true once an attempt failed that was not provably unread.
	mayHaveRun  bool
	lastFailure *sender.Failure
	// failedAnswer holds the whole answer of the last attempt if its status says
	// that the target failedAnswer.
	failedAnswer *sender.Answer
	// hedged is true if attempts run beside each other.
	hedged bool
	// ticketEnded is true once the ticket's last event has been read.
	ticketEnded bool
	running     map[int]context.CancelFunc
	outcomes    chan attemptOutcome
	attempts    int
	// detached is true if attempts go on when the caller goes away.
	detached bool
	// repeatable is true if an attempt may follow one that may have run.
	repeatable bool
}

// Option changes how an Exchange works.
type Option func(*Exchange)

// WithDetachedAttempts lets a running attempt go on to its end when the caller
// goes away, so that its outcome becomes known.
func WithDetachedAttempts() Option {
	return func(ee *Exchange) { ee.detached = true }
}

// attemptOutcome is the end of an attempt, or its answer's first part.
type attemptOutcome struct {
	started dispatcher.Started
	begun   time.Time
	answer  *sender.Answer
	failure *sender.Failure
}

// New returns the exchange of a request. The name identifies it among all
// requests of all entries.
func New(dr *dispatcher.Dispatcher, request *sender.Request, name string, options ...Option) *Exchange {
	ee := &Exchange{
		dispatcher:    dr,
		request:       request,
		attemptPrefix: name,
	}
	for _, option := range options {
		option(ee)
	}
	return ee
}

// Attempts returns the number of attempts made.
func (ee *Exchange) Attempts() int { return ee.attempts }

// MayHaveRun returns true if a target may have run the request.
func (ee *Exchange) MayHaveRun() bool { return ee.mayHaveRun || len(ee.running) > 0 }

// Run carries the request to its end. It returns the answer; or a *RefusalError; or
// ErrCallerGone when ctx has ended. An answer must be ended by Deliver.
func (ee *Exchange) Run(ctx context.Context, asked scheduler.Request) (*Delivery, error) {
	ee.repeatable = asked.Repeatable
	attemptContext := ctx
	if ee.detached {
		attemptContext = context.WithoutCancel(ctx)
	}
	ee.hedged = asked.Repeatable && ee.dispatcher.Service().HedgeAfter > 0
	ee.request.Concurrent = ee.hedged
	ticket, ok := ee.dispatcher.Submit(attemptContext, asked, ee.hedged)
	if !ok {
		return nil, &RefusalError{
			Code:       classifier.QueueFull,
			Detail:     "too many requests arrive at once",
			Outcome:    classifier.NotRun,
			RetryAfter: time.Second,
		}
	}
	ee.ticket = ticket
	if ee.hedged {
		ee.running = map[int]context.CancelFunc{}
		ee.outcomes = make(chan attemptOutcome, maxParallelAttempts)
	}
	dy, err := ee.loop(ctx)
	if err != nil {
		ee.cancelAttempts()
	}
	return dy, err
}

// maxParallelAttempts is more than the attempts of one request that ever run at once.
const maxParallelAttempts = 8

func (ee *Exchange) loop(ctx context.Context) (*Delivery, error) {
	for {
		select {
		case ev := <-ee.ticket.Events():
			if dy, err := ee.handle(ctx, ev); dy != nil || err != nil {
				return dy, err
			}
		case oe := <-ee.outcomes:
			if dy := ee.handleOutcome(oe); dy != nil {
				return dy, nil
			}
		case <-ctx.Done():
			ee.cancelTicket()
			return nil, ErrCallerGone
		case <-ee.dispatcher.Done():
			return nil, ee.refusal(classifier.EntryStopping, 0)
		}
	}
}

func (ee *Exchange) handle(ctx context.Context, ev dispatcher.Event) (*Delivery, error) {
	switch ev := ev.(type) {
	case dispatcher.Started:
		return ee.startAttempt(ctx, ev)
	case dispatcher.Refused:
		ee.ticketEnded = true
		return nil, ee.refusal(ev.Code, ev.RetryAfter)
	case dispatcher.Exhausted:
		ee.ticketEnded = true
		return ee.lastResult()
	default:
		ee.ticketEnded = true
		if ctx.Err() != nil {
			return nil, ErrCallerGone
		}
		return nil, ee.refusal(classifier.TargetFailed, 0)
	}
}

// startAttempt makes an attempt, unless the caller is gone or the request must not be
// sent again, whatever the scheduler says.
func (ee *Exchange) startAttempt(ctx context.Context, sd dispatcher.Started) (*Delivery, error) {
	gone := ctx.Err() != nil
	if gone || (ee.mayHaveRun && !ee.repeatable) {
		ee.dispatcher.Finish(sd.Attempt, scheduler.Cancelled, 0)
		ee.cancelTicket()
		if gone {
			return nil, ErrCallerGone
		}
		return ee.lastResult()
	}
	ee.attempts++
	if ee.hedged {
		ee.spawn(sd)
		return nil, nil
	}
	return ee.handleOutcome(ee.send(sd.Context, sd)), nil
}

func (ee *Exchange) spawn(sd dispatcher.Started) {
	ctx, cancel := context.WithCancel(sd.Context)
	ee.running[sd.Attempt.Number] = cancel
	go func() { ee.outcomes <- ee.send(ctx, sd) }()
}

func (ee *Exchange) send(ctx context.Context, sd dispatcher.Started) attemptOutcome {
	oe := attemptOutcome{
		started: sd,
		begun:   time.Now(),
	}
	name := ee.attemptPrefix + "-" + strconv.Itoa(sd.Attempt.Number)
	oe.answer, oe.failure = sd.Target.Send(ctx, name, ee.request)
	return oe
}

// handleOutcome takes the end of an attempt. It returns the answer if the request
// is over by it.
func (ee *Exchange) handleOutcome(oe attemptOutcome) *Delivery {
	ee.removeRunning(oe)
	if oe.failure != nil {
		ee.recordFailure(oe)
		return nil
	}
	ee.mayHaveRun = true
	failed := isServerFailure(oe.answer.Status)
	if failed && oe.answer.Complete() {
		ee.setFailedAnswer(oe.answer)
		ee.finishAttempt(oe, scheduler.Failed)
		return nil
	}
	ee.setFailedAnswer(nil)
	for _, cancel := range ee.running {
		cancel()
	}
	dy := &Delivery{
		exchange: ee,
		outcome:  oe,
		Answer:   oe.answer,
	}
	if oe.answer.Complete() {
		ee.finishAttempt(oe, scheduler.Succeeded)
	}
	return dy
}

func (ee *Exchange) removeRunning(oe attemptOutcome) {
	if cancel := ee.running[oe.started.Attempt.Number]; cancel != nil {
		cancel()
		delete(ee.running, oe.started.Attempt.Number)
	}
}

func (ee *Exchange) recordFailure(oe attemptOutcome) {
	ee.lastFailure = oe.failure
	if !oe.failure.Unread {
		ee.mayHaveRun = true
	}
	ee.finishAttempt(oe, resultOf(oe.failure))
}

func resultOf(fe *sender.Failure) scheduler.Result {
	switch {
	case fe.Draining:
		return scheduler.Refused
	case fe.Cancelled:
		return scheduler.Cancelled
	case fe.Unread:
		return scheduler.FailedUnread
	default:
		return scheduler.Failed
	}
}

func (ee *Exchange) finishAttempt(oe attemptOutcome, result scheduler.Result) {
	ee.dispatcher.Finish(oe.started.Attempt, result, time.Since(oe.begun))
}

func (ee *Exchange) setFailedAnswer(an *sender.Answer) {
	if ee.failedAnswer != nil {
		ee.failedAnswer.Discard()
	}
	ee.failedAnswer = an
}

// isServerFailure returns true for the statuses by which a target, or what stands
// before it, says that it failed to do its work.
func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// lastResult answers with what the last attempt left: its own answer, or why it failed.
func (ee *Exchange) lastResult() (*Delivery, error) {
	if an := ee.failedAnswer; an != nil {
		ee.failedAnswer = nil
		return &Delivery{
			exchange: ee,
			Answer:   an,
		}, nil
	}
	if ee.lastFailure == nil {
		return nil, ee.refusal(classifier.TargetFailed, 0)
	}
	return nil, ee.refusal(ee.lastFailure.Code, 0)
}

// refusal tells the truth about the execution, whatever the reason is.
func (ee *Exchange) refusal(code classifier.Code, retryAfter time.Duration) *RefusalError {
	rl := &RefusalError{
		Code:       code,
		Outcome:    classifier.NotRun,
		RetryAfter: retryAfter,
	}
	if ee.MayHaveRun() {
		rl.Outcome = classifier.Unknown
	}
	if ee.lastFailure != nil && ee.lastFailure.Cause != nil {
		rl.Detail = ee.lastFailure.Cause.Error()
	}
	return rl
}

// cancelTicket takes the request back and reads its events to the last one.
func (ee *Exchange) cancelTicket() {
	if ee.ticketEnded {
		return
	}
	ee.dispatcher.Cancel(ee.ticket)
	for !ee.ticketEnded {
		select {
		case ev := <-ee.ticket.Events():
			if sd, ok := ev.(dispatcher.Started); ok {
				ee.dispatcher.Finish(sd.Attempt, scheduler.Cancelled, 0)
			} else {
				ee.ticketEnded = true
			}
		case <-ee.dispatcher.Done():
			ee.ticketEnded = true
		}
	}
}

// cancelAttempts ends the attempts that still run.
func (ee *Exchange) cancelAttempts() {
	ee.setFailedAnswer(nil)
	for _, cancel := range ee.running {
		cancel()
	}
	for len(ee.running) > 0 {
		oe := <-ee.outcomes
		ee.removeRunning(oe)
		if oe.answer != nil {
			oe.answer.Discard()
		}
		ee.finishAttempt(oe, scheduler.Cancelled)
	}
}
