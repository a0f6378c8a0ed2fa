package leaser_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// The schedules that are tried are the same in every run, unless the command
// line sets others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// scenario is what befalls the holders of a duty.
type scenario struct {
	stewards []steward
	phases   []phase
}

// steward is the times at which one process is frozen.
type steward struct {
	freezes []freeze
	// isSuspended is true if the clock stands still while it is frozen, as that
	// of a suspended VM does.
	isSuspended bool
}

// clock returns the clock of a process that was started at a time.
func (sd steward) clock(start time.Time) func() time.Time {
	return func() time.Time {
		now := time.Now()
		if !sd.isSuspended {
			return now
		}
		elapsed := now.Sub(start)
		for _, fr := range sd.freezes {
			if elapsed > fr.start {
				now = now.Add(fr.start - min(elapsed, fr.stop))
			}
		}
		return now
	}
}

type freeze struct {
	start time.Duration
	stop  time.Duration
}

// phase is a time with faults of the platform.
type phase struct {
	length time.Duration
	faults []keeper.Fault
}

func milliseconds(rt *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Millisecond
}

func drawScenario(rt *rapid.T) scenario {
	var so scenario
	for range rapid.IntRange(2, 4).Draw(rt, "stewards") {
		sd := steward{
			isSuspended: rapid.Bool().Draw(rt, "suspended"),
		}
		var at time.Duration
		for range rapid.IntRange(0, 5).Draw(rt, "freezes") {
			at += milliseconds(rt, 0, 9000, "running")
			length := milliseconds(rt, 1, 12000, "frozen")
			sd.freezes = append(sd.freezes, freeze{
				start: at,
				stop:  at + length,
			})
			at += length
		}
		so.stewards = append(so.stewards, sd)
	}
	for range rapid.IntRange(0, 6).Draw(rt, "phases") {
		so.phases = append(so.phases, phase{
			length: milliseconds(rt, 100, 8000, "length"),
			faults: drawFaults(rt),
		})
	}
	return so
}

func drawFaults(rt *rapid.T) []keeper.Fault {
	scope := func() keeper.Scope {
		return keeper.Scope{
			Zone:  rapid.SampledFrom([]string{"", "0", "1", "2", "3"}).Draw(rt, "zone"),
			Share: rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(rt, "share"),
			Seed:  rapid.Uint64().Draw(rt, "seed"),
		}
	}
	var faults []keeper.Fault
	for range rapid.IntRange(0, 2).Draw(rt, "faults") {
		faults = append(faults, rapid.SampledFrom([]keeper.Fault{
			keeper.Outage{Scope: scope()},
			keeper.AnswerLost{Scope: scope()},
			keeper.WatchBroken{Scope: scope()},
			keeper.Partition{Scope: scope()},
			keeper.Slow{Scope: scope(), Delay: milliseconds(rt, 1, 5000, "delay")},
		}).Draw(rt, "fault"))
	}
	return faults
}

// freezer is a Store whose caller is frozen at times, before a call is sent or
// before its answer is read. A write that the caller has begun is sent even if
// its context is cancelled meanwhile.
type freezer struct {
	storer.Store
	steward steward
	start   time.Time
}

func (fz *freezer) thaw() {
	for _, fr := range fz.steward.freezes {
		elapsed := time.Since(fz.start)
		if elapsed >= fr.start && elapsed < fr.stop {
			time.Sleep(fr.stop - elapsed)
		}
	}
}

func (fz *freezer) Get(ctx context.Context, key string) (storer.Entry, error) {
	fz.thaw()
	defer fz.thaw()
	return fz.Store.Get(ctx, key)
}

func (fz *freezer) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	fz.thaw()
	defer fz.thaw()
	return fz.Store.Put(context.WithoutCancel(ctx), key, value, expected, lease)
}

func (fz *freezer) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	fz.thaw()
	defer fz.thaw()
	return fz.Store.Grant(ctx, ttl)
}

func (fz *freezer) Renew(ctx context.Context, lease storer.LeaseID) error {
	fz.thaw()
	defer fz.thaw()
	return fz.Store.Renew(ctx, lease)
}

const recordKey = "directory/a"

// record is what the holders write.
type record struct {
	epoch  uint64
	holder int
	number int
}

func (rd record) encode() []byte {
	return fmt.Appendf(nil, "%d %d %d", rd.epoch, rd.holder, rd.number)
}

func decodeRecord(value []byte) (rd record, err error) {
	if len(value) == 0 {
		return record{}, nil
	}
	_, err = fmt.Sscanf(string(value), "%d %d %d", &rd.epoch, &rd.holder, &rd.number)
	return rd, err
}

func epochOf(value []byte) (uint64, error) {
	rd, err := decodeRecord(value)
	return rd.epoch, err
}

