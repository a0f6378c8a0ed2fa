package generator

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// Arrival is one request of a caller before it is sent.
type Arrival struct {
	// At is the time since the beginning of the run.
	At time.Duration
	// Identifier names the request.
	Identifier string
	// Long is true for long work.
	Long bool
	// Kind tells whether the request may run more than once.
	Kind Kind
}

// Kind tells whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota
	// Keyed requests must not, and carry an Idempotency-Key.
	Keyed
	// Unkeyed requests must not, and carry no key.
	Unkeyed
)

// Arrivals returns the requests of one service's callers in one zone: a Poisson
// process whose rate follows the service's turns. Equal configurations give
// equal arrivals.
func Arrivals(cg Config, zone, service int) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := rand.New(rand.NewPCG(cg.Seed, uint64(zone)<<32|uint64(service)))
		se := cg.Services[service]
		peak := se.Rate * cg.peakFactor()
		number := 0
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
			if at >= cg.Length {
				return
			}
			kept := rng.Float64()*peak < se.Rate*cg.factor(service, at)
			long, keyed := rng.Float64() < se.LongShare, rng.Float64() < se.KeyedShare
			if !kept {
				continue
			}
			number++
			al := Arrival{
				At:         at,
				Identifier: fmt.Sprintf("%s-%s-%s-%06d", cg.Run, cg.Zones[zone].Name, se.Name, number),
				Long:       long,
			}
			if keyed {
				al.Kind = Keyed
			}
			if !yield(al) {
				return
			}
		}
	}
}

// factor returns the multiple of its mean rate that a service asks at a time.
func (cg Config) factor(service int, at time.Duration) float64 {
	if cg.Turn == 0 {
		return 1
	}
	turn := int(at/cg.Turn) % cg.Turns
	if turn == service%cg.Turns {
		return cg.FloodFactor
	}
	return cg.QuietFactor
}

func (cg Config) peakFactor() float64 {
	if cg.Turn == 0 {
		return 1
	}
	return max(cg.FloodFactor, cg.QuietFactor)
}
