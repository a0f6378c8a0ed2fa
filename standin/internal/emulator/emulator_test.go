package emulator

import (
	"runtime"
	"sync"
	"testing"
)

// fixedSeeds is the number of seeds that the test simulates.
const fixedSeeds = 300

func TestDaysKeepAllPromises(t *testing.T) { playFixedSeeds(t) }

// TestDaysWithChangingConfigurationKeepAllPromises guards against jobs that stop, or
// whose tasks run again, when their queue is removed or has another pool.
func TestDaysWithChangingConfigurationKeepAllPromises(t *testing.T) {
	playFixedSeeds(t, WithChangingConfiguration())
}

// TestDaysWithLateVMOrdersKeepAllPromises guards against orders that a holder sends
// and its successor doesn't know of.
func TestDaysWithLateVMOrdersKeepAllPromises(t *testing.T) {
	playFixedSeeds(t, WithLateVMOrders())
}

// TestDaysWithRestartsUnderTheSameIDKeepAllPromises guards against orders that the next
// incarnation of a worker carries out.
func TestDaysWithRestartsUnderTheSameIDKeepAllPromises(t *testing.T) {
	playFixedSeeds(t, WithRestartsUnderTheSameID())
}

// TestDaysWithConnectionsThatOutliveWorkersKeepAllPromises guards against guarantees that
// rest on the end of a connection.
func TestDaysWithConnectionsThatOutliveWorkersKeepAllPromises(t *testing.T) {
	playFixedSeeds(t, WithRestartsUnderTheSameID(), WithConnectionsThatOutliveWorkers())
}

// TestDaysWithLateOrdersThatOutliveWorkersKeepAllPromises guards against starts that were
// delayed on the network, and that the next incarnation of a worker carries out.
func TestDaysWithLateOrdersThatOutliveWorkersKeepAllPromises(t *testing.T) {
	playFixedSeeds(t, WithRestartsUnderTheSameID(), WithConnectionsThatOutliveWorkers(), WithLateOrdersThatOutliveWorkers())
}

func playFixedSeeds(t *testing.T, opts ...Option) {
	var total Counts
	var mu sync.Mutex
	var days sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		days.Go(func() {
			for seed := range seeds {
				violations, counts := New(seed, opts...).Run()
				mu.Lock()
				for _, promise := range violations {
					t.Errorf("seed %d: %s", seed, promise)
				}
				total.Jobs += counts.Jobs
				total.Starts += counts.Starts
				total.Terms += counts.Terms
				mu.Unlock()
			}
		})
	}
	for seed := range uint64(fixedSeeds) {
		seeds <- seed
	}
	close(seeds)
	days.Wait()
	t.Logf("%d days: %d jobs, %d starts, %d holders", fixedSeeds, total.Jobs, total.Starts, total.Terms)
}

func TestSameSeedGivesSameCounts(t *testing.T) {
	_, first := New(7).Run()
	_, second := New(7).Run()
	if first != second {
		t.Errorf("same seed gave counts %+v, then %+v", first, second)
	}
}

// regressionSeeds are seeds that have failed before.
var regressionSeeds = []uint64{
	// A worker that was maintained twice was not listed again, since workers
	// wrote their entries only once.
	100881,
	// A holder that was cut off started a task on a new incarnation, after a later
	// holder had acknowledged the task's end on the one before.
	201820,
	// A worker was back under its ID before its polls had failed, and accepted a
	// start that was then taken for one of the incarnation before.
	303268,
}

func TestRegressionSeedsKeepAllPromises(t *testing.T) {
	for _, seed := range regressionSeeds {
		violations, _ := New(seed).Run()
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// changingSeeds are seeds that have failed before with a changing configuration.
var changingSeeds = []uint64{
	// A task was started again after a takeover, since its queue had changed its
	// pool and the worker that had run it hadn't reported.
	1971,
}

func TestChangingSeedsKeepAllPromises(t *testing.T) {
	for _, seed := range changingSeeds {
		violations, _ := New(seed, WithChangingConfiguration()).Run()
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
