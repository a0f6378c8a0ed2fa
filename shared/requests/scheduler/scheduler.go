// Package scheduler decides, for one service in one entry, when and on which
// target each request starts, and which requests are refused. It is
// deterministic and does no I/O: the time is passed as an argument, and each
// call returns the actions to be carried out.
package scheduler

import (
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// RequestID identifies a request within its scheduler.
type RequestID uint64

// Request is a request submitted for scheduling.
type Request struct {
	// ID identifies the request. IDs are never reused.
	ID RequestID
	// Urgency is the RFC 9218 urgency from 0 (most urgent) to 7.
	Urgency int
	// Bytes is the size of the body held while the request is queued.
	Bytes int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Repeatable is true if the request may be attempted again after an attempt
	// that may have run.
	Repeatable bool
}

// Target is a target with the slots assigned to one entry.
type Target struct {
	// VM is the VM's name.
	VM string
	// Rack is the VM's rack.
	Rack string
	// Slots is the number of requests that this entry may have in flight at the
	// target.
	Slots int
	// Leaving is true if the target must get no new work.
	Leaving bool
}

// Attempt identifies one attempt of a request on a target.
type Attempt struct {
	// Request is the ID of the request.
	Request RequestID
	// Number numbers the attempts of the request from 1.
	Number int
	// VM is the target's VM.
	VM string
}

// Result is the outcome of an attempt.
type Result int

// The results of an attempt.
const (
	// Succeeded means that the complete answer was received.
	Succeeded Result = iota + 1
	// Failed means that the attempt failed after the target may have read the
	// request.
	Failed
	// FailedUnread means that the attempt failed and the target certainly read
	// nothing of the request.
	FailedUnread
	// Refused means that the target refused the request unread because it is
	// leaving.
	Refused
	// Cancelled means that the entry cancelled the attempt, because the caller
	// disconnected or another attempt of the request succeeded.
	Cancelled
)

// Action is an action for the entry to carry out: Start, Refuse, GiveUp or
// Abandon.
type Action interface {
	action()
}

// Start starts an attempt. The entry calls Finish exactly once for each Start.
type Start struct {
	// Attempt is the attempt to start.
	Attempt Attempt
	// Hedge is true if another attempt of the request is in flight.
	Hedge bool
}

// Refuse answers a request of which no attempt was made, with the outcome
// notRun.
type Refuse struct {
	// Request is the ID of the refused request.
	Request RequestID
	// Code is the reason for the refusal.
	Code classifier.Code
	// RetryAfter is the time after which the request should be repeated, or
	// zero if a repeat can't succeed.
	RetryAfter time.Duration
}

// GiveUp answers a request with the failure of its last attempt, because no
// further attempt is allowed.
type GiveUp struct {
	// Request is the ID of the failed request.
	Request RequestID
}

// Abandon cancels an attempt in flight whose request has been answered or
// cancelled.
type Abandon struct {
	// Attempt is the attempt to cancel. The entry still calls Finish for it.
	Attempt Attempt
}

func (Start) action()   {}
func (Refuse) action()  {}
func (GiveUp) action()  {}
func (Abandon) action() {}

// Stats holds the current state and the counters of a scheduler.
type Stats struct {
	// Queued is the number of queued requests.
	Queued int
	// QueuedBytes is the total body size of queued requests.
	QueuedBytes int64
	// Running is the number of attempts in flight.
	Running int
	// Slots is the total number of slots of usable targets.
	Slots int
	// Retries counts the attempts started after an earlier one had ended.
	Retries uint64
	// Hedges counts the attempts started in parallel with another.
	Hedges uint64
	// Ejected is the number of targets ejected as outliers.
	Ejected int
}

// Scheduler schedules the requests of one service in one entry. It is not safe
// for concurrent use.
type Scheduler interface {
	// Configure applies new settings of the service.
	Configure(now time.Time, service Config) []Action
	// SetTargets replaces the list of targets. Targets no longer listed get no
	// new work, but their attempts in flight continue.
	SetTargets(now time.Time, targets []Target) []Action
	// Submit queues or refuses a new request.
	Submit(now time.Time, request Request) []Action
	// Cancel withdraws a request whose caller disconnected. A queued request is
	// removed. For each attempt in flight the result contains an Abandon.
	Cancel(now time.Time, request RequestID) []Action
	// Finish reports the end of an attempt.
	Finish(now time.Time, attempt Attempt, result Result, latency time.Duration) []Action
	// Tick does the work that is due at the given time.
	Tick(now time.Time) []Action
	// NextTick returns when Tick is next due, or zero if it is not.
	NextTick() time.Time
	// Stats returns the current Stats.
	Stats() Stats
}