// serve writes the record until the duty is lost, and collects the revisions
// of its writes.
func serve(holder int, confirm func(storer.Revision)) func(ctx context.Context, hd leaser.HeldDuty) error {
	return func(ctx context.Context, hd leaser.HeldDuty) error {
		for ctx.Err() == nil {
			et, err := hd.Write(ctx, recordKey, leaser.Change{
				EpochOf: epochOf,
				Apply: func(et storer.Entry, epoch uint64) ([]byte, error) {
					rd, err := decodeRecord(et.Value)
					if err != nil {
						return nil, err
					}
					next := record{
						epoch:  epoch,
						holder: holder,
						number: rd.number + 1,
					}
					return next.encode(), nil
				},
			})
			if err != nil {
				return err
			}
			confirm(et.Revision)
			time.Sleep(300 * time.Millisecond)
		}
		return nil
	}
}

// outcome is what came of a scenario.
type outcome struct {
	events    []storer.Event
	confirmed []storer.Revision
	healed    storer.Revision
}

func (so scenario) run(t *testing.T) outcome {
	var oc outcome
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithHistory(1<<20, 1<<30), keeper.WithRates(0, 0))
		observer := kr.Zone("observer")
		ctx, cancel := context.WithCancel(t.Context())
		var mutex sync.Mutex
		var group sync.WaitGroup
		for number, sd := range so.stewards {
			store := &freezer{
				Store:   kr.Zone(fmt.Sprint(number)),
				steward: sd,
				start:   time.Now(),
			}
			lr := leaser.New(store, "a", "directory", fmt.Sprint(number), leaser.WithClock(sd.clock(store.start)))
			group.Go(func() {
				_ = lr.Run(ctx, serve(number, func(revision storer.Revision) {
					mutex.Lock()
					defer mutex.Unlock()
					oc.confirmed = append(oc.confirmed, revision)
				}))
			})
		}
		for _, ph := range so.phases {
			must.NoError(t, kr.SetFaults(ph.faults...))
			time.Sleep(ph.length)
		}
		must.NoError(t, kr.SetFaults())
		time.Sleep(40 * time.Second)
		_, healed, err := observer.List(t.Context(), recordKey)
		must.NoError(t, err)
		oc.healed = healed
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		oc.events, _, err = observer.Watch(t.Context(), recordKey, 0, time.Second)
		must.NoError(t, err)
	})
	return oc
}

// check returns what is wrong with an outcome, or an empty string.
func (oc outcome) check() string {
	var last record
	holders := map[uint64]int{}
	revisions := map[storer.Revision]bool{}
	for _, ev := range oc.events {
		revisions[ev.Entry.Revision] = true
		rd, err := decodeRecord(ev.Entry.Value)
		if err != nil {
			return err.Error()
		}
		if rd.epoch < last.epoch {
			return fmt.Sprintf("holder %d wrote with epoch %d after epoch %d", rd.holder, rd.epoch, last.epoch)
		}
		if rd.number != last.number+1 {
			return fmt.Sprintf("write %d follows write %d", rd.number, last.number)
		}
		if holder, ok := holders[rd.epoch]; ok && holder != rd.holder {
			return fmt.Sprintf("holders %d and %d share epoch %d", holder, rd.holder, rd.epoch)
		}
		holders[rd.epoch] = rd.holder
		last = rd
	}
	for _, revision := range oc.confirmed {
		if !revisions[revision] {
			return fmt.Sprintf("confirmed write at revision %d did not take effect", revision)
		}
	}
	if len(oc.events) == 0 || oc.events[len(oc.events)-1].Entry.Revision <= oc.healed {
		return "nobody writes after the faults"
	}
	return ""
}

func TestNeverTwoEffectiveWriters(t *testing.T) {
	runs, epochs := 0, map[uint64]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		oc := drawScenario(rt).run(t)
		if fault := oc.check(); fault != "" {
			rt.Fatal(fault)
		}
		runs++
		for _, ev := range oc.events {
			epoch, _ := epochOf(ev.Entry.Value)
			epochs[epoch] = true
		}
	})
	t.Logf("%d schedules, %d different epochs", runs, len(epochs))
}

func TestWriteOfReplacedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		store := kr.Zone("a")
		lr := leaser.New(store, "a", "directory", "x")
		ctx, cancel := context.WithCancel(t.Context())
		_ = lr.Run(ctx, func(ctx context.Context, hd leaser.HeldDuty) error {
			defer cancel()
			later := record{
				epoch: hd.Epoch() + 1,
			}
			first, err := store.Put(ctx, recordKey, later.encode(), 0, 0)
			must.NoError(t, err)
			_, err = hd.Write(ctx, recordKey, leaser.Change{
				EpochOf: epochOf,
				Apply: func(_ storer.Entry, epoch uint64) ([]byte, error) {
					return record{epoch: epoch}.encode(), nil
				},
			})
			must.Eq(t, classifier.StaleEpoch, classifier.CodeOf(err))
			must.Eq(t, classifier.StaleEpoch, classifier.CodeOf(context.Cause(ctx)))
			et, err := store.Get(t.Context(), recordKey)
			must.NoError(t, err)
			must.Eq(t, first, et.Revision)
			return nil
		})
	})
}
