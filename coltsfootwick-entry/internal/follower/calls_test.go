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

// The planned number of entry VMs, at today's ratio of seven to 50 workers, and
// the bounds on calls a second: entries may use half of the platform's rate
// limits.
const (
	plannedEntries = 112
	writesBound    = 300.0 / 2
	readsBound     = 2000.0 / 2
	// changeReads is the bound on further reads of one entry for a change: the
	// watch that returns the change, and one watch that was due anyway.
	changeReads = 2
)

const (
	steadyWindow = 2 * time.Minute
	warmUp       = 10 * time.Second
	changeWindow = 9 * time.Second
	// tolerance allows for calls at the edges of the measured window.
	tolerance = 0.05
)

// callCost holds the calls of one entry to the platform.
type callCost struct {
	// writes and reads are calls a second in the steady state.
	writes, reads float64
	// change is the number of additional reads for one change of the settings.
	change float64
}

// startEntries runs the parts of entries that call the platform.
func startEntries(ctx context.Context, running *sync.WaitGroup, kr *keeper.Keeper, entries int) []*follower.Follower {
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

// drainUpdates discards all pending updates and returns the number of entries that
// got the settings revision.
func drainUpdates(followers []*follower.Follower, revision uint64) int {
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

func countCalls(kr *keeper.Keeper) (writes, reads float64) {
	for kind, calls := range kr.Counts().Zones["entries"].Calls {
		if kind.IsWrite() {
			writes += float64(calls)
		} else {
			reads += float64(calls)
		}
	}
	return writes, reads
}

func measure(t *testing.T, entries int) callCost {
	t.Helper()
	kr := keeper.New(keeper.WithRates(0, 0))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	followers := startEntries(ctx, &running, kr, entries)
	// The updates are drained each second, since their channel is bounded and the
	// records of members arrive one by one.
	for range int(warmUp / time.Second) {
		time.Sleep(time.Second)
		drainUpdates(followers, 0)
	}
	writes, reads := countCalls(kr)
	time.Sleep(steadyWindow)
	restWrites, restReads := countCalls(kr)
	rest := callCost{
		writes: (restWrites - writes) / steadyWindow.Seconds() / float64(entries),
		reads:  (restReads - reads) / steadyWindow.Seconds() / float64(entries),
	}
	_, err := configurer.NewRepository(kr.Zone("operator")).Apply(ctx, configurer.Change{
		Author: "operator",
		Source: "[organisation]\nname = \"Calls\"\n",
	})
	must.NoError(t, err)
	time.Sleep(changeWindow)
	must.Eq(t, entries, drainUpdates(followers, 1))
	_, changedReads := countCalls(kr)
	rest.change = (changedReads-restReads)/float64(entries) - rest.reads*changeWindow.Seconds()
	cancel()
	running.Wait()
	return rest
}

func TestCallsOfAnEntryDoNotGrowWithTheFleet(t *testing.T) {
	var first callCost
	for _, entries := range []int{1, 2, 4, 8, 16, 32} {
		synctest.Test(t, func(t *testing.T) {
			ct := measure(t, entries)
			t.Logf("%d entries: %.3f writes/s, %.3f reads/s, %.2f reads for a change of the settings", entries, ct.writes, ct.reads, ct.change)
			if first == (callCost{}) {
				first = ct
			}
			must.InDelta(t, first.writes, ct.writes, first.writes*tolerance)
			must.InDelta(t, first.reads, ct.reads, first.reads*tolerance)
			must.LessEq(t, changeReads, ct.change)
			must.Less(t, writesBound, plannedEntries*ct.writes)
			must.Less(t, readsBound, plannedEntries*ct.reads)
		})
	}
}
