package scheduler

import (
	"time"

	"coltsfootwick.example/shared/settings/configurer"
)

// Config holds the settings of a service that the scheduler uses.
type Config struct {
	// LongFrom is the lowest urgency value that counts as long work.
	LongFrom int
	// LongShare is the fraction of the slots, from 0 to 1, reserved for long
	// work while urgent work is queued.
	LongShare float64
	// MaxQueued bounds the number of queued requests.
	MaxQueued int
	// MaxQueuedBytes bounds the total body size of queued requests.
	MaxQueuedBytes int64
	// MaxQueueDelay bounds the queue delay of an urgent request.
	MaxQueueDelay time.Duration
	// TargetQueueDelay is the queue delay above which less urgent work is shed.
	TargetQueueDelay time.Duration
	// RetryShare bounds retries and hedges as a fraction of all requests.
	RetryShare float64
	// HedgeAfter is the delay after which a repeatable request is hedged; zero
	// turns hedging off.
	HedgeAfter time.Duration
	// MaxEjectedShare bounds the fraction of targets ejected as outliers.
	MaxEjectedShare float64
}

// ConfigOf returns the Config of a service with the given settings.
func ConfigOf(se configurer.Service) Config {
	return Config{
		LongFrom:         se.LongFrom,
		LongShare:        se.LongShare,
		MaxQueued:        se.MaxQueued,
		MaxQueuedBytes:   se.MaxQueuedBytes,
		MaxQueueDelay:    se.MaxQueueDelay,
		TargetQueueDelay: se.TargetQueueDelay,
		RetryShare:       se.RetryShare,
		HedgeAfter:       se.HedgeAfter,
		MaxEjectedShare:  se.MaxEjectedShare,
	}
}
