package journaler_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/store/keeper"
)

const (
	schedules = "4000"
	keys      = 2
	// eventful is the time in which all that a schedule holds begins.
	eventful = 4 * time.Second
)

func init() {
	if err := flag.Set("rapid.checks", schedules); err != nil {
		panic(err)
	}
}

// submission is one try of a caller to have a key run.
type submission struct {
	zone int
	key  int
	at   time.Duration
	// frozen is how long the entry stands still between claim and send.
	frozen time.Duration
	// unread is true if the target refuses the request unread.
	unread bool
	// lost is true if the answer of the target is lost.
	lost bool
	work time.Duration
	// patience is how long the entry waits for the claim.
	patience time.Duration
}

// trouble is a fault of the platform for some time.
type trouble struct {
	at, until time.Duration
	fault     keeper.Fault
}

// schedule is all that happens in one run.
type schedule struct {
	zones       int
	kills       map[int]time.Duration
	troubles    []trouble
	submissions []submission
}

func span(label string, upTo time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(rt *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(upTo/time.Millisecond)).Draw(rt, label)) * time.Millisecond
	})
}

func drawFault(rt *rapid.T) keeper.Fault {
	scope := keeper.Scope{
		Zone:  rapid.SampledFrom([]string{"", "z0", "z1"}).Draw(rt, "zone"),
		Share: rapid.SampledFrom([]float64{0.3, 1}).Draw(rt, "share"),
		Seed:  rapid.Uint64().Draw(rt, "seed"),
	}
	switch rapid.IntRange(0, 4).Draw(rt, "fault") {
	case 0:
		return keeper.Out{Scope: scope}
	case 1:
		return keeper.AnswerLost{Scope: scope}
	case 2:
		return keeper.Cut{Scope: scope}
	default:
		return keeper.Slow{
			Scope: scope,
			Delay: rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 10 * time.Second}).Draw(rt, "delay"),
		}
	}
}

func drawSchedule(rt *rapid.T) schedule {
	se := schedule{
		zones: rapid.IntRange(2, 3).Draw(rt, "zones"),
		kills: map[int]time.Duration{},
	}
	for zone := range se.zones {
		if rapid.IntRange(0, 2).Draw(rt, "killed") == 0 {
			se.kills[zone] = span("kill", eventful).Draw(rt, "kill")
		}
	}
	for range rapid.IntRange(0, 3).Draw(rt, "troubles") {
		at := span("at", eventful).Draw(rt, "at")
		se.troubles = append(se.troubles, trouble{
			at:    at,
			until: at + span("for", 8*time.Second).Draw(rt, "for"),
			fault: drawFault(rt),
		})
	}
	for range rapid.IntRange(1, 12).Draw(rt, "submissions") {
		se.submissions = append(se.submissions, submission{
			zone:     rapid.IntRange(0, se.zones-1).Draw(rt, "entry"),
			key:      rapid.IntRange(0, keys-1).Draw(rt, "key"),
			at:       span("at", eventful).Draw(rt, "at"),
			frozen:   rapid.SampledFrom([]time.Duration{0, 0, time.Second, 20 * time.Second}).Draw(rt, "frozen"),
			unread:   rapid.IntRange(0, 3).Draw(rt, "unread") == 0,
			lost:     rapid.IntRange(0, 3).Draw(rt, "lost") == 0,
			work:     span("work", 3*time.Second).Draw(rt, "work"),
			patience: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second}).Draw(rt, "patience"),
		})
	}
	return se
}

// world plays a schedule in virtual time.
type world struct {
	schedule schedule
	keeper   *keeper.Keeper
	journals []*journaler.Journal
	alive    []context.Context

	mutex  sync.Mutex
	runs   [keys]int
	faults []string
}

const retention = time.Hour

func (wd *world) play(ctx context.Context) {
	wd.keeper = keeper.New()
	for zone := range wd.schedule.zones {
		ctx, cancel := context.WithCancel(ctx)
		at, killed := wd.schedule.kills[zone]
		if !killed {
			at = time.Hour
		}
		time.AfterFunc(at, cancel)
		store := wd.keeper.Zone(fmt.Sprintf("z%d", zone))
		jl := journaler.New(store, fmt.Sprintf("i%d", zone), journaler.WithShards(2))
		wd.journals = append(wd.journals, jl)
		wd.alive = append(wd.alive, ctx)
		go func() { _ = jl.Run(ctx) }()
	}
	for _, te := range wd.schedule.troubles {
		time.AfterFunc(te.at, func() { _ = wd.keeper.SetFaults(te.fault) })
		time.AfterFunc(te.until, func() { _ = wd.keeper.SetFaults() })
	}
	for _, sn := range wd.schedule.submissions {
		time.AfterFunc(sn.at, func() { wd.submit(sn) })
	}
	time.Sleep(time.Minute)
	_ = wd.keeper.SetFaults()
	time.Sleep(10 * time.Second)
	wd.examine(ctx)
}

