package configurer

import "time"

// Service is the effective settings of one service, with every value
// inherited from the organisation already filled in.
type Service struct {
	// Name is the service's name, unique in the organisation.
	Name string
	// PathPrefix selects the service by the path of a request; it begins and
	// ends with a slash.
	PathPrefix string
	// Pool names the pool whose VMs run the service.
	Pool string
	// MinInService is the availability budget: the least number of the pool's
	// VMs in service in each availability zone that has VMs of the pool, as a
	// share from 0 to 1 of the VMs there.
	MinInService float64
	// SlotsPerTarget is the number of requests a target runs at once.
	SlotsPerTarget int
	// ConnectionsPerTarget is the number of connections a target accepts.
	ConnectionsPerTarget int
	// RequestTimeout bounds a request from its arrival to its whole answer,
	// when the caller names no earlier deadline.
	RequestTimeout time.Duration
	// LongTimeout takes the place of RequestTimeout for long work.
	LongTimeout time.Duration
	// MostUrgent is the most urgent RFC 9218 urgency, from 0 (most) to 7
	// (least), that callers of the service may ask for.
	MostUrgent int
	// DefaultUrgency is the urgency of requests that name none.
	DefaultUrgency int
	// LongFrom is the urgency from which a request counts as long work.
	LongFrom int
	// LongShare is the share of the slots, from 0 to 1, that long work keeps
	// while urgent work waits.
	LongShare float64
	// MaxQueued bounds the requests that wait for a slot.
	MaxQueued int
	// MaxQueuedBytes bounds the bodies of the requests that wait for a slot.
	MaxQueuedBytes int64
	// MaxQueueDelay bounds the time that an urgent request waits for a slot.
	MaxQueueDelay time.Duration
	// TargetQueueDelay is the queue delay above which less urgent work is shed.
	TargetQueueDelay time.Duration
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes int64
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int64
	// MaxBufferedBytes bounds the part of an answer that is held back until
	// the answer is whole; a longer answer is streamed.
	MaxBufferedBytes int64
	// RetryShare bounds extra attempts as a share of the requests.
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
	// KeyRetention is how long a finished Idempotency-Key is remembered.
	KeyRetention time.Duration
}
