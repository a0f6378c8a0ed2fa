package ledger

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Request is one request of a caller with all its attempts.
type Request struct {
	// Identifier names the request; it is unique over all runs.
	Identifier string
	// Service names the service.
	Service string
	// Zone is the caller's availability zone.
	Zone string
	// Long is true for long work.
	Long bool
	// Key is the Idempotency-Key, or empty.
	Key string
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Arrival is when the caller wanted to send it.
	Arrival time.Time
	// Attempts are the caller's attempts in order.
	Attempts []Attempt
}

// Attempt is one HTTP request of a caller and what came back.
type Attempt struct {
	// Identifier names the attempt.
	Identifier string
	// Entry is the entry that it was sent to.
	Entry netip.AddrPort
	// Sent is when it was sent.
	Sent time.Time
	// Ended is when its answer was whole, or when it was given up.
	Ended time.Time
	// Reused is true if it was sent on a connection that had carried others.
	Reused bool
	// Result is what came back: Answer, Refusal, Unclear or Loss.
	Result Result
}

// Result is what an attempt brought: Answer, Refusal, Unclear or Loss.
type Result interface {
	result()
}

// Answer is a complete HTTP message that carries a target's body.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Whole is true if the body's checksum is right.
	Whole bool
	// Identifier is the attempt that the body names.
	Identifier string
}

// Refusal is a problem document.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is the numbered result code.
	Code classifier.Code
	// Outcome says what is known of the execution.
	Outcome classifier.Outcome
	// RequestID is the request that the document names.
	RequestID string
	// RetryAfter is the time after which the caller may repeat; zero if absent.
	RetryAfter time.Duration
}

// Unclear is a complete HTTP message that is neither a target's body nor a
// valid problem document.
type Unclear struct {
	// Status is the HTTP status.
	Status int
	// Detail says what was wrong.
	Detail string
}

// Loss means that no complete HTTP message came back.
type Loss struct {
	// Reason tells how the attempt ended.
	Reason LossReason
	// Detail is the error's text.
	Detail string
}

// LossReason tells how an attempt without an answer ended.
type LossReason string

// The ways in which an attempt ends without an answer.
const (
	// Unsent means that no connection was made, so nothing was sent.
	Unsent LossReason = "unsent"
	// Broken means that the connection ended before the whole answer.
	Broken LossReason = "broken"
	// TimedOut means that the caller stopped waiting.
	TimedOut LossReason = "timedOut"
)

func (Answer) result()  {}
func (Refusal) result() {}
func (Unclear) result() {}
func (Loss) result()    {}

// Last returns the last attempt, or an unsent one if there was none.
func (rt Request) Last() Attempt {
	if len(rt.Attempts) == 0 {
		return Attempt{
			Result: Loss{
				Reason: Unsent,
			},
		}
	}
	return rt.Attempts[len(rt.Attempts)-1]
}
