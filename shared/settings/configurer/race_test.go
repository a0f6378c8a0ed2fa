package configurer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

const (
	operatorsZone    = "a"
	nodesZone        = "b"
	raceSeeds        = 300
	raceOperators    = 4
	raceChanges      = 4
	raceTimeout      = 8 * time.Second
	raceCallTimeout  = 300 * time.Millisecond
	raceSettlingTime = 10 * time.Second
)

// race simulates operators that change the settings concurrently while responses
// are lost, writes are delayed and operators' processes are killed.
type race struct {
	t      *testing.T
	seed   uint64
	keeper *keeper.Keeper
	// follower belongs to a node that reads the settings.
	follower *configurer.Follower

	mutex    sync.Mutex
	accepted map[string]configurer.Settings
	refused  map[string]bool
	bases    map[string]uint64
	seen     map[uint64]string
}

// TestRacingOperators checks that the head and the history agree, that accepted
// changes are never lost and that rejected changes never appear.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(raceSeeds) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rc := &race{
					t:        t,
					seed:     seed,
					keeper:   keeper.New(keeper.WithRates(0, 0)),
					accepted: map[string]configurer.Settings{},
					refused:  map[string]bool{},
					bases:    map[string]uint64{},
					seen:     map[uint64]string{},
				}
				rc.run()
				rc.check()
			})
		})
	}
}

func (rc *race) run() {
	faults := append(rc.faults(operatorsZone), rc.faults(nodesZone)...)
	must.NoError(rc.t, rc.keeper.SetFaults(faults...))
	rc.follow()
	var operators sync.WaitGroup
	for number := range raceOperators {
		operators.Go(func() { rc.operate(number) })
	}
	operators.Wait()
	time.Sleep(raceSettlingTime)
	must.NoError(rc.t, rc.keeper.SetFaults())
	time.Sleep(raceSettlingTime)
}

// faults returns the faults of an availability zone. Each zone draws its faults
// independently, so that the random pauses of the node do not affect the
// operators' schedule.
func (rc *race) faults(zone string) []keeper.Fault {
	scope := func(share float64) keeper.Scope {
		return keeper.Scope{
			Zone:  zone,
			Share: share,
			Seed:  rc.seed,
		}
	}
	return []keeper.Fault{
		keeper.Outage{
			Scope: scope(0.1),
		},
		keeper.AnswerLost{
			Scope: scope(0.2),
		},
		keeper.WatchBroken{
			Scope: scope(0.2),
		},
		keeper.WatchReplay{
			Scope: scope(0.3),
		},
		keeper.Slow{
			Scope: scope(0.8),
			Delay: 200 * time.Millisecond,
		},
	}
}

// follow starts a node that follows the head while the same kinds of faults
// occur.
func (rc *race) follow() {
	rc.follower = configurer.NewFollower()
	ctx := rc.t.Context()
	store := rc.keeper.Zone(nodesZone, keeper.WithCallTimeout(raceCallTimeout))
	go func() { _ = rc.follower.Follow(ctx, store, storer.WithWait(time.Second)) }()
	go func() {
		last := uint64(0)
		for {
			select {
			case settings := <-rc.follower.Settings():
				test.Greater(rc.t, last, settings.Revision)
				last = settings.Revision
				rc.mutex.Lock()
				rc.checkRevision(settings.Revision, settings.ChangeID)
				rc.mutex.Unlock()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// operate simulates an operator whose process may be killed during a change. The
// next change starts without any state of the previous one.
func (rc *race) operate(number int) {
	random := rand.New(rand.NewPCG(rc.seed, uint64(number)))
	jitter := func(limit time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(limit)))
	}
	store := rc.keeper.Zone(operatorsZone, keeper.WithCallTimeout(raceCallTimeout))
	rp := configurer.NewRepository(store, configurer.WithJitter(jitter))
	for index := range raceChanges {
		time.Sleep(jitter(time.Second))
		change := configurer.Change{
			ID:     fmt.Sprintf("operator%d-change%d", number, index),
			Author: fmt.Sprintf("operator%d", number),
			Source: treeWith(number, index),
		}
		timeout := raceTimeout
		if random.Float64() < 0.3 {
			timeout = jitter(time.Second)
		}
		rc.change(rp, change, timeout)
	}
}

func (rc *race) change(rp *configurer.Repository, change configurer.Change, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	record, err := rp.Head(ctx)
	if err != nil && classifier.CodeOf(err) != classifier.SettingsNotFound {
		return
	}
	rc.offerLate(record)
	change.Base = record.Revision
	settings, err := rp.Apply(ctx, change)
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	rc.bases[change.ID] = change.Base
	if record.Revision > 0 {
		rc.checkRevision(record.Revision, record.ChangeID)
	}
	switch {
	case err == nil:
		rc.accepted[change.ID] = settings
	case classifier.CodeOf(err) != classifier.PlatformAmbiguous:
		rc.refused[change.ID] = true
	}
}

// offerLate offers a record to the node after a delay, as a peer does.
func (rc *race) offerLate(record configurer.Record) {
	if record.Revision == 0 {
		return
	}
	data, err := configurer.EncodeRecord(record)
	test.NoError(rc.t, err)
	time.AfterFunc(2*time.Second, func() {
		_, err := rc.follower.Offer(data)
		test.NoError(rc.t, err)
	})
}

// checkRevision checks that a revision always belongs to the same change.
func (rc *race) checkRevision(revision uint64, changeID string) {
	before, ok := rc.seen[revision]
	if ok {
		test.EqOp(rc.t, before, changeID)
	}
	rc.seen[revision] = changeID
}

func (rc *race) check() {
	rp := configurer.NewRepository(rc.keeper.Zone(operatorsZone))
	history, err := rp.History(rc.t.Context(), raceOperators*raceChanges+1)
	must.NoError(rc.t, err)
	must.SliceNotEmpty(rc.t, history)
	must.EqOp(rc.t, history[0].Revision, rc.follower.Revision())
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	byChange := map[string]configurer.Record{}
	for index, record := range history {
		must.EqOp(rc.t, uint64(len(history)-index), record.Revision)
		must.MapNotContainsKey(rc.t, byChange, record.ChangeID)
		must.False(rc.t, rc.refused[record.ChangeID], must.Sprintf("refused change %s is in force", record.ChangeID))
		must.EqOp(rc.t, rc.bases[record.ChangeID]+1, record.Revision)
		byChange[record.ChangeID] = record
		rc.checkRevision(record.Revision, record.ChangeID)
	}
	for changeID, settings := range rc.accepted {
		record, ok := byChange[changeID]
		must.True(rc.t, ok, must.Sprintf("accepted change %s is lost", changeID))
		must.EqOp(rc.t, settings.Revision, record.Revision)
		must.EqOp(rc.t, settings.Source, record.Source)
		must.EqOp(rc.t, settings.Author, record.Author)
	}
}
