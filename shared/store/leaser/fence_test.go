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

// TestMain fixes the number and the seed of the schedules, so that every run tries
// the same ones.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// scenario is a schedule of process pauses and platform faults.
type scenario struct {
	stewards []steward
	phases   []phase
}

// steward is a candidate for the duty that is paused at times.
type steward struct {
	pauses []pauseInterval
	// isSuspended is true if the process's clock stops while it is paused, as
	// that of a suspended VM does.
	isSuspended bool
}

// clock returns the clock of the process, given when it was started.
func (sd steward) clock(start time.Time) func() time.Time {
	return func() time.Time {
		now := time.Now()
		if !sd.isSuspended {
			return now
		}
		elapsed := now.Sub(start)
		for _, pi := range sd.pauses {
			if elapsed > pi.start {
				now = now.Add(pi.start - min(elapsed, pi.stop))
			}
		}
		return now
	}
}

type pauseInterval struct {
	start time.Duration
	stop  time.Duration
}

// phase is an interval in which the given platform faults are active.
type phase struct {
	length time.Duration
	faults []keeper.Fault
}

func drawMilliseconds(rt *rapid.T, least, most int, label string) time.Duration {
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
			at += drawMilliseconds(rt, 0, 9000, "running")
			length := drawMilliseconds(rt, 1, 12000, "frozen")
			sd.pauses = append(sd.pauses, pauseInterval{
				start: at,
				stop:  at + length,
			})
			at += length
		}
		so.stewards = append(so.stewards, sd)
	}
	for range rapid.IntRange(0, 6).Draw(rt, "phases") {
		so.phases = append(so.phases, phase{
			length: drawMilliseconds(rt, 100, 8000, "length"),
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
			keeper.Slow{Scope: scope(), Delay: drawMilliseconds(rt, 1, 5000, "delay")},
		}).Draw(rt, "fault"))
	}
	return faults
}

// pausingStore is a Store whose caller is paused at times, before a call is sent or
// before its answer is read. A write that has begun is sent even if its context
// is cancelled during the pause.
type pausingStore struct {
	storer.Store
	steward steward
	start   time.Time
}

func (ps *pausingStore) waitWhilePaused() {
	for _, pi := range ps.steward.pauses {
		elapsed := time.Since(ps.start)
		if elapsed >= pi.start && elapsed < pi.stop {
			time.Sleep(pi.stop - elapsed)
		}
	}
}

func (ps *pausingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	ps.waitWhilePaused()
	defer ps.waitWhilePaused()
	return ps.Store.Get(ctx, key)
}

func (ps *pausingStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	ps.waitWhilePaused()
	defer ps.waitWhilePaused()
	return ps.Store.Put(context.WithoutCancel(ctx), key, value, expected, lease)
}

func (ps *pausingStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	ps.waitWhilePaused()
	defer ps.waitWhilePaused()
	return ps.Store.Grant(ctx, ttl)
}

func (ps *pausingStore) Renew(ctx context.Context, lease storer.LeaseID) error {
	ps.waitWhilePaused()
	defer ps.waitWhilePaused()
	return ps.Store.Renew(ctx, lease)
}

const recordKey = "directory/a"

// record is the record that the holders write.
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

// serve writes the record until the duty is lost, and passes the revision of each
// successful write to recordWrite.
func serve(holder int, recordWrite func(storer.Revision)) func(ctx context.Context, hd leaser.HeldDuty) error {
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
			recordWrite(et.Revision)
			time.Sleep(300 * time.Millisecond)
		}
		return nil
	}
}

// result is the result of a scenario.
type result struct {
	events          []storer.Event
	confirmedWrites []storer.Revision
	faultsEnded     storer.Revision
}

func (so scenario) run(t *testing.T) result {
	var rs result
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithHistory(1<<20, 1<<30), keeper.WithRates(0, 0))
		observer := kr.Zone("observer")
		ctx, cancel := context.WithCancel(t.Context())
		var mutex sync.Mutex
		var group sync.WaitGroup
		for number, sd := range so.stewards {
			store := &pausingStore{
				Store:   kr.Zone(fmt.Sprint(number)),
				steward: sd,
				start:   time.Now(),
			}
			lr := leaser.New(store, "a", "directory", fmt.Sprint(number), leaser.WithClock(sd.clock(store.start)))
			group.Go(func() {
				_ = lr.Run(ctx, serve(number, func(revision storer.Revision) {
					mutex.Lock()
					defer mutex.Unlock()
					rs.confirmedWrites = append(rs.confirmedWrites, revision)
				}))
			})
		}
		for _, ph := range so.phases {
			must.NoError(t, kr.SetFaults(ph.faults...))
			time.Sleep(ph.length)
		}
		must.NoError(t, kr.SetFaults())
		time.Sleep(40 * time.Second)
		_, faultsEnded, err := observer.List(t.Context(), recordKey)
		must.NoError(t, err)
		rs.faultsEnded = faultsEnded
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		rs.events, _, err = observer.Watch(t.Context(), recordKey, 0, time.Second)
		must.NoError(t, err)
	})
	return rs
}

// check returns a description of the first violation, or an empty string.
func (rs result) check() string {
	var last record
	holders := map[uint64]int{}
	revisions := map[storer.Revision]bool{}
	for _, ev := range rs.events {
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
	for _, revision := range rs.confirmedWrites {
		if !revisions[revision] {
			return fmt.Sprintf("confirmed write at revision %d did not take effect", revision)
		}
	}
	if len(rs.events) == 0 || rs.events[len(rs.events)-1].Entry.Revision <= rs.faultsEnded {
		return "no holder wrote after the faults had ended"
	}
	return ""
}

func TestAtMostOneEffectiveWriter(t *testing.T) {
	runs, epochs := 0, map[uint64]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		rs := drawScenario(rt).run(t)
		if fault := rs.check(); fault != "" {
			rt.Fatal(fault)
		}
		runs++
		for _, ev := range rs.events {
			epoch, _ := epochOf(ev.Entry.Value)
			epochs[epoch] = true
		}
	})
	t.Logf("%d schedules, %d different epochs", runs, len(epochs))
}

func TestWriteOfReplacedHolderIsFenced(t *testing.T) {
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
