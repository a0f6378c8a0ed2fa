package exchanger

import (
	"io"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/requests/scheduler"
)

// Delivery is an answer on its way to the caller.
type Delivery struct {
	// Answer is the answer; the first part of it if it is not whole.
	Answer *sender.Answer

	exchange *Exchange
	outcome  attemptOutcome
}

// Stream copies the rest of an answer that is not whole. After an error the
// caller's connection must be reset.
func (dy *Delivery) Stream(caller io.Writer) error {
	if dy.Answer.Complete() {
		return nil
	}
	err := dy.Answer.Stream(caller)
	ee := dy.exchange
	if err != nil || isServerFailure(dy.Answer.Status) {
		ee.finishAttempt(dy.outcome, scheduler.Failed)
		ee.cancelTicket()
		return err
	}
	ee.finishAttempt(dy.outcome, scheduler.Succeeded)
	return nil
}

// Close frees what the request holds.
func (dy *Delivery) Close() {
	ee := dy.exchange
	if !dy.Answer.Complete() {
		dy.Answer.Discard()
		ee.finishAttempt(dy.outcome, scheduler.Cancelled)
		ee.cancelTicket()
	}
	dy.Answer.Discard()
	ee.cancelAttempts()
	if ee.hedged {
		ee.cancelTicket()
	}
}
