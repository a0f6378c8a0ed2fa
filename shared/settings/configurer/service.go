package configurer

import "time"

// Service contains the effective settings of one service, including the values
// inherited from the organisation.
type Service struct {
	// Name is the service's name, unique in the organisation.
	Name string
	// PathPrefix selects the service by the path of a request; it begins and
	// ends with a slash.
	PathPrefix string
	// Pool is the name of the pool whose VMs run the service.
	Pool string
	// MinInService is the availability budget: the minimum share, from 0 to 1,
	// of the pool's VMs that must be in service in each availability zone that
	// has VMs of the pool.
	MinInService float64
	// SlotsPerTarget is the number of requests that a target runs concurrently.
	SlotsPerTarget int
	// ConnectionsPerTarget is the number of connections that a target accepts.
	ConnectionsPerTarget int
	// RequestTimeout bounds the time from the arrival of a request to its
	// complete answer, unless the caller sets an earlier deadline.
	RequestTimeout time.Duration
	// LongTimeout replaces RequestTimeout for long work.
	LongTimeout time.Duration
	// MostUrgent is the most urgent RFC 9218 urgency, from 0 (most) to 7
	// (least), that callers of the service may request.
	MostUrgent int
	// DefaultUrgency is the urgency of requests that specify none.
	DefaultUrgency int
	// LongFrom is the urgency from which a request counts as long work.
	LongFrom int
	// LongShare is the share of the slots, from 0 to 1, that is reserved for long
	// work while urgent work waits.
	LongShare float64
	// MaxQueued bounds the number of requests that wait for a slot.
	MaxQueued int
	// MaxQueuedBytes bounds the total size of the bodies of the requests that
	// wait for a slot.
	MaxQueuedBytes int64
	// MaxQueueDelay bounds the time that an urgent request waits for a slot.
	MaxQueueDelay time.Duration
	// TargetQueueDelay is the queue delay above which less urgent work is shed.
	TargetQueueDelay time.Duration
	// MaxRequestBytes bounds the size of a request body.
	MaxRequestBytes int64
	// MaxAnswerBytes bounds the size of an answer body.
	MaxAnswerBytes int64
	// MaxBufferedBytes bounds the part of an answer that is buffered until the
	// answer is complete; a longer answer is streamed.
	MaxBufferedBytes int64
	// RetryShare is the retry budget: it bounds the number of additional
	// attempts as a share of the requests.
	RetryShare float64
	// HedgeAfter is the delay after which a repeatable request is hedged;
	// zero turns hedging off.
	HedgeAfter time.Duration
	// MaxEjectedShare bounds the share of targets ejected as outliers.
	MaxEjectedShare float64
	// NotRepeatable is true if the service's requests with unsafe methods
	// (POST, PATCH) must run at most once; such a request may carry an
	// Idempotency-Key.
	NotRepeatable bool
	// KeyRetention is how long the Idempotency-Key of a finished request is
	// retained.
	KeyRetention time.Duration
}
