package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// overloadShares are the shares of the small and the large jobs of a load that are on
// time, by their last start.
type overloadShares struct {
	small, large float64
}

// playOverload submits more work than a pool of 64 cores has room for, for 10 s: large jobs of
// two steps, and small ones of one step at an interval in units of 10 ms.
func playOverload(t *testing.T, smallInterval int, opts ...Option) overloadShares {
	bf := newFleetInPools(t, 2, 1, opts...)
	cf := bf.al.configuration
	qu := cf.Queues[queueName(0, 0)]
	qu.Slack = 4 * time.Second
	cf.Version++
	cf.Queues = map[string]modeller.Queue{qu.Name: qu}
	bf.apply(ConfigurationLoaded{Configuration: cf})
	lastStarts := map[modeller.JobID]time.Time{}
	bf.onStart = func(so StartOrder) { lastStarts[so.Task.Job] = bf.now }
	latest := map[bool]map[modeller.JobID]time.Time{false: {}, true: {}}
	for turn := range 1000 {
		isLarge := turn%50 == 0
		if isLarge || turn%smallInterval == 1 {
			steps := []modeller.Step{tasksOf(2, 1000)}
			if isLarge {
				second := tasksOf(6, 2000)
				second.DependsOn = []int{0}
				steps = []modeller.Step{tasksOf(6, 2000), second}
			}
			id := bf.submitOf("", 0, steps...)
			jb := bf.al.jobs[id]
			latest[isLarge][id] = bf.now.Add(jb.queue.Objective(jb.criticalPath) - steps[0].Estimate)
		}
		bf.run(10 * time.Millisecond)
	}
	bf.run(20 * time.Second)
	share := func(latest map[modeller.JobID]time.Time) float64 {
		count := 0
		for id, at := range latest {
			if last, ok := lastStarts[id]; ok && !last.After(at) {
				count++
			}
		}
		return float64(count) / float64(len(latest))
	}
	return overloadShares{small: share(latest[false]), large: share(latest[true])}
}

// TestCostOrderServesSmallAndLargeJobs guards against an overloaded pool that serves only
// small jobs, so that all large ones are late.
func TestCostOrderServesSmallAndLargeJobs(t *testing.T) {
	for _, smallInterval := range []int{2, 4} {
		bySize, byCost := playOverload(t, smallInterval), playOverload(t, smallInterval, WithCostOrder())
		must.GreaterEq(t, bySize.large+0.1, byCost.large)
		must.GreaterEq(t, bySize.small-0.1, byCost.small)
	}
}

// waitingOrder returns the waiting jobs of pool p in the order of service.
func waitingOrder(fx *fixture) []modeller.JobID {
	return jobIDs(fx.al.waiting["p"].teams[""].ranked)
}

// submitSteps submits a job with steps of one task each, one after the other.
func (fx *fixture) submitSteps(id string, milliCores int, estimates ...time.Duration) {
	var steps []modeller.Step
	for number, estimate := range estimates {
		st := oneTaskStep()
		st.Demand.MilliCores = milliCores
		st.Estimate = estimate
		if number > 0 {
			st.DependsOn = []int{number - 1}
		}
		steps = append(steps, st)
	}
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID:    modeller.JobID(id),
		Queue: "q",
		Steps: steps,
	}}})
	fx.storeBatch()
}

// TestBegunJobPrecedesOthersByItsRemainingWork guards against work that is begun and left
// for other work of the same size, and against that order where it isn't asked for.
func TestBegunJobPrecedesOthersByItsRemainingWork(t *testing.T) {
	for name, tc := range map[string]struct {
		opts     []Option
		expected []modeller.JobID
	}{
		"by cost": {[]Option{WithCostOrder()}, []modeller.JobID{"small", "begun", "fresh"}},
		"by size": {nil, []modeller.JobID{"small", "fresh", "begun"}},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, tc.opts...)
			fx.addReadyWorkers("a")
			fx.submitSteps("begun", 4000, 100*time.Millisecond, 100*time.Millisecond)
			starts := takeOrders[StartOrder](fx)
			must.Len(t, 1, starts)
			fx.acceptStart(starts[0])
			// The worker is full, so these wait.
			fx.submitSteps("fresh", 4000, 100*time.Millisecond, 50*time.Millisecond)
			fx.submitSteps("small", 1000, 120*time.Millisecond)
			must.Eq(t, []modeller.JobID{"small", "fresh"}, waitingOrder(fx)[:2])
			fx.al.completeTask(fx.now, fx.al.findTask(starts[0].Task))
			must.Eq(t, tc.expected, waitingOrder(fx))
		})
	}
}

// TestScheduledJobsPrecedeOthersByTheirSize guards against an order of scheduled jobs, which
// have no latest start, that contradicts itself.
func TestScheduledJobsPrecedeOthersByTheirSize(t *testing.T) {
	fx := newFixture(t, WithCostOrder())
	for id, estimate := range map[string]time.Duration{"s1": time.Second, "s2": 2 * time.Second} {
		st := oneTaskStep()
		st.Estimate = estimate
		fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
			ID:          modeller.JobID(id),
			Queue:       "q",
			Steps:       []modeller.Step{st},
			Occurrences: 1,
			FirstAt:     fx.now,
			Interval:    time.Minute,
		}}})
	}
	fx.submitSteps("j", 1000, 10*time.Millisecond)
	fx.apply(RecordsLoaded{})
	fx.advance(50 * time.Millisecond)
	must.Eq(t, []modeller.JobID{"s1", "s2", "j"}, waitingOrder(fx))
}
