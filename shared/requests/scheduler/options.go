package scheduler

import "math/rand/v2"

// Mechanism is a part of the policy that can be disabled for measurements.
type Mechanism int

// The mechanisms that Without can disable.
const (
	// Shedding refuses requests by queue delay.
	Shedding Mechanism = iota + 1
	// Headroom limits the slots that long work borrows from urgent work.
	Headroom
	// Ageing periodically starts the longest-waiting request regardless of
	// urgency.
	Ageing
	// RetryBudget bounds retries and hedges.
	RetryBudget
	// Ejection ejects failing targets.
	Ejection
)

// Option configures the Scheduler that New returns.
type Option func(*options)

type options struct {
	random   *rand.Rand
	excluded map[Mechanism]bool
}

// WithRandom sets the source of randomness. A Scheduler is deterministic for a
// given source and sequence of calls.
func WithRandom(random *rand.Rand) Option {
	return func(ot *options) { ot.random = random }
}

// Without disables a mechanism, so that measurements and tests can compare the
// scheduler with and without it.
func Without(mechanism Mechanism) Option {
	return func(ot *options) { ot.excluded[mechanism] = true }
}

func newOptions(opts []Option) *options {
	ot := &options{excluded: map[Mechanism]bool{}}
	for _, apply := range opts {
		apply(ot)
	}
	if ot.random == nil {
		ot.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return ot
}
