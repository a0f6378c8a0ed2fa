// Package generator is the stand-in of the callers: open-loop arrivals that
// don't wait for answers, sent to the entries of each availability zone.
package generator

import (
	"net/netip"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// The values that DefaultConfig starts from.
const (
	// DefaultTurns is the number of turns after which the first service floods again.
	DefaultTurns = 5
	// DefaultTurn is how long a service floods.
	DefaultTurn = 3 * time.Second
	// DefaultFloodFactor is the multiple of its mean rate that a service asks in its turn.
	DefaultFloodFactor = 5.0
	// DefaultQuietFactor is the multiple of its mean rate that a service asks in between.
	DefaultQuietFactor = 0.05
	// DefaultCheckInterval is how long a balancer leaves an entry out after a refused connection.
	DefaultCheckInterval = time.Second
	// DefaultMaxAttempts bounds the attempts of a caller for one request.
	DefaultMaxAttempts = 6
	// DefaultRepeatDelay is the delay before a caller's first repeat; it doubles with each.
	DefaultRepeatDelay = 50 * time.Millisecond
	// DefaultMaxOutstanding bounds the requests waiting for answers at once.
	DefaultMaxOutstanding = 10_000
	// DefaultTimeout bounds an attempt.
	DefaultTimeout = 10 * time.Second
)

// Config tells who calls what, and how often.
type Config struct {
	// Seed is the seed of arrivals and mixes.
	Seed uint64
	// Run is a prefix of all identifiers, unique to the run.
	Run string
	// Length is how long requests arrive.
	Length time.Duration
	// Turns is the number of turns after which the first service floods again.
	Turns int
	// Turn is how long a service floods; zero keeps all services at their mean.
	Turn time.Duration
	// FloodFactor is the multiple of its mean rate that a service asks in its turn.
	FloodFactor float64
	// QuietFactor is the multiple of its mean rate that a service asks in between.
	QuietFactor float64
	// H2C makes callers speak HTTP/2 without TLS in place of HTTP/1.1.
	H2C bool
	// CheckInterval is how long a balancer leaves an entry out after a refused
	// connection, and how often it asks the entries' readiness.
	CheckInterval time.Duration
	// MaxAttempts bounds the attempts of a caller for one request.
	MaxAttempts int
	// RepeatDelay is the delay before a caller's first repeat; it doubles with each.
	RepeatDelay time.Duration
	// MaxOutstanding bounds the requests waiting for answers at once; those
	// above it are counted as not sent.
	MaxOutstanding int
	// Zones are the availability zones.
	Zones []Zone
	// Services are the services that callers in every zone ask for.
	Services []Service
}

// Zone is an availability zone with callers.
type Zone struct {
	// Name is the availability zone's name.
	Name string
	// Entries are the entries behind the zone's balancer.
	Entries []Entry
}

// Entry is an entry as its zone's balancer knows it.
type Entry struct {
	// Address is where it takes requests.
	Address netip.AddrPort
	// Check is the operators' address whose /readyz the balancer asks; the zero
	// value turns the check off.
	Check netip.AddrPort
}

// Service is a service as its callers use it.
type Service struct {
	// Name is the service's name.
	Name string
	// Path is the path that the callers ask for.
	Path string
	// Rate is the mean number of requests a second in each zone.
	Rate float64
	// LongShare is the share of long work, from 0 to 1.
	LongShare float64
	// KeyedShare is the share of requests, from 0 to 1, that must not be
	// repeated and carry an Idempotency-Key.
	KeyedShare float64
	// Urgency is the urgency of urgent work, from 0 to 7.
	Urgency int
	// LongUrgency is the urgency of long work, from 0 to 7.
	LongUrgency int
	// RequestBytes is the least size of the body of a keyed request.
	RequestBytes int
	// Timeout bounds an attempt.
	Timeout time.Duration
	// Deadline is the time that callers tell the entry to be left for a request;
	// zero if they tell none.
	Deadline time.Duration
}

// DefaultConfig returns a configuration without zones and services.
func DefaultConfig() Config {
	return Config{
		Seed:           1,
		Length:         10 * time.Second,
		Turns:          DefaultTurns,
		Turn:           DefaultTurn,
		FloodFactor:    DefaultFloodFactor,
		QuietFactor:    DefaultQuietFactor,
		CheckInterval:  DefaultCheckInterval,
		MaxAttempts:    DefaultMaxAttempts,
		RepeatDelay:    DefaultRepeatDelay,
		MaxOutstanding: DefaultMaxOutstanding,
	}
}

// Check returns a SettingsRange error for the first value outside its range.
func (cg Config) Check() error {
	switch {
	case len(cg.Zones) == 0 || len(cg.Services) == 0:
		return classifier.New(classifier.SettingsRange, "at least one zone and one service are needed")
	case cg.Turns < 1 || cg.Turn < 0 || cg.FloodFactor < 0 || cg.QuietFactor < 0:
		return classifier.New(classifier.SettingsRange, "turns must be at least 1; turn and factors must not be negative")
	case cg.MaxAttempts < 1 || cg.MaxOutstanding < 1:
		return classifier.New(classifier.SettingsRange, "maxAttempts and maxOutstanding must be at least 1")
	case cg.Length <= 0 || cg.CheckInterval <= 0 || cg.RepeatDelay < 0:
		return classifier.New(classifier.SettingsRange, "length and checkInterval must be positive")
	}
	for _, ze := range cg.Zones {
		if len(ze.Entries) == 0 {
			return classifier.New(classifier.SettingsRange, "zone %q has no entries", ze.Name)
		}
	}
	for _, se := range cg.Services {
		if err := se.check(); err != nil {
			return err
		}
	}
	return nil
}

func (se Service) check() error {
	shares := isShare(se.LongShare) && isShare(se.KeyedShare)
	urgencies := isUrgency(se.Urgency) && isUrgency(se.LongUrgency)
	if se.Rate <= 0 || !shares || !urgencies || se.Timeout <= 0 {
		return classifier.New(classifier.SettingsRange,
			"service %q: rate and timeout must be positive, shares from 0 to 1, urgencies from 0 to 7", se.Name)
	}
	return nil
}

func isShare(value float64) bool { return value >= 0 && value <= 1 }

func isUrgency(value int) bool { return value >= 0 && value <= 7 }
