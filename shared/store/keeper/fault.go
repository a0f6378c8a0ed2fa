package keeper

import (
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Fault is a fault injected into calls to the service: Outage, Slow, AnswerLost,
// WatchBroken, WatchReplay, Partition or VMsMissing.
type Fault interface {
	scope() Scope
}

// Scope selects the calls that a fault affects.
type Scope struct {
	// Zone is the availability zone whose calls are affected, or empty for all
	// availability zones.
	Zone string
	// Share is the fraction of the calls that are affected, from 0 to 1.
	Share float64
	// Seed is the seed of the random choice of calls.
	Seed uint64
}

func (sc Scope) scope() Scope { return sc }

// Outage rejects calls, so that they have no effect, and ends waiting watches.
type Outage struct {
	Scope
}

// Slow delays calls. A delayed write may take effect after its caller has timed
// out.
type Slow struct {
	Scope
	// Delay is the mean delay. Each delay is between half and one and a half
	// times the mean.
	Delay time.Duration
}

// AnswerLost applies writes but loses their answers.
type AnswerLost struct {
	Scope
}

// WatchBroken ends watches without an answer, at a random time during their wait.
type WatchBroken struct {
	Scope
}

// WatchReplay makes watches repeat earlier events, from before the revision at
// which they start.
type WatchReplay struct {
	Scope
}

// Partition prevents calls from reaching the service. A call blocks until its
// caller's context is done or the partition ends, or fails at once.
type Partition struct {
	Scope
	// Refuse makes the calls fail at once, as with a refused connection.
	Refuse bool
}

// VMsMissing omits a random share of the VMs from each VM list.
type VMsMissing struct {
	Scope
}

// validate returns a SettingsRange error if a value of the fault is out of range.
func validate(ft Fault) error {
	sc := ft.scope()
	if !(sc.Share >= 0 && sc.Share <= 1) {
		return classifier.New(classifier.SettingsRange, "fault share is %v, must be between 0 and 1", sc.Share)
	}
	if sl, ok := ft.(Slow); ok && sl.Delay <= 0 {
		return classifier.New(classifier.SettingsRange, "fault delay is %s, must be above 0", sl.Delay)
	}
	return nil
}

// seededFault is a fault with its own random number generator.
type seededFault struct {
	fault  Fault
	random *rand.Rand
}

// seed returns the faults with their random number generators.
func seed(faults []Fault) []seededFault {
	seeded := make([]seededFault, 0, len(faults))
	for idx, ft := range faults {
		seeded = append(seeded, seededFault{
			fault:  ft,
			random: rand.New(rand.NewPCG(ft.scope().Seed, uint64(idx))),
		})
	}
	return seeded
}

// draw draws at random which faults of type F affect a call from the availability
// zone. It returns the first that does, and its random number generator.
func draw[F Fault](seeded []seededFault, zone string) (F, *rand.Rand, bool) {
	for _, sf := range seeded {
		ft, ok := sf.fault.(F)
		if !ok {
			continue
		}
		sc := ft.scope()
		if sc.Zone != "" && sc.Zone != zone {
			continue
		}
		if sf.random.Float64() < sc.Share {
			return ft, sf.random, true
		}
	}
	var none F
	return none, nil, false
}
