package emulator

import (
	"runtime"
	"sync"
	"testing"
)

// fixedSeeds is how many days are always played.
const fixedSeeds = 300

func TestDaysKeepAllPromises(t *testing.T) {
	var total Counts
	var mu sync.Mutex
	var days sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		days.Go(func() {
			for seed := range seeds {
				broken, counts := New(seed).Play()
				mu.Lock()
				for _, promise := range broken {
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

func TestSameSeedPlaysTheSameDay(t *testing.T) {
	_, first := New(7).Play()
	_, second := New(7).Play()
	if first != second {
		t.Errorf("first %+v, then %+v", first, second)
	}
}
