// Package scheduler decides, for one service in one entry, which request
// starts on which target and when, and which requests are refused. It is pure:
// time comes in as an argument, and what is to be done goes out as actions.
package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// RequestID names a request within its scheduler.
type RequestID uint64

// Request is a request that asks to be started.
type Request struct {
	// ID names the request; it is never used again.
	ID RequestID
	// Urgency is the RFC 9218 urgency from 0 (most urgent) to 7.
	Urgency int
	// Bytes is the size of the body held while the request waits.
	Bytes int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Repeatable is true if a second attempt may run after a first that may
	// have run.
	Repeatable bool
}

// Target is a target as one entry sees it.
type Target struct {
	// VM is the VM's name.
	VM string
	// Rack is the VM's rack.
	Rack string
	// Slots is the number of requests that this entry may run there at once.
	Slots int
	// Leaving is true if the target gets no new work.
	Leaving bool
}

// Attempt names one try of a request on a target.
type Attempt struct {
	// Request is the request tried.
	Request RequestID
	// Number counts the request's attempts from 1.
	Number int
	// VM is the target's VM.
	VM string
}

// Result tells how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Succeeded means that the whole answer arrived.
	Succeeded Result = iota + 1
	// Failed means that the target failed after it may have read the request.
	Failed
	// FailedUnread means that the target provably read nothing of the request.
	FailedUnread
	// Refused means that the target is leaving and refused the request unread.
	Refused
	// Cancelled means that the entry gave the attempt up: the caller went
	// away, or another attempt of the request succeeded.
	Cancelled
)

// Action is something the entry has to do: Start, Refuse, GiveUp or Abandon.
type Action interface {
	action()
}

// Start sends a request to a target. The entry calls Finish once for each.
type Start struct {
	// Attempt is the attempt to make.
	Attempt Attempt
	// Hedge is true if another attempt of the request is still running.
	Hedge bool
}

// Refuse answers a request that no attempt was made for; its outcome is notRun.
type Refuse struct {
	// Request is the request refused.
	Request RequestID
	// Code is the reason.
	Code classifier.Code
	// RetryAfter is when a repeat is worth while; zero if never.
	RetryAfter time.Duration
}

// GiveUp answers a request with the failure of its last attempt, because no
// further attempt is allowed.
type GiveUp struct {
	// Request is the request given up.
	Request RequestID
}

// Abandon cancels a running attempt, because its request is over.
type Abandon struct {
	// Attempt is the attempt to cancel; the entry still calls Finish for it.
	Attempt Attempt
}

func (Start) action()   {}
func (Refuse) action()  {}
func (GiveUp) action()  {}
func (Abandon) action() {}

// Stats counts what a scheduler holds and did.
type Stats struct {
	// Queued is the number of requests that wait.
	Queued int
	// QueuedBytes is the size of their bodies.
	QueuedBytes int64
	// Running is the number of attempts that run.
	Running int
	// Slots is the number of slots of usable targets.
	Slots int
	// Retries counts further attempts after a failure.
	Retries uint64
	// Hedges counts attempts beside a running one.
	Hedges uint64
	// Ejected is the number of targets held back as outliers.
	Ejected int
}

// Scheduler decides for one service in one entry. It is not safe for
// concurrent use: one goroutine owns it.
type Scheduler interface {
	// Configure takes new settings of the service.
	Configure(now time.Time, service Config) []Action
	// SetTargets takes a new list of targets. Targets no longer listed get no
	// new work; their attempts run on.
	SetTargets(now time.Time, targets []Target) []Action
	// Submit asks for a request to be started.
	Submit(now time.Time, request Request) []Action
	// Cancel withdraws a request whose caller went away. A waiting request is
	// dropped; for a running one the entry gets Abandon.
	Cancel(now time.Time, request RequestID) []Action
	// Finish reports the end of an attempt.
	Finish(now time.Time, attempt Attempt, result Result, latency time.Duration) []Action
	// Tick does what time alone calls for.
	Tick(now time.Time) []Action
	// NextTick returns when Tick is next due; zero if never.
	NextTick() time.Time
	// Stats returns the present counts.
	Stats() Stats
}
