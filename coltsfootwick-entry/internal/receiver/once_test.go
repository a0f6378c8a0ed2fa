package receiver_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/store/keeper"
)

const (
	scheduleCount = "300"
	entryCount    = 3
	keyCount      = 2
	// scheduleWindow is the time within which all events of a schedule start.
	scheduleWindow = 3 * time.Second
)

func init() {
	if err := flag.Set("rapid.checks", scheduleCount); err != nil {
		panic(err)
	}
}

// event is a request or a fault in a schedule.
type event struct {
	at time.Duration
	do func(so *scenario)
}

// scenario is one run of a schedule.
type scenario struct {
	region  *testRegion
	entries []*entry
	sent    sync.WaitGroup

	mutex    sync.Mutex
	failures []string
}

func (so *scenario) fail(format string, args ...any) {
	so.mutex.Lock()
	defer so.mutex.Unlock()
	so.failures = append(so.failures, fmt.Sprintf(format, args...))
}

// submit sends a request and checks that the answer agrees with the number of
// executions. A notRun outcome is checked a minute later, so that an execution
// after the answer is found too.
func (so *scenario) submit(ey *entry, id, key string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(so.region.context, timeout)
	defer cancel()
	got := ey.send(ctx, id, key, "body")
	name := key
	if key == "" {
		name = id
	}
	switch {
	case got.status == 0:
	case got.status == http.StatusCreated && so.region.requestRuns(got.body) != 1:
		so.fail("request %s (key %s) got the answer of request %q, which did not run exactly once", id, key, got.body)
	case got.contains(`"outcome":"ran"`) && so.region.keyRuns(name) != 1:
		so.fail("request %s (key %s) got outcome ran but did not run exactly once: %s", id, key, got.body)
	case got.contains(`"outcome":"notRun"`):
		time.AfterFunc(time.Minute, func() {
			if so.region.requestRuns(id) > 0 {
				so.fail("request %s (key %s) ran although its caller got: %s", id, key, got.body)
			}
		})
	}
}

func drawTime(rt *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, int(scheduleWindow/time.Millisecond)).Draw(rt, "at")) * time.Millisecond
}

func drawRequest(rt *rapid.T, id string) event {
	index := rapid.IntRange(0, entryCount-1).Draw(rt, "entry")
	key := ""
	if number := rapid.IntRange(0, keyCount).Draw(rt, "key"); number > 0 {
		key = fmt.Sprintf("k%d", number)
	}
	timeout := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 20 * time.Second}).Draw(rt, "patience")
	return event{
		at: drawTime(rt),
		do: func(so *scenario) { so.submit(so.entries[index], id, key, timeout) },
	}
}

func drawFault(rt *rapid.T) event {
	index := rapid.IntRange(0, entryCount-1).Draw(rt, "entry")
	length := rapid.SampledFrom([]time.Duration{30 * time.Millisecond, time.Second, 30 * time.Second}).Draw(rt, "length")
	scope := keeper.Scope{
		Zone:  rapid.SampledFrom([]string{"", "z0", "z1"}).Draw(rt, "zone"),
		Share: rapid.SampledFrom([]float64{0.3, 1}).Draw(rt, "share"),
		Seed:  rapid.Uint64().Draw(rt, "seed"),
	}
	var do func(so *scenario)
	switch rapid.IntRange(0, 6).Draw(rt, "trouble") {
	case 0:
		do = func(so *scenario) { so.entries[index].gate.kill(); so.entries[index].stop() }
	case 1, 2:
		do = func(so *scenario) { so.entries[index].gate.freeze(length) }
	case 3:
		do = withFault(keeper.Outage{Scope: scope}, length)
	case 4:
		do = withFault(keeper.Slow{Scope: scope, Delay: length / 10}, length)
	case 5:
		do = withFault(keeper.Partition{Scope: scope}, length)
	default:
		do = withFault(keeper.AnswerLost{Scope: scope}, length)
	}
	return event{
		at: drawTime(rt),
		do: do,
	}
}

