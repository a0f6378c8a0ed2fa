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
	onceSchedules = "300"
	onceEntries   = 3
	onceKeys      = 2
	// eventful is the time in which all that a schedule holds begins.
	eventful = 3 * time.Second
)

func init() {
	if err := flag.Set("rapid.checks", onceSchedules); err != nil {
		panic(err)
	}
}

// step is one thing that happens in a schedule.
type step struct {
	at time.Duration
	do func(py *play)
}

// play is one run of a schedule.
type play struct {
	stage   *stage
	entries []*entry
	sent    sync.WaitGroup

	mutex  sync.Mutex
	faults []string
}

func (py *play) fail(format string, args ...any) {
	py.mutex.Lock()
	defer py.mutex.Unlock()
	py.faults = append(py.faults, fmt.Sprintf(format, args...))
}

// submit sends a request and checks what its caller is told. Whether notRun is
// true is checked when all is over.
func (py *play) submit(ey *entry, id, key string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(py.stage.context, patience)
	defer cancel()
	got := ey.ask(ctx, id, key, "body")
	name := key
	if key == "" {
		name = id
	}
	switch {
	case got.status == 0:
	case got.status == http.StatusCreated && py.stage.requestRan(got.body) != 1:
		py.fail("%s (%s) got the answer of %q, which did not run once", id, key, got.body)
	case got.says(`"outcome":"ran"`) && py.stage.ran(name) != 1:
		py.fail("%s (%s) is said to have run: %s", id, key, got.body)
	case got.says(`"outcome":"notRun"`):
		time.AfterFunc(time.Minute, func() {
			if py.stage.requestRan(id) > 0 {
				py.fail("%s (%s) ran in spite of %s", id, key, got.body)
			}
		})
	}
}

func drawAt(rt *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, int(eventful/time.Millisecond)).Draw(rt, "at")) * time.Millisecond
}

func drawSubmission(rt *rapid.T, id string) step {
	index := rapid.IntRange(0, onceEntries-1).Draw(rt, "entry")
	key := ""
	if number := rapid.IntRange(0, onceKeys).Draw(rt, "key"); number > 0 {
		key = fmt.Sprintf("k%d", number)
	}
	patience := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, time.Second, 20 * time.Second}).Draw(rt, "patience")
	return step{
		at: drawAt(rt),
		do: func(py *play) { py.submit(py.entries[index], id, key, patience) },
	}
}

func drawTrouble(rt *rapid.T) step {
	index := rapid.IntRange(0, onceEntries-1).Draw(rt, "entry")
	length := rapid.SampledFrom([]time.Duration{30 * time.Millisecond, time.Second, 30 * time.Second}).Draw(rt, "length")
	scope := keeper.Scope{
		Zone:  rapid.SampledFrom([]string{"", "z0", "z1"}).Draw(rt, "zone"),
		Share: rapid.SampledFrom([]float64{0.3, 1}).Draw(rt, "share"),
		Seed:  rapid.Uint64().Draw(rt, "seed"),
	}
	var do func(py *play)
	switch rapid.IntRange(0, 6).Draw(rt, "trouble") {
	case 0:
		do = func(py *play) { py.entries[index].gate.kill(); py.entries[index].stop() }
	case 1, 2:
		do = func(py *play) { py.entries[index].gate.freeze(length) }
	case 3:
		do = withFault(keeper.Outage{Scope: scope}, length)
	case 4:
		do = withFault(keeper.Slow{Scope: scope, Delay: length / 10}, length)
	case 5:
		do = withFault(keeper.Partition{Scope: scope}, length)
	default:
		do = withFault(keeper.AnswerLost{Scope: scope}, length)
	}
	return step{
		at: drawAt(rt),
		do: do,
	}
}

func withFault(fault keeper.Fault, length time.Duration) func(py *play) {
	return func(py *play) {
		_ = py.stage.keeper.SetFaults(fault)
		time.Sleep(min(length, 5*time.Second))
		_ = py.stage.keeper.SetFaults()
	}
}

