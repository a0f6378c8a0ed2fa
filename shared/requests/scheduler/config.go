package scheduler

import (
	"time"

	"coltsfootwick.example/shared/settings/configurer"
)

// Config is what the scheduler needs of a service's settings.
type Config struct {
	// LongFrom is the urgency from which a request counts as long work.
	LongFrom int
	// LongShare is the share of the slots, from 0 to 1, that long work keeps
	// while urgent work waits.
	LongShare float64
	// MaxQueued bounds the requests that wait.
	MaxQueued int
	// MaxQueuedBytes bounds the bodies of the requests that wait.
	MaxQueuedBytes int64
	// MaxQueueDelay bounds the time that an urgent request waits.
	MaxQueueDelay time.Duration
	// TargetQueueDelay is the queue delay above which less urgent work is shed.
	TargetQueueDelay time.Duration
	// RetryShare bounds extra attempts as a share of the requests.
	RetryShare float64
	// HedgeAfter is the delay after which a repeatable request is hedged; zero
	// turns hedging off.
	HedgeAfter time.Duration
	// MaxEjectedShare bounds the share of targets ejected as outliers.
	MaxEjectedShare float64
}

// ConfigOf returns the part of a service's settings that the scheduler needs.
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