func (wd *world) fail(format string, args ...any) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.faults = append(wd.faults, fmt.Sprintf(format, args...))
}

// ran counts runs of a key and returns their number.
func (wd *world) ran(key, more int) int {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.runs[key] += more
	return wd.runs[key]
}

func demand(ctx context.Context, jl *journaler.Journal, key int) (journaler.Result, error) {
	id := journaler.NewID("claims", fmt.Sprint(key))
	return jl.Claim(ctx, id, journaler.Digest{}, time.Now().Add(retention))
}

// submit does what an entry does with a request that has a key.
func (wd *world) submit(sn submission) {
	alive := wd.alive[sn.zone]
	ctx, cancel := context.WithTimeout(alive, sn.patience)
	defer cancel()
	result, err := demand(ctx, wd.journals[sn.zone], sn.key)
	if alive.Err() != nil {
		return
	}
	gd, granted := result.(journaler.Granted)
	if err != nil || !granted {
		if fd, ok := result.(journaler.Found); ok && fd.Record.State == journaler.Finished && wd.ran(sn.key, 0) != 1 {
			wd.fail("key %d is said to be finished and has not run once", sn.key)
		}
		return
	}
	time.Sleep(sn.frozen)
	if alive.Err() != nil {
		return
	}
	if sn.unread {
		gd.Claim.Release()
		return
	}
	wd.ran(sn.key, 1)
	time.Sleep(sn.work)
	if alive.Err() != nil {
		return
	}
	if sn.lost {
		gd.Claim.MarkUnresolved(time.Now().Add(retention))
		return
	}
	gd.Claim.Finish(200, nil, time.Now().Add(retention))
}

// examine asks for each key through a new entry when all is sound again.
func (wd *world) examine(ctx context.Context) {
	jl := journaler.New(wd.keeper.Zone("z9"), "i9", journaler.WithShards(2))
	go func() { _ = jl.Run(ctx) }()
	for key := range keys {
		runs := wd.ran(key, 0)
		if runs > 1 {
			wd.fail("key %d ran %d times", key, runs)
		}
		result, err := demand(ctx, jl, key)
		if err != nil {
			wd.fail("key %d: %v", key, err)
		}
		if _, granted := result.(journaler.Granted); granted && runs > 0 {
			wd.fail("key %d ran and may run again", key)
		}
		if fd, ok := result.(journaler.Found); ok && runs == 0 && len(wd.schedule.kills) == 0 {
			wd.fail("key %d never ran, its entry lives, and it is held as %+v", key, fd.Record)
		}
	}
}

func TestEachKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := &world{schedule: drawSchedule(rt)}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			wd.play(ctx)
			cancel()
			synctest.Wait()
		})
		if len(wd.faults) > 0 {
			rt.Fatalf("%s", strings.Join(wd.faults, "\n"))
		}
	})
}

func TestStoredAnswerIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		kr := keeper.New()
		first := journaler.New(kr.Zone("a"), "i1")
		second := journaler.New(kr.Zone("b"), "i2")
		go func() { _ = first.Run(ctx) }()
		go func() { _ = second.Run(ctx) }()

		result, err := demand(ctx, first, 1)
		must.NoError(t, err)
		again, err := demand(ctx, second, 1)
		must.NoError(t, err)
		must.EqOp(t, "i1", again.(journaler.Found).Record.Owner)
		must.EqOp(t, journaler.Claimed, again.(journaler.Found).Record.State)

		answer := &journaler.Answer{
			Header: map[string][]string{"Location": {"/claims/1"}},
			Body:   []byte("filed"),
		}
		result.(journaler.Granted).Claim.Finish(201, answer, time.Now().Add(time.Minute))
		must.NoError(t, first.Flush(ctx))
		again, err = demand(ctx, second, 1)
		must.NoError(t, err)
		must.Eq(t, answer, again.(journaler.Found).Record.Answer)
		must.EqOp(t, 201, again.(journaler.Found).Record.Status)

		time.Sleep(2 * time.Minute)
		again, err = demand(ctx, second, 1)
		must.NoError(t, err)
		must.NotNil(t, again.(journaler.Granted).Claim)
		cancel()
		synctest.Wait()
	})
}
