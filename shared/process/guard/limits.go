package guard

import "time"

// The limits of requests that a configuration doesn't set.
const (
	DefaultMaxHeaderBytes = 16_384
	DefaultMaxBodyBytes   = 262_144
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// maxHeaderBytes bounds the limit of header sections; net/http has no greater one by
// default.
const maxHeaderBytes = 1 << 20

// Limits bound single requests. A value that isn't positive stands for its default.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the sizes of a header section and a body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout limits the time for a header section, and IdleTimeout that between
	// two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// WithDefaults returns the limits with the defaults in place of unset values.
func (lm Limits) WithDefaults() Limits {
	return Limits{
		MaxHeaderBytes: min(orDefault(lm.MaxHeaderBytes, DefaultMaxHeaderBytes), maxHeaderBytes),
		MaxBodyBytes:   orDefault(lm.MaxBodyBytes, DefaultMaxBodyBytes),
		HeaderTimeout:  orDefault(lm.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:    orDefault(lm.IdleTimeout, DefaultIdleTimeout),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

const (
	// bodyAllowance is the time for the first bytes of a body. It is the time that a
	// caller waits for its response as a rule.
	bodyAllowance = 3 * time.Second
	// minBodyRate is the rate in bytes per second at which the rest of a body has to
	// arrive. The slowest links of callers carry 10 Mbit/s, 20 times as much.
	minBodyRate = 64 << 10
)

// BodyTime returns the time from the start of a body within which its next bytes
// have to arrive, if so many have arrived.
func BodyTime(received int64) time.Duration {
	return bodyAllowance + time.Duration(received)*time.Second/minBodyRate
}
