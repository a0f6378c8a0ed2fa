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
	scheduleCount = "4000"
	keys          = 2
	// eventWindow is the time in which all kills, faults and submissions of a
	// schedule start.
	eventWindow = 4 * time.Second
)

func init() {
	if err := flag.Set("rapid.checks", scheduleCount); err != nil {
		panic(err)
	}
}

// submission is a request sent with a key.
type submission struct {
	zone int
	key  int
	at   time.Duration
	// pause is how long the entry is paused between claiming and sending.
	pause time.Duration
	// refusedUnread is true if the target refuses the request without reading
	// it.
	refusedUnread bool
	// answerLost is true if the target's answer is lost.
	answerLost  bool
	serviceTime time.Duration
	// claimTimeout is how long the entry waits for the claim.
	claimTimeout time.Duration
}

// platformFault is a fault of the platform during an interval.
type platformFault struct {
	at, until time.Duration
	fault     keeper.Fault
}

// schedule holds the events of one simulation.
type schedule struct {
	zones          int
	kills          map[int]time.Duration
	platformFaults []platformFault
	submissions    []submission
}

func drawDuration(label string, upTo time.Duration) *rapid.Generator[time.Duration] {
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
		return keeper.Outage{Scope: scope}
	case 1:
		return keeper.AnswerLost{Scope: scope}
	case 2:
		return keeper.Partition{Scope: scope}
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
			se.kills[zone] = drawDuration("kill", eventWindow).Draw(rt, "kill")
		}
	}
	for range rapid.IntRange(0, 3).Draw(rt, "troubles") {
		at := drawDuration("at", eventWindow).Draw(rt, "at")
		se.platformFaults = append(se.platformFaults, platformFault{
			at:    at,
			until: at + drawDuration("for", 8*time.Second).Draw(rt, "for"),
			fault: drawFault(rt),
		})
	}
	for range rapid.IntRange(1, 12).Draw(rt, "submissions") {
		se.submissions = append(se.submissions, submission{
			zone:          rapid.IntRange(0, se.zones-1).Draw(rt, "entry"),
			key:           rapid.IntRange(0, keys-1).Draw(rt, "key"),
			at:            drawDuration("at", eventWindow).Draw(rt, "at"),
			pause:         rapid.SampledFrom([]time.Duration{0, 0, time.Second, 20 * time.Second}).Draw(rt, "frozen"),
			refusedUnread: rapid.IntRange(0, 3).Draw(rt, "unread") == 0,
			answerLost:    rapid.IntRange(0, 3).Draw(rt, "lost") == 0,
			serviceTime:   drawDuration("work", 3*time.Second).Draw(rt, "work"),
			claimTimeout:  rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second}).Draw(rt, "patience"),
		})
	}
	return se
}

// simulation runs a schedule in virtual time.
type simulation struct {
	schedule schedule
	keeper   *keeper.Keeper
	journals []*journaler.Journal
	contexts []context.Context

	mutex      sync.Mutex
	runs       [keys]int
	violations []string
}

const retention = time.Hour

func (sm *simulation) run(ctx context.Context) {
	sm.keeper = keeper.New()
	for zone := range sm.schedule.zones {
		ctx, cancel := context.WithCancel(ctx)
		at, killed := sm.schedule.kills[zone]
		if !killed {
			at = time.Hour
		}
		time.AfterFunc(at, cancel)
		store := sm.keeper.Zone(fmt.Sprintf("z%d", zone))
		jl := journaler.New(store, fmt.Sprintf("i%d", zone), journaler.WithShards(2))
		sm.journals = append(sm.journals, jl)
		sm.contexts = append(sm.contexts, ctx)
		go func() { _ = jl.Run(ctx) }()
	}
	for _, pf := range sm.schedule.platformFaults {
		time.AfterFunc(pf.at, func() { _ = sm.keeper.SetFaults(pf.fault) })
		time.AfterFunc(pf.until, func() { _ = sm.keeper.SetFaults() })
	}
	for _, sn := range sm.schedule.submissions {
		time.AfterFunc(sn.at, func() { sm.submit(sn) })
	}
	time.Sleep(time.Minute)
	_ = sm.keeper.SetFaults()
	time.Sleep(10 * time.Second)
	sm.checkOutcome(ctx)
}

