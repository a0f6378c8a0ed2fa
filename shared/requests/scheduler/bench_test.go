package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkSubmitFinish measures Submit and Finish of one request while a given
// number of requests is queued.
func BenchmarkSubmitFinish(b *testing.B) {
	for _, waiting := range []int{0, 1000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkWaiting(b, waiting) })
	}
}

func benchmarkWaiting(b *testing.B, waiting int) {
	config := testConfig()
	config.MaxQueued = 1 << 20
	config.MaxQueueDelay = time.Hour
	config.TargetQueueDelay = time.Hour
	sc := New(config, WithRandom(rand.New(rand.NewPCG(1, 2))))
	now := testStart
	sc.SetTargets(now, testTargets(12, 8))
	var id RequestID
	var running []Attempt
	submit := func() {
		id++
		running = appendStarts(running, sc.Submit(now, Request{
			ID:       id,
			Urgency:  int(id % 4),
			Deadline: now.Add(time.Duration(1+id%1000) * time.Hour),
		}))
	}
	for len(running) < 96 || sc.Stats().Queued < waiting {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		submit()
		at := running[0]
		running = appendStarts(running[1:], sc.Finish(now, at, Succeeded, time.Millisecond))
	}
}

func appendStarts(running []Attempt, actions []Action) []Attempt {
	for _, an := range actions {
		if st, ok := an.(Start); ok {
			running = append(running, st.Attempt)
		}
	}
	return running
}
