package keeper

import (
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// Fault is something that goes wrong with calls to the service: Out, Slow,
// AnswerLost, WatchCut, WatchRepeat, Cut or VMsMissing.
type Fault interface {
	scope() Scope
}

// Scope says which calls a fault strikes.
type Scope struct {
	// Zone is the availability zone whose calls are struck; empty for all.
	Zone string
	// Share is the share of the calls that are struck, from 0 to 1.
	Share float64
	// Seed makes the choice of the calls repeatable.
	Seed uint64
}

func (sc Scope) scope() Scope { return sc }

// Outage refuses calls, which then have no effect, and ends waiting watches.
type Outage struct {
	Scope
}

// Slow delays calls. A delayed write may take effect after its caller has
// given up.
type Slow struct {
	Scope
	// Delay is the mean delay; single delays lie within half of it.
	Delay time.Duration
}

// AnswerLost applies writes and loses their answers.
type AnswerLost struct {
	Scope
}

// WatchBroken ends watches without an answer, at any moment of their waiting.
type WatchBroken struct {
	Scope
}

// WatchReplay has watches answer again with events from before the revision
// that they were asked for.
type WatchReplay struct {
	Scope
}

// Partition keeps calls from reaching the service. They wait until their caller
// gives up or the cut is mended, or fail at once.
type Partition struct {
	Scope
	// Refuse makes the calls fail at once.
	Refuse bool
}

// VMsMissing leaves a share of the VMs out of each answer of the VM list.
type VMsMissing struct {
	Scope
}

// check returns an error unless the fault's values are in their ranges.
func check(ft Fault) error {
	sc := ft.scope()
	if !(sc.Share >= 0 && sc.Share <= 1) {
		return classifier.New(classifier.SettingsRange, "fault share %v is not from 0 to 1", sc.Share)
	}
	if sw, ok := ft.(Slow); ok && sw.Delay <= 0 {
		return classifier.New(classifier.SettingsRange, "fault delay %s is not above 0", sw.Delay)
	}
	return nil
}

// armedFault is a fault with its own source of randomness.
type armedFault struct {
	fault  Fault
	random *rand.Rand
}

// arm returns the faults with their sources of randomness.
func arm(faults []Fault) []armedFault {
	armed := make([]armedFault, 0, len(faults))
	for idx, ft := range faults {
		armed = append(armed, armedFault{
			fault:  ft,
			random: rand.New(rand.NewPCG(ft.scope().Seed, uint64(idx))),
		})
	}
	return armed
}

// strike returns the first fault of type F that strikes a call from the
// availability zone, and its source of randomness.
func strike[F Fault](armed []armedFault, zone string) (F, *rand.Rand, bool) {
	for _, af := range armed {
		ft, ok := af.fault.(F)
		if !ok {
			continue
		}
		sc := ft.scope()
		if sc.Zone != "" && sc.Zone != zone {
			continue
		}
		if af.random.Float64() < sc.Share {
			return ft, af.random, true
		}
	}
	var none F
	return none, nil, false
}