func withFault(fault keeper.Fault, length time.Duration) func(so *scenario) {
	return func(so *scenario) {
		_ = so.region.keeper.SetFaults(fault)
		time.Sleep(min(length, 5*time.Second))
		_ = so.region.keeper.SetFaults()
	}
}

func drawBehaviours(rt *rapid.T) []behaviour {
	list := rapid.SliceOfN(rapid.IntRange(0, int(behaviourCount)-1), 0, 6).Draw(rt, "behaviours")
	actions := make([]behaviour, 0, len(list))
	for _, number := range list {
		actions = append(actions, behaviour(number))
	}
	return actions
}

func (so *scenario) run(ctx context.Context, events []event, actions []behaviour) {
	so.region = newTestRegion(ctx, 2)
	so.region.targets[0].next = actions
	for index := range entryCount {
		so.entries = append(so.entries, so.region.startEntry(fmt.Sprintf("e%d", index), fmt.Sprintf("z%d", index)))
	}
	time.Sleep(time.Second)
	for _, et := range events {
		so.sent.Go(func() {
			time.Sleep(et.at)
			et.do(so)
		})
	}
	so.sent.Wait()
	time.Sleep(10 * time.Minute)
	so.verify()
}

// verify repeats each key through a new entry after all faults have ended, and
// checks that nothing ran more than once.
func (so *scenario) verify() {
	last := so.region.startEntry("e9", "z9")
	time.Sleep(time.Second)
	for number := range keyCount {
		key := fmt.Sprintf("k%d", number+1)
		so.submit(last, "last-"+key, key, time.Minute)
	}
	time.Sleep(2 * time.Minute)
	so.region.mutex.Lock()
	defer so.region.mutex.Unlock()
	for name, runs := range so.region.runs {
		if runs > 1 {
			so.fail("request or key %s ran %d times", name, runs)
		}
	}
}

// TestRunsAtMostOnce runs random schedules in virtual time: killed and frozen
// entries, faults of the platform and of targets, callers with short timeouts,
// and concurrent duplicates through other entries. No key and no request to a
// service that is not repeatable may run twice, and no request that was answered
// with notRun may have run.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var events []event
		for number := range rapid.IntRange(1, 10).Draw(rt, "submissions") {
			events = append(events, drawRequest(rt, fmt.Sprintf("r%d", number)))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			events = append(events, drawFault(rt))
		}
		actions := drawBehaviours(rt)
		so := &scenario{}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			so.run(ctx, events, actions)
			cancel()
			time.Sleep(time.Minute)
		})
		if len(so.failures) > 0 {
			rt.Fatalf("%s", strings.Join(so.failures, "\n"))
		}
	})
}

// TestDuplicateRequests checks the answers to duplicates of a key: while the first
// request is in progress, after it finished, after an unknown outcome, with
// another body, and during an outage of the platform.
func TestDuplicateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rn := newTestRegion(ctx, 1)
		rn.targets[0].next = []behaviour{refuseConnection, answerNormally, crashAfterRun}
		first := rn.startEntry("e1", "a")
		second := rn.startEntry("e2", "b")
		time.Sleep(time.Second)
		results := make(chan answer, 1)
		go func() { results <- first.send(ctx, "r1", "k1", "body") }()
		time.Sleep(10 * time.Millisecond)
		must.True(t, second.send(ctx, "r2", "k1", "body").contains(`"code":107`))
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, <-results)
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, first.send(ctx, "r3", "k1", "body"))
		time.Sleep(time.Second)
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, second.send(ctx, "r4", "k1", "body"))
		must.True(t, second.send(ctx, "r5", "k1", "other").contains(`"code":106,"codeName":"keyConflict","outcome":"notRun"`))
		must.True(t, first.send(ctx, "r6", "k2", "body").contains(`"outcome":"unknown"`))
		time.Sleep(time.Second)
		must.True(t, second.send(ctx, "r7", "k2", "body").contains(`"code":109`))
		must.NoError(t, rn.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		must.True(t, second.send(ctx, "r8", "k3", "body").contains(`"code":206,"codeName":"journalUnavailable","outcome":"notRun"`))
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, second.send(ctx, "r9", "k1", "body"))
		cancel()
		time.Sleep(time.Minute)
	})
}
