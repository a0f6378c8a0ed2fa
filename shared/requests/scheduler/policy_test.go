package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

// TestAgeing checks that a less urgent request gets a slot in spite of a
// continuous flood of later requests with the highest urgency.
func TestAgeing(t *testing.T) {
	cases := []struct {
		name    string
		opts    []Option
		started bool
	}{
		{
			name:    "with ageing",
			started: true,
		},
		{
			name:    "without",
			opts:    []Option{Without(Ageing)},
			started: false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mo := newModel(testConfig(), tc.opts...)
			mo.setTargets(testTargets(1, 1))
			deadline := mo.now.Add(time.Minute)
			mo.submit(Request{Deadline: deadline})
			mo.submit(Request{
				Urgency:  3,
				Deadline: deadline,
			})
			for range ageingInterval {
				mo.advance(time.Millisecond)
				mo.submit(Request{Deadline: deadline})
				mo.finish(0, Succeeded, time.Millisecond)
			}
			must.Eq(t, tc.started, mo.requests[2].attempts > 0)
		})
	}
}

// TestRetryAfter checks that Retry-After grows with the number of recent
// refusals.
func TestRetryAfter(t *testing.T) {
	config := testConfig()
	config.MaxQueued = 0
	mo := newModel(config)
	mo.setTargets(testTargets(1, 2))
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	mo.finish(0, Succeeded, 200*time.Millisecond)
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	var retryAfters []time.Duration
	for i := range 100 {
		actions := mo.scheduler.Submit(mo.now, Request{
			ID:       RequestID(1000 + i),
			Deadline: mo.now.Add(time.Minute),
		})
		re := actions[0].(Refuse)
		must.Eq(t, classifier.QueueFull, re.Code)
		retryAfters = append(retryAfters, re.RetryAfter)
	}
	must.Between(t, time.Second, retryAfters[0], 2*time.Second)
	must.Between(t, 9*time.Second, retryAfters[98], 20*time.Second, must.Sprint("99 refused requests at 100 ms each"))
}

// TestRetryAfterJitter checks that equal refusals get spread Retry-After
// values, so that the callers do not all repeat their requests at once.
func TestRetryAfterJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var retryAfters []float64
	for range 1000 {
		ra := &retryAfterEstimator{random: random}
		retryAfters = append(retryAfters, ra.estimate(testStart, 100, 50*time.Millisecond).Seconds())
	}
	slices.Sort(retryAfters)
	must.Between(t, 5, retryAfters[0], 5.5)
	must.Between(t, 7, retryAfters[500], 8.2)
	must.Between(t, 9.5, retryAfters[999], 10.2)
}

// TestLoadSpreadOverRacks checks that load is spread evenly over the targets of
// racks of unequal size.
func TestLoadSpreadOverRacks(t *testing.T) {
	mo := newModel(testConfig())
	mo.setTargets(testTargets(5, 8))
	for range 10 {
		mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	}
	must.MapContainsValues(t, mo.inFlight, []int{2, 2, 2, 2, 2})
}
