package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// maxChanges bounds the changes of the configuration, and maxGap the time in which
// a queue is missing.
const (
	maxChanges = 4
	maxGap     = 3 * time.Second
	// removedForGood is the number of removals of which one is not taken back.
	removedForGood = 4
)

// Option is an option of New.
type Option func(*Simulation)

// WithChangingConfiguration lets operators remove queues while their jobs run, for
// good or to add them again for any pool.
func WithChangingConfiguration() Option {
	return func(sm *Simulation) { sm.drawChanges(rand.New(rand.NewPCG(sm.seed, 2))) }
}

// operators is the configuration and its history.
type operators struct {
	configuration modeller.Configuration
	// poolOf is the present or the last pool of each queue, and pools are all pools
	// that each queue has had.
	poolOf map[string]string
	pools  map[string]map[string]bool
}

func newOperators() *operators {
	op := &operators{
		configuration: modeller.Configuration{
			Pools: map[string]modeller.Pool{},
		},
		poolOf: map[string]string{},
		pools:  map[string]map[string]bool{},
	}
	queues := map[string]modeller.Queue{}
	for number := range pools {
		pool := fmt.Sprintf("p%d", number)
		op.configuration.Pools[pool] = modeller.Pool{Name: pool}
		queue := fmt.Sprintf("q%d", number)
		queues[queue] = newQueue(queue, pool)
	}
	op.replaceQueues(queues)
	return op
}

func newQueue(name, pool string) modeller.Queue {
	return modeller.Queue{
		Name:        name,
		Pool:        pool,
		MaxAttempts: maxAttempts,
		Stretch:     1.6,
		Slack:       600 * time.Millisecond,
	}
}

// replaceQueues begins the next version of the configuration. Earlier versions
// stay as they are, since holders still have them.
func (op *operators) replaceQueues(queues map[string]modeller.Queue) {
	op.configuration.Version++
	op.configuration.Queues = queues
	for name, qu := range queues {
		op.poolOf[name] = qu.Pool
		if op.pools[name] == nil {
			op.pools[name] = map[string]bool{}
		}
		op.pools[name][qu.Pool] = true
	}
}

// queuesWithout returns the present queues but for one.
func (op *operators) queuesWithout(name string) map[string]modeller.Queue {
	queues := map[string]modeller.Queue{}
	for other, qu := range op.configuration.Queues {
		if other != name {
			queues[other] = qu
		}
	}
	return queues
}

// drawChanges draws the changes of the configuration.
func (sm *Simulation) drawChanges(random *rand.Rand) {
	removals := rand.New(rand.NewPCG(sm.seed, 3))
	for range 1 + random.IntN(maxChanges) {
		at := sm.begin.Add(time.Second + time.Duration(random.Int64N(int64(submissionTime-2*time.Second))))
		gap := time.Duration(random.Int64N(int64(maxGap)))
		name, pool := fmt.Sprintf("q%d", random.IntN(pools)), fmt.Sprintf("p%d", random.IntN(pools))
		sm.timers.add(at, func() { sm.configure(sm.operators.queuesWithout(name)) })
		if removals.IntN(removedForGood) == 0 {
			continue
		}
		sm.timers.add(at.Add(gap), func() {
			queues := sm.operators.queuesWithout(name)
			queues[name] = newQueue(name, pool)
			sm.configure(queues)
		})
	}
}

// configure writes a new version of the configuration.
func (sm *Simulation) configure(queues map[string]modeller.Queue) {
	sm.operators.replaceQueues(queues)
	for name, qu := range queues {
		sm.tracef("configuration %d: queue %s of pool %s", sm.operators.configuration.Version, name, qu.Pool)
	}
	sm.notifyHolders(allocator.ConfigurationLoaded{Configuration: sm.operators.configuration})
}
