package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

// TestAgeing floods a slot with the most urgent work and checks that a less
// urgent request that came first still gets a turn.
func TestAgeing(t *testing.T) {
	cases := []struct {
		name    string
		list    []Option
		started bool
	}{
		{
			name:    "with ageing",
			started: true,
		},
		{
			name:    "without",
			list:    []Option{Without(Ageing)},
			started: false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mo := newModel(testConfig(), tc.list...)
			mo.setTargets(testTargets(1, 1))
			deadline := mo.now.Add(time.Minute)
			mo.submit(Request{Deadline: deadline})
			mo.submit(Request{
				Urgency:  3,
				Deadline: deadline,
			})
			for range agedTurn {
				mo.advance(time.Millisecond)
				mo.submit(Request{Deadline: deadline})
				mo.finish(0, Succeeded, time.Millisecond)
			}
			must.Eq(t, tc.started, mo.requests[2].made > 0)
		})
	}
}

// TestRetryAfter checks that the advice grows with what was refused, and that
// equal refusals get different advice.
func TestRetryAfter(t *testing.T) {
	config := testConfig()
	config.MaxQueued = 0
	mo := newModel(config)
	mo.setTargets(testTargets(1, 2))
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	mo.finish(0, Succeeded, 200*time.Millisecond)
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	var advice []time.Duration
	for i := range 100 {
		actions := mo.scheduler.Submit(mo.now, Request{
			ID:       RequestID(1000 + i),
			Deadline: mo.now.Add(time.Minute),
		})
		re := actions[0].(Refuse)
		must.Eq(t, classifier.QueueFull, re.Code)
		advice = append(advice, re.RetryAfter)
	}
	must.Between(t, time.Second, advice[0], 2*time.Second)
	must.Between(t, 9*time.Second, advice[98], 20*time.Second, must.Sprint("99 refused at 100 ms each"))
}

// TestRetryAfterJitter checks that callers refused alike do not all come back
// at once.
func TestRetryAfterJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var advice []float64
	for range 1000 {
		ad := &adviser{random: random}
		advice = append(advice, ad.refuse(start0, 100, 50*time.Millisecond).Seconds())
	}
	slices.Sort(advice)
	must.Between(t, 5, advice[0], 5.5)
	must.Between(t, 7, advice[500], 8.2)
	must.Between(t, 9.5, advice[999], 10.2)
}

// TestRacksShareLoad checks that work is spread over racks of unequal size.
func TestRacksShareLoad(t *testing.T) {
	mo := newModel(testConfig())
	mo.setTargets(testTargets(5, 8))
	for range 10 {
		mo.submit(Request{Deadline: mo.now.Add(time.Minute)})
	}
	must.MapContainsValues(t, mo.inFlight, []int{2, 2, 2, 2, 2})
}
