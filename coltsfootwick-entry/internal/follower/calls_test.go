package follower_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/follower"
	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
)

// The size and the bounds that letter 1 names, with seven entry VMs for 50
// workers as today. Entries may take half of the platform's rates.
const (
	entriesToCome = 112
	writesBound   = 300.0 / 2
	readsBound    = 2000.0 / 2
	// changeReads allows for the watch that takes the change up, and for one
	// that was due.
	changeReads = 2
)

const (
	atRest = 2 * time.Minute
	settle = 10 * time.Second
	spread = 9 * time.Second
	// unevenness allows for calls that the window cuts differently.
	unevenness = 0.05
)

// cost is what one entry calls.
type cost struct {
	// writes and reads are calls a second at rest.
	writes, reads float64
	// change is the number of calls for one change of the settings, beyond
	// those at rest.
	change float64
}

// fleetOf runs the duties of entries that face the platform.
func fleetOf(ctx context.Context, running *sync.WaitGroup, kr *keeper.Keeper, entries int) []*follower.Follower {
	var followers []*follower.Follower
	for idx := range entries {
		name := fmt.Sprintf("entry-%02d", idx)
		store := kr.Zone("entries")
		fr := follower.New(store, "a", zap.NewNop())
		followers = append(followers, fr)
		ar := announcer.New(store, reporter.Member{
			Name:        name,
			Role:        reporter.Entry,
			Zone:        "a",
			Incarnation: name,
			Address:     netip.MustParseAddrPort("127.0.0.1:9000"),
		}, zap.NewNop(), announcer.WithTTL(5*time.Second))
		running.Go(func() { _ = fr.Run(ctx) })
		running.Go(func() { _ = ar.Run(ctx) })
	}
	return followers
}

// takeAll drops the updates and counts the entries that got a revision.
func takeAll(followers []*follower.Follower, revision uint64) int {
	got := 0
	for _, fr := range followers {
		for taken := true; taken; {
			select {
			case ue := <-fr.Updates():
				if su, ok := ue.(follower.SettingsUpdate); ok && su.Settings.Revision == revision {
					got++
				}
			default:
				taken = false
			}
		}
	}
	return got
}

func callsOf(kr *keeper.Keeper) (writes, reads float64) {
	for kind, calls := range kr.Counts().Zones["entries"].Calls {
		if kind.IsWrite() {
			writes += float64(calls)
		} else {
			reads += float64(calls)
		}
	}
	return writes, reads
}

func measure(t *testing.T, entries int) cost {
	t.Helper()
	kr := keeper.New(keeper.WithRates(0, 0))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	followers := fleetOf(ctx, &running, kr, entries)
	// The records of members arrive one by one, and their channel is bounded.
	for range int(settle / time.Second) {
		time.Sleep(time.Second)
		takeAll(followers, 0)
	}
	writes, reads := callsOf(kr)
	time.Sleep(atRest)
	restWrites, restReads := callsOf(kr)
	rest := cost{
		writes: (restWrites - writes) / atRest.Seconds() / float64(entries),
		reads:  (restReads - reads) / atRest.Seconds() / float64(entries),
	}
	_, err := configurer.NewRepository(kr.Zone("operator")).Apply(ctx, configurer.Change{
		Author: "operator",
		Source: "[organisation]\nname = \"Calls\"\n",
	})
	must.NoError(t, err)
	time.Sleep(spread)
	must.Eq(t, entries, takeAll(followers, 1))
	_, changedReads := callsOf(kr)
	rest.change = (changedReads-restReads)/float64(entries) - rest.reads*spread.Seconds()
	cancel()
	running.Wait()
	return rest
}

func TestCallsOfAnEntryDoNotGrowWithTheFleet(t *testing.T) {
	var first cost
	for _, entries := range []int{1, 2, 4, 8, 16, 32} {
		synctest.Test(t, func(t *testing.T) {
			ct := measure(t, entries)
			t.Logf("%d entries: %.3f writes/s, %.3f reads/s, %.2f reads for a change of the settings", entries, ct.writes, ct.reads, ct.change)
			if first == (cost{}) {
				first = ct
			}
			must.InDelta(t, first.writes, ct.writes, first.writes*unevenness)
			must.InDelta(t, first.reads, ct.reads, first.reads*unevenness)
			must.LessEq(t, changeReads, ct.change)
			must.Less(t, writesBound, entriesToCome*ct.writes)
			must.Less(t, readsBound, entriesToCome*ct.reads)
		})
	}
}
