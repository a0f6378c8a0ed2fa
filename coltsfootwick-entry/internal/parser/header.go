// Package parser reads the request headers that the entry acts on.
package parser

// The headers that the entry reads or writes in addition to those of HTTP.
const (
	// PriorityHeader carries the urgency, as in RFC 9218.
	PriorityHeader = "Priority"
	// KeyHeader carries the key of a request that must run at most once.
	KeyHeader = "Idempotency-Key"
	// DeadlineHeader carries the milliseconds left for the request.
	DeadlineHeader = "Coltsfootwick-Deadline"
	// AttemptHeader identifies an attempt; targets echo it.
	AttemptHeader = "Coltsfootwick-Attempt"
	// DrainingHeader is "true" on a refusal by a target that is draining.
	DrainingHeader = "Coltsfootwick-Draining"
	// RequestIDHeader identifies the request in logs.
	RequestIDHeader = "X-Request-Id"
)
