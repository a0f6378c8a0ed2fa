package exchanger

import (
	"io"

	"coltsfootwick.example/coltsfootwick-entry/internal/sender"
	"coltsfootwick.example/shared/requests/scheduler"
)

// Delivery is an answer to be written to the caller. It must be closed.
type Delivery struct {
	// Answer is the answer, which may be incomplete.
	Answer *sender.Answer

	exchange *Exchange
	outcome  attemptOutcome
}

// Stream copies the remainder of an incomplete answer to the caller. After an
// error the caller's connection must be reset.
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

// Close releases the memory of the answer, cancels the attempts in flight and
// closes the request's ticket.
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
