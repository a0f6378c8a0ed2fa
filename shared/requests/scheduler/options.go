package scheduler

import "math/rand/v2"

// Mechanism is a part of the policy that measurements can leave out.
type Mechanism int

// The mechanisms that Without can leave out.
const (
	// Shedding refuses work on queue delay.
	Shedding Mechanism = iota + 1
	// Headroom keeps slots free of long work for urgent work.
	Headroom
	// Ageing gives turns to work that has waited long.
	Ageing
	// RetryBudget bounds extra attempts.
	RetryBudget
	// Ejection holds back failing targets.
	Ejection
)

// Option changes how New builds a Scheduler.
type Option func(*options)

type options struct {
	random  *rand.Rand
	without map[Mechanism]bool
}

// WithRandom sets the source of randomness. With the same source and the same
// calls a Scheduler takes the same decisions.
func WithRandom(random *rand.Rand) Option {
	return func(ot *options) { ot.random = random }
}

// Without leaves a mechanism out. It serves measurements and tests, which
// compare with and without it.
func Without(mechanism Mechanism) Option {
	return func(ot *options) { ot.without[mechanism] = true }
}

func newOptions(list []Option) *options {
	ot := &options{without: map[Mechanism]bool{}}
	for _, apply := range list {
		apply(ot)
	}
	if ot.random == nil {
		ot.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return ot
}
