// Package exchanger runs one request: it queues the request at the dispatcher of
// its service, makes the attempts and returns the answer.
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

// ErrCallerGone is returned when the caller has stopped waiting.
var ErrCallerGone = errors.New("the caller disconnected or stopped waiting before the answer")

// RefusalError explains why a request got no answer from a target.
type RefusalError struct {
	// Code is the reason.
	Code classifier.Code
	// Detail explains this occurrence of the error.
	Detail string
	// Outcome states whether the request ran, as far as the entry knows.
	Outcome classifier.Outcome
	// RetryAfter is the suggested delay before a retry; zero for none.
	RetryAfter time.Duration
}

// Error returns the code and the detail on one line.
func (rl *RefusalError) Error() string { return rl.Code.String() + ": " + rl.Detail }

// Exchange represents a request in progress. It is owned by one goroutine.
type Exchange struct {
	dispatcher    *dispatcher.Dispatcher
	request       *sender.Request
	attemptPrefix string
	ticket        *dispatcher.Ticket
	// mayHaveRun is true once a target has answered, or an attempt has failed
	// whose target may have read the request.
	mayHaveRun  bool
	lastFailure *sender.Failure
	// failedAnswer is the complete answer of the last attempt if its status is
	// a server failure.
	failedAnswer *sender.Answer
	// hedged is true if attempts may run concurrently.
	hedged bool
	// ticketEnded is true once the ticket's last event has been read.
	ticketEnded bool
	running     map[int]context.CancelFunc
	outcomes    chan attemptOutcome
	attempts    int
	// detached is true if attempts continue when the caller disconnects.
	detached bool
	// repeatable is true if the request may be attempted again after an attempt
	// that may have run it.
	repeatable bool
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithDetachedAttempts lets a running attempt complete when the caller
// disconnects, so that its outcome becomes known.
func WithDetachedAttempts() Option {
	return func(ee *Exchange) { ee.detached = true }
}

// attemptOutcome is the result of an attempt: a failure or a possibly incomplete
// answer.
type attemptOutcome struct {
	started dispatcher.Started
	begun   time.Time
	answer  *sender.Answer
	failure *sender.Failure
}

// New returns the exchange of a request. The IDs of its attempts start with the
// prefix, which must be unique among all requests of all entries.
func New(dr *dispatcher.Dispatcher, request *sender.Request, attemptPrefix string, options ...Option) *Exchange {
	ee := &Exchange{
		dispatcher:    dr,
		request:       request,
		attemptPrefix: attemptPrefix,
	}
	for _, option := range options {
		option(ee)
	}
	return ee
}

// Attempts returns the number of attempts made.
func (ee *Exchange) Attempts() int { return ee.attempts }

// MayHaveRun reports whether a target may have run the request.
func (ee *Exchange) MayHaveRun() bool { return ee.mayHaveRun || len(ee.running) > 0 }

// Run runs the request until it has an answer or has failed. The error is a
// *RefusalError, or ErrCallerGone if ctx has ended. The Delivery must be closed.
func (ee *Exchange) Run(ctx context.Context, scheduled scheduler.Request) (*Delivery, error) {
	ee.repeatable = scheduled.Repeatable
	attemptContext := ctx
	if ee.detached {
		attemptContext = context.WithoutCancel(ctx)
	}
	ee.hedged = scheduled.Repeatable && ee.dispatcher.Service().HedgeAfter > 0
	ee.request.Concurrent = ee.hedged
	ticket, ok := ee.dispatcher.Submit(attemptContext, scheduled, ee.hedged)
	if !ok {
		return nil, &RefusalError{
			Code:       classifier.QueueFull,
			Detail:     "too many requests arrive at once: the submission queue of the service is full",
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

// maxParallelAttempts is the capacity of the channel of attempt outcomes. It exceeds
// the number of attempts that one request ever has in flight.
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

// startAttempt makes an attempt, unless the caller has disconnected. It also refuses
// to repeat a request that is not repeatable and may have run, even if the
// scheduler started another attempt.
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

// handleOutcome processes the result of an attempt. It returns the delivery if the
// attempt ends the request.
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

// isServerFailure reports whether the status means that the target, or a proxy
// in front of it, failed to process the request.
func isServerFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// lastResult returns the answer of the last attempt, or the refusal that describes its
// failure.
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

// refusal returns a refusal whose outcome is Unknown if a target may have run the
// request, and NotRun otherwise, independent of the code.
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

// cancelTicket cancels the ticket and reads its events up to the last one.
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

// cancelAttempts cancels the attempts in flight and waits for their ends.
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
