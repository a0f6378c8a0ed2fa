package target

import "time"

// Execution is one request that reached the target and was not refused unread.
type Execution struct {
	// Identifier is the caller's identifier of the request, from Load-Request.
	Identifier string
	// RequestID is the value of X-Request-Id.
	RequestID string
	// Key is the value of Idempotency-Key.
	Key string
	// Attempt is the value of Coltsfootwick-Attempt.
	Attempt string
	// Long is true for long work.
	Long bool
	// BodyWhole is true if the request had no body, or if its body arrived
	// complete and belongs to the request.
	BodyWhole bool
	// Begin is the time at which the request's headers had arrived.
	Begin time.Time
	// End is the time at which the execution ended; zero while it runs.
	End time.Time
	// Finished is true if the execution ran to completion.
	Finished bool
	// Status is the status of the answer; zero if there was none.
	Status int
}

// Report is the record of a target.
type Report struct {
	// Target is the VM's name.
	Target string
	// GreatestInFlight is the greatest number of concurrent executions.
	GreatestInFlight int
	// Overcommit is the time spent with more executions than slots.
	Overcommit time.Duration
	// GreatestConnections is the greatest number of concurrent connections.
	GreatestConnections int
	// RefusedConnections counts the connections above the bound.
	RefusedConnections int
	// RefusedUnread counts the requests refused unread while draining.
	RefusedUnread int
	// Executions holds all executions in order of their begin.
	Executions []Execution
}