func drawBehaviours(rt *rapid.T) []behaviour {
	list := rapid.SliceOfN(rapid.IntRange(0, int(behaviours)-1), 0, 6).Draw(rt, "behaviours")
	doing := make([]behaviour, 0, len(list))
	for _, number := range list {
		doing = append(doing, behaviour(number))
	}
	return doing
}

func (py *play) run(ctx context.Context, steps []step, doing []behaviour) {
	py.stage = newStage(ctx, 2)
	py.stage.targets[0].next = doing
	for index := range onceEntries {
		py.entries = append(py.entries, py.stage.start(fmt.Sprintf("e%d", index), fmt.Sprintf("z%d", index)))
	}
	time.Sleep(time.Second)
	for _, sp := range steps {
		py.sent.Go(func() {
			time.Sleep(sp.at)
			sp.do(py)
		})
	}
	py.sent.Wait()
	time.Sleep(10 * time.Minute)
	py.examine()
}

// examine repeats each key through a new entry when all is sound again.
func (py *play) examine() {
	last := py.stage.start("e9", "z9")
	time.Sleep(time.Second)
	for number := range onceKeys {
		key := fmt.Sprintf("k%d", number+1)
		py.submit(last, "last-"+key, key, time.Minute)
	}
	time.Sleep(2 * time.Minute)
	py.stage.mutex.Lock()
	defer py.stage.mutex.Unlock()
	for name, runs := range py.stage.runs {
		if runs > 1 {
			py.fail("%s ran %d times", name, runs)
		}
	}
}

// TestRunsAtMostOnce plays drawn schedules in virtual time: kills, frozen
// entries, troubles of the platform and of targets, impatient callers, and
// repeats through other entries at once. No key and no request to a service
// that is not repeatable runs twice, and each notRun is true.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []step
		for number := range rapid.IntRange(1, 10).Draw(rt, "submissions") {
			steps = append(steps, drawSubmission(rt, fmt.Sprintf("r%d", number)))
		}
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			steps = append(steps, drawTrouble(rt))
		}
		doing := drawBehaviours(rt)
		py := &play{}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			py.run(ctx, steps, doing)
			cancel()
			time.Sleep(time.Minute)
		})
		if len(py.faults) > 0 {
			rt.Fatalf("%s", strings.Join(py.faults, "\n"))
		}
	})
}

// TestRepeats shows what the callers of a key are told.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sg := newStage(ctx, 1)
		sg.targets[0].next = []behaviour{refuseConnection, sound, crashAfter}
		first := sg.start("e1", "a")
		second := sg.start("e2", "b")
		time.Sleep(time.Second)
		results := make(chan answer, 1)
		go func() { results <- first.ask(ctx, "r1", "k1", "body") }()
		time.Sleep(10 * time.Millisecond)
		must.True(t, second.ask(ctx, "r2", "k1", "body").says(`"code":107`))
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, <-results)
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, first.ask(ctx, "r3", "k1", "body"))
		time.Sleep(time.Second)
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, second.ask(ctx, "r4", "k1", "body"))
		must.True(t, second.ask(ctx, "r5", "k1", "other").says(`"code":106,"codeName":"keyConflict","outcome":"notRun"`))
		must.True(t, first.ask(ctx, "r6", "k2", "body").says(`"outcome":"unknown"`))
		time.Sleep(time.Second)
		must.True(t, second.ask(ctx, "r7", "k2", "body").says(`"code":109`))
		must.NoError(t, sg.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		must.True(t, second.ask(ctx, "r8", "k3", "body").says(`"code":206,"codeName":"journalUnavailable","outcome":"notRun"`))
		must.Eq(t, answer{status: http.StatusCreated, body: "r1"}, second.ask(ctx, "r9", "k1", "body"))
		cancel()
		time.Sleep(time.Minute)
	})
}
