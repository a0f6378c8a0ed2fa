package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawConfig(rt *rapid.T) Config {
	return Config{
		LongFrom:         rapid.IntRange(0, 8).Draw(rt, "longFrom"),
		LongShare:        rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.5, 1}).Draw(rt, "longShare"),
		MaxQueued:        rapid.IntRange(0, 12).Draw(rt, "maxQueued"),
		MaxQueuedBytes:   rapid.Int64Range(0, 2000).Draw(rt, "maxQueuedBytes"),
		MaxQueueDelay:    time.Duration(rapid.IntRange(1, 2000).Draw(rt, "maxQueueDelay")) * time.Millisecond,
		TargetQueueDelay: time.Duration(rapid.IntRange(1, 500).Draw(rt, "targetQueueDelay")) * time.Millisecond,
		RetryShare:       rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "retryShare"),
		HedgeAfter:       time.Duration(rapid.IntRange(0, 100).Draw(rt, "hedgeAfter")) * time.Millisecond,
		MaxEjectedShare:  rapid.SampledFrom([]float64{0, 0.3, 0.5, 1}).Draw(rt, "maxEjectedShare"),
	}
}

func drawTargets(rt *rapid.T) []Target {
	count := rapid.IntRange(0, 6).Draw(rt, "targets")
	var targets []Target
	for i := range count {
		targets = append(targets, Target{
			VM:      fmt.Sprintf("a-%02d", i+1),
			Rack:    fmt.Sprintf("a-r%d", i/2+1),
			Slots:   rapid.IntRange(0, 4).Draw(rt, "slots"),
			Leaving: rapid.IntRange(0, 5).Draw(rt, "leaving") == 0,
		})
	}
	return targets
}

func drawRequest(rt *rapid.T, now time.Time) Request {
	return Request{
		Urgency:    rapid.IntRange(0, 7).Draw(rt, "urgency"),
		Bytes:      rapid.Int64Range(0, 500).Draw(rt, "bytes"),
		Deadline:   now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "deadline")) * time.Millisecond),
		Repeatable: rapid.Bool().Draw(rt, "repeatable"),
	}
}

// TestPolicyInvariants makes random calls and checks the resulting actions with
// the model.
func TestPolicyInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := newModel(drawConfig(rt))
		mo.setTargets(drawTargets(rt))
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) { mo.submit(drawRequest(rt, mo.now)) },
			"submitMany": func(rt *rapid.T) {
				for range 8 {
					mo.submit(drawRequest(rt, mo.now))
				}
			},
			"finish": func(rt *rapid.T) { finishSome(rt, mo, 1) },
			"finishMany": func(rt *rapid.T) {
				finishSome(rt, mo, 8)
			},
			"cancel": func(rt *rapid.T) {
				if len(mo.requests) > 0 {
					mo.cancel(RequestID(rapid.IntRange(1, len(mo.requests)).Draw(rt, "id")))
				}
			},
			"advance": func(rt *rapid.T) {
				mo.advance(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "advance")) * time.Millisecond)
			},
			"advanceFar": func(*rapid.T) { mo.advance(refusalBackoff) },
			"setTargets": func(rt *rapid.T) { mo.setTargets(drawTargets(rt)) },
			"configure": func(rt *rapid.T) {
				share := mo.config.RetryShare
				mo.config = drawConfig(rt)
				mo.config.RetryShare = share
				mo.apply(mo.scheduler.Configure(mo.now, mo.config))
			},
			"": func(rt *rapid.T) {
				ejectedTargets := mo.scheduler.Stats().Ejected
				if !mo.isEjectionBounded(ejectedTargets) {
					mo.addViolation("%d of %d targets ejected", ejectedTargets, len(mo.targets))
				}
				failOnViolation(rt, mo)
			},
		})
		mo.drain()
		failOnViolation(rt, mo)
		must.Zero(rt, len(mo.scheduler.(*policy).requests))
	})
}

func finishSome(rt *rapid.T, mo *model, count int) {
	results := []Result{Succeeded, Succeeded, Failed, Failed, FailedUnread, Refused, Cancelled}
	for range min(count, len(mo.running)) {
		if len(mo.running) == 0 {
			return
		}
		index := rapid.IntRange(0, len(mo.running)-1).Draw(rt, "index")
		result := rapid.SampledFrom(results).Draw(rt, "result")
		mo.finish(index, result, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "latency"))*time.Millisecond)
	}
}

func failOnViolation(rt *rapid.T, mo *model) {
	if len(mo.violations) > 0 {
		rt.Fatalf("%s", mo.violations[0])
	}
}

// TestDuplicateFinish checks that a second Finish of the same attempt has no
// effect.
func TestDuplicateFinish(t *testing.T) {
	mo := newModel(testConfig())
	mo.setTargets(testTargets(1, 1))
	mo.submit(Request{Deadline: mo.now.Add(time.Second)})
	at := mo.running[0]
	mo.finish(0, Succeeded, time.Millisecond)
	must.SliceEmpty(t, mo.scheduler.Finish(mo.now, at, Failed, 0))
	must.Zero(t, mo.scheduler.Stats().Running)
}

// TestLongWorkKeepsItsShare checks that long work gets its share of the slots
// under a continuous flood of urgent work.
func TestLongWorkKeepsItsShare(t *testing.T) {
	mo := newModel(testConfig())
	mo.setTargets(testTargets(4, 8))
	long := map[RequestID]bool{}
	for range 2000 {
		for range 40 {
			mo.submit(Request{Deadline: mo.now.Add(30 * time.Second)})
		}
		if mo.scheduler.Stats().Queued < 400 {
			mo.submit(Request{
				Urgency:  6,
				Deadline: mo.now.Add(time.Hour),
			})
			long[mo.lastID] = true
		}
		for i := len(mo.running) - 1; i >= 0; i-- {
			if !long[mo.running[i].Request] {
				mo.finish(i, Succeeded, 10*time.Millisecond)
			}
		}
		mo.advance(10 * time.Millisecond)
	}
	running := 0
	for _, at := range mo.running {
		if long[at.Request] {
			running++
		}
	}
	must.SliceEmpty(t, mo.violations)
	must.Eq(t, 10, running, must.Sprint("30% of 32 slots"))
}

func testConfig() Config {
	return Config{
		LongFrom:         5,
		LongShare:        0.3,
		MaxQueued:        1000,
		MaxQueuedBytes:   1 << 20,
		MaxQueueDelay:    time.Second,
		TargetQueueDelay: 100 * time.Millisecond,
		RetryShare:       0.1,
		MaxEjectedShare:  0.5,
	}
}

func testTargets(count, slots int) []Target {
	var targets []Target
	for i := range count {
		targets = append(targets, Target{
			VM:    fmt.Sprintf("a-%02d", i+1),
			Rack:  fmt.Sprintf("a-r%d", i/4+1),
			Slots: slots,
		})
	}
	return slices.Clip(targets)
}
