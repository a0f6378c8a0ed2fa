package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
)

// policy builds a scheduler to be measured.
type policy struct {
	name  string
	build func(config scheduler.Config, random *rand.Rand) scheduler.Scheduler
}

// chosen is the policy of the product.
var chosen = policy{
	name: "policy",
	build: func(config scheduler.Config, random *rand.Rand) scheduler.Scheduler {
		return scheduler.New(config, scheduler.WithRandom(random))
	},
}

// The baselines that the policy is compared with.
var (
	plainFIFO = policy{
		name: "fifo",
		build: func(config scheduler.Config, _ *rand.Rand) scheduler.Scheduler {
			return scheduler.NewFIFO(config)
		},
	}
	fixedLimits = policy{
		name: "fixedLimits",
		build: func(config scheduler.Config, _ *rand.Rand) scheduler.Scheduler {
			return newSplit(config)
		},
	}
	noShedding = without("noShedding", scheduler.Shedding)
)

func without(name string, mechanism scheduler.Mechanism) policy {
	return policy{
		name: name,
		build: func(config scheduler.Config, random *rand.Rand) scheduler.Scheduler {
			return scheduler.New(config, scheduler.WithRandom(random), scheduler.Without(mechanism))
		},
	}
}

// split is the baseline of fixed limits: each kind of work has its own plain
// queue and its own fixed part of every target's slots.
type split struct {
	config scheduler.Config
	kinds  [2]scheduler.Scheduler
	kindOf map[scheduler.RequestID]int
}

func newSplit(config scheduler.Config) *split {
	half := config
	half.MaxQueued /= 2
	half.MaxQueuedBytes /= 2
	return &split{
		config: config,
		kinds:  [2]scheduler.Scheduler{scheduler.NewFIFO(half), scheduler.NewFIFO(half)},
		kindOf: map[scheduler.RequestID]int{},
	}
}

func (sp *split) Configure(_ time.Time, _ scheduler.Config) []scheduler.Action { return nil }

func (sp *split) SetTargets(now time.Time, targets []scheduler.Target) []scheduler.Action {
	urgent := make([]scheduler.Target, len(targets))
	long := make([]scheduler.Target, len(targets))
	for i, tt := range targets {
		urgent[i] = tt
		long[i] = tt
		long[i].Slots = int(math.Round(sp.config.LongShare * float64(tt.Slots)))
		urgent[i].Slots -= long[i].Slots
	}
	return append(sp.kinds[0].SetTargets(now, urgent), sp.kinds[1].SetTargets(now, long)...)
}

func (sp *split) Submit(now time.Time, request scheduler.Request) []scheduler.Action {
	kind := 0
	if request.Urgency >= sp.config.LongFrom {
		kind = 1
	}
	sp.kindOf[request.ID] = kind
	return sp.kinds[kind].Submit(now, request)
}

func (sp *split) Cancel(now time.Time, request scheduler.RequestID) []scheduler.Action {
	return sp.kinds[sp.kindOf[request]].Cancel(now, request)
}

func (sp *split) Finish(now time.Time, attempt scheduler.Attempt, result scheduler.Result, latency time.Duration) []scheduler.Action {
	return sp.kinds[sp.kindOf[attempt.Request]].Finish(now, attempt, result, latency)
}

func (sp *split) Tick(now time.Time) []scheduler.Action {
	return append(sp.kinds[0].Tick(now), sp.kinds[1].Tick(now)...)
}

func (sp *split) NextTick() time.Time {
	first := sp.kinds[0].NextTick()
	second := sp.kinds[1].NextTick()
	if first.IsZero() || (!second.IsZero() && second.Before(first)) {
		return second
	}
	return first
}

func (sp *split) Stats() scheduler.Stats {
	urgent := sp.kinds[0].Stats()
	long := sp.kinds[1].Stats()
	urgent.Queued += long.Queued
	urgent.Running += long.Running
	urgent.Slots += long.Slots
	return urgent
}