func (sm *simulation) addViolation(format string, args ...any) {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.violations = append(sm.violations, fmt.Sprintf(format, args...))
}

// addRuns adds to the number of runs of a key and returns the total.
func (sm *simulation) addRuns(key, more int) int {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.runs[key] += more
	return sm.runs[key]
}

func claimKey(ctx context.Context, jl *journaler.Journal, key int) (journaler.Result, error) {
	id := journaler.NewID("claims", fmt.Sprint(key))
	return jl.Claim(ctx, id, journaler.Digest{}, time.Now().Add(retention))
}

// submit handles a request with a key as an entry does.
func (sm *simulation) submit(sn submission) {
	entryCtx := sm.contexts[sn.zone]
	ctx, cancel := context.WithTimeout(entryCtx, sn.claimTimeout)
	defer cancel()
	result, err := claimKey(ctx, sm.journals[sn.zone], sn.key)
	if entryCtx.Err() != nil {
		return
	}
	gd, granted := result.(journaler.Granted)
	if err != nil || !granted {
		if fd, ok := result.(journaler.Found); ok && fd.Record.State == journaler.Finished && sm.addRuns(sn.key, 0) != 1 {
			sm.addViolation("key %d is recorded as finished but has not run exactly once", sn.key)
		}
		return
	}
	time.Sleep(sn.pause)
	if entryCtx.Err() != nil {
		return
	}
	if sn.refusedUnread {
		gd.Claim.Release()
		return
	}
	sm.addRuns(sn.key, 1)
	time.Sleep(sn.serviceTime)
	if entryCtx.Err() != nil {
		return
	}
	if sn.answerLost {
		gd.Claim.MarkUnresolved(time.Now().Add(retention))
		return
	}
	gd.Claim.Finish(200, nil, time.Now().Add(retention))
}

// checkOutcome checks the number of runs of each key and claims each key
// through a new entry after all faults have ended.
func (sm *simulation) checkOutcome(ctx context.Context) {
	jl := journaler.New(sm.keeper.Zone("z9"), "i9", journaler.WithShards(2))
	go func() { _ = jl.Run(ctx) }()
	for key := range keys {
		runs := sm.addRuns(key, 0)
		if runs > 1 {
			sm.addViolation("key %d ran %d times", key, runs)
		}
		result, err := claimKey(ctx, jl, key)
		if err != nil {
			sm.addViolation("claim key %d: %v", key, err)
		}
		if _, granted := result.(journaler.Granted); granted && runs > 0 {
			sm.addViolation("key %d ran and was granted again", key)
		}
		if fd, ok := result.(journaler.Found); ok && runs == 0 && len(sm.schedule.kills) == 0 {
			sm.addViolation("key %d never ran and no entry was killed, but it is still recorded as %+v", key, fd.Record)
		}
	}
}

func TestEachKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := &simulation{schedule: drawSchedule(rt)}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			sm.run(ctx)
			cancel()
			synctest.Wait()
		})
		if len(sm.violations) > 0 {
			rt.Fatalf("%s", strings.Join(sm.violations, "\n"))
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

		result, err := claimKey(ctx, first, 1)
		must.NoError(t, err)
		again, err := claimKey(ctx, second, 1)
		must.NoError(t, err)
		must.EqOp(t, "i1", again.(journaler.Found).Record.Owner)
		must.EqOp(t, journaler.Claimed, again.(journaler.Found).Record.State)

		answer := &journaler.Answer{
			Header: map[string][]string{"Location": {"/claims/1"}},
			Body:   []byte("filed"),
		}
		result.(journaler.Granted).Claim.Finish(201, answer, time.Now().Add(time.Minute))
		must.NoError(t, first.Flush(ctx))
		again, err = claimKey(ctx, second, 1)
		must.NoError(t, err)
		must.Eq(t, answer, again.(journaler.Found).Record.Answer)
		must.EqOp(t, 201, again.(journaler.Found).Record.Status)

		time.Sleep(2 * time.Minute)
		again, err = claimKey(ctx, second, 1)
		must.NoError(t, err)
		must.NotNil(t, again.(journaler.Granted).Claim)
		cancel()
		synctest.Wait()
	})
}
