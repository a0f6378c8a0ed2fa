package publisher_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/lister"
	"coltsfootwick.example/coltsfootwick-steward/internal/publisher"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

const (
	zone         = "a"
	directoryKey = "directory/a"
	listLag      = 3 * time.Second
	listInterval = 500 * time.Millisecond
)

// newVMs returns the given number of VMs in the zone and one VM in another zone.
func newVMs(number int) []storer.VM {
	vms := []storer.VM{{
		Name:    "b-01",
		Zone:    "b",
		Address: netip.MustParseAddrPort("127.0.2.1:9000"),
		Pool:    "claims",
		State:   storer.Live,
	}}
	for idx := range number {
		vms = append(vms, storer.VM{
			Name:    fmt.Sprintf("a-%02d", idx),
			Zone:    zone,
			Rack:    fmt.Sprintf("a-r%d", idx/4),
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.1.%d:9000", idx+1)),
			Pool:    "claims",
			State:   storer.Live,
		})
	}
	return vms
}

// startSteward runs a steward that serves the duty. Its calls reach the platform
// from an availability zone of the steward's name, so that faults can be limited
// to it.
func startSteward(t *testing.T, kr *keeper.Keeper, name string) (stop func()) {
	return startStewardOn(t, kr.Zone(name), kr.Zone(name), name)
}

func startStewardOn(t *testing.T, store storer.Store, vms storer.Fleet, name string) (stop func()) {
	list := lister.New(vms, listInterval, zap.NewNop())
	pr := publisher.New(zone, store, list, func(registrar.Directory) {}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = leaser.New(store, zone, publisher.Duty, name).Run(ctx, pr.Serve)
	}()
	return func() {
		cancel()
		<-done
	}
}

func readDirectory(t *testing.T, kr *keeper.Keeper) registrar.Directory {
	t.Helper()
	et, err := kr.Zone("observer").Get(t.Context(), directoryKey)
	must.NoError(t, err)
	dy, err := registrar.Decode(et.Value)
	must.NoError(t, err)
	return dy
}

// states returns the states of the directory's targets by VM name.
func states(dy registrar.Directory) map[string]registrar.TargetState {
	found := map[string]registrar.TargetState{}
	for _, tt := range dy.Targets {
		found[tt.VM] = tt.State
	}
	return found
}

func newKeeper(number int) *keeper.Keeper {
	return keeper.New(keeper.WithVMs(newVMs(number)...), keeper.WithListLag(listLag))
}

func TestDirectoryWithoutRecordFollowsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(8)
		stop := startSteward(t, kr, "s1")
		defer stop()
		time.Sleep(time.Second)
		dy := readDirectory(t, kr)
		must.Eq(t, zone, dy.Zone)
		must.Eq(t, 1, dy.Version)
		must.Len(t, 8, dy.Targets)
		must.Eq(t, registrar.Target{
			VM:      "a-03",
			Address: netip.MustParseAddrPort("127.0.1.4:9000"),
			Pool:    "claims",
			Rack:    "a-r0",
			State:   registrar.InService,
		}, dy.Targets[3])
		time.Sleep(10 * time.Minute)
		must.Eq(t, dy, readDirectory(t, kr))
	})
}

func TestLeavingVMIsMarkedWithinOneSecondOfListing(t *testing.T) {
	for offset := range 10 {
		synctest.Test(t, func(t *testing.T) {
			kr := newKeeper(8)
			stop := startSteward(t, kr, "s1")
			defer stop()
			time.Sleep(time.Minute + time.Duration(offset)*71*time.Millisecond)
			must.NoError(t, kr.SetVMState("a-02", storer.Leaving))
			time.Sleep(listLag + time.Second)
			synctest.Wait()
			found := states(readDirectory(t, kr))
			must.Eq(t, registrar.Leaving, found["a-02"])
			must.Eq(t, registrar.InService, found["a-01"])
		})
	}
}

func TestVMsMissingFromSomeListsStayInService(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			kr := newKeeper(8)
			stop := startSteward(t, kr, "s1")
			defer stop()
			time.Sleep(time.Second)
			first := readDirectory(t, kr)
			must.NoError(t, kr.SetFaults(keeper.VMsMissing{
				Scope: keeper.Scope{
					Share: 0.3,
					Seed:  seed,
				},
			}))
			time.Sleep(2 * time.Minute)
			must.Eq(t, first, readDirectory(t, kr), must.Sprintf("seed %d", seed))
			must.NoError(t, kr.SetFaults(keeper.VMsMissing{Scope: keeper.Scope{Share: 1}}))
			time.Sleep(5 * time.Minute)
			must.Eq(t, first, readDirectory(t, kr), must.Sprintf("seed %d", seed))
		})
	}
}

func TestMissingVMIsMarkedLeavingThenRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(8)
		stop := startSteward(t, kr, "s1")
		defer stop()
		time.Sleep(time.Second)
		must.NoError(t, kr.RemoveVM("a-05"))
		time.Sleep(listLag + 9*time.Second)
		must.Eq(t, registrar.InService, states(readDirectory(t, kr))["a-05"])
		time.Sleep(2 * time.Second)
		must.Eq(t, registrar.Leaving, states(readDirectory(t, kr))["a-05"])
		time.Sleep(time.Minute)
		must.MapNotContainsKey(t, states(readDirectory(t, kr)), "a-05")
	})
}

func TestNewHolderKeepsVMsMissingFromItsLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(8)
		stopFirst := startSteward(t, kr, "s1")
		time.Sleep(time.Second)
		stopSecond := startSteward(t, kr, "s2")
		time.Sleep(time.Minute)
		first := readDirectory(t, kr)
		must.NoError(t, kr.SetFaults(keeper.VMsMissing{
			Scope: keeper.Scope{
				Zone:  "s2",
				Share: 0.4,
				Seed:  3,
			},
		}))
		stopFirst()
		time.Sleep(2 * time.Second)
		second := readDirectory(t, kr)
		must.Greater(t, first.Epoch, second.Epoch)
		must.Eq(t, first.Version+1, second.Version)
		must.Eq(t, first.Targets, second.Targets)
		stopSecond()
	})
}

func TestRecordTakesPrecedenceOverList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(4)
		put := func(expected storer.Revision, vms ...recorder.VM) storer.Revision {
			value, err := recorder.Encode(recorder.Zone{
				Name: zone,
				VMs:  vms,
			})
			must.NoError(t, err)
			revision, err := kr.Zone("operator").Put(t.Context(), "fleet/zones/a", value, expected, 0)
			must.NoError(t, err)
			return revision
		}
		vm := func(name string, pool string, state recorder.State) recorder.VM {
			return recorder.VM{
				Name:    name,
				Rack:    "a-r0",
				Address: netip.MustParseAddrPort("127.0.1.9:9000"),
				Pool:    pool,
				State:   state,
			}
		}
		revision := put(0, vm("a-00", "quotes", recorder.InService), vm("a-01", "claims", recorder.Draining))
		stop := startSteward(t, kr, "s1")
		defer stop()
		time.Sleep(time.Second)
		dy := readDirectory(t, kr)
		must.Eq(t, map[string]registrar.TargetState{
			"a-00": registrar.InService,
			"a-01": registrar.Leaving,
		}, states(dy))
		must.Eq(t, "quotes", dy.Targets[0].Pool)

		put(revision, vm("a-00", "quotes", recorder.Draining), vm("a-01", "claims", recorder.InService))
		synctest.Wait()
		must.Eq(t, map[string]registrar.TargetState{
			"a-00": registrar.Leaving,
			"a-01": registrar.InService,
		}, states(readDirectory(t, kr)))

		must.NoError(t, kr.SetVMState("a-01", storer.Leaving))
		time.Sleep(listLag + time.Second)
		must.Eq(t, registrar.Leaving, states(readDirectory(t, kr))["a-01"])
	})
}

// delayedListStore is a Store that fails to list fleet records until a time.
type delayedListStore struct {
	storer.Store
	until time.Time
}

func (ds *delayedListStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	if strings.HasPrefix(prefix, storer.FleetPrefix) && time.Now().Before(ds.until) {
		return nil, 0, classifier.New(classifier.PlatformUnavailable, "list of %s", prefix)
	}
	return ds.Store.List(ctx, prefix)
}

func TestDirectoryIsNotWrittenBeforeRecordIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(4)
		value, err := recorder.Encode(recorder.Zone{
			Name: zone,
		})
		must.NoError(t, err)
		_, err = kr.Zone("operator").Put(t.Context(), "fleet/zones/a", value, 0, 0)
		must.NoError(t, err)
		store := &delayedListStore{
			Store: kr.Zone("s1"),
			until: time.Now().Add(10 * time.Second),
		}
		stop := startStewardOn(t, store, kr.Zone("s1"), "s1")
		defer stop()
		time.Sleep(30 * time.Second)
		dy := readDirectory(t, kr)
		must.Eq(t, 1, dy.Version)
		must.Len(t, 0, dy.Targets)
	})
}

func TestDirectoryCatchesUpAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := newKeeper(8)
		stopFirst := startSteward(t, kr, "s1")
		defer stopFirst()
		time.Sleep(time.Second)
		stopSecond := startSteward(t, kr, "s2")
		defer stopSecond()
		first := readDirectory(t, kr)
		must.NoError(t, kr.SetFaults(
			keeper.Outage{Scope: keeper.Scope{Zone: "s1", Share: 1}},
			keeper.Outage{Scope: keeper.Scope{Zone: "s2", Share: 1}},
		))
		time.Sleep(time.Minute)
		must.NoError(t, kr.SetVMState("a-04", storer.Leaving))
		time.Sleep(time.Minute)
		must.Eq(t, first, readDirectory(t, kr))
		must.NoError(t, kr.SetFaults())
		time.Sleep(5 * time.Second)
		must.Eq(t, registrar.Leaving, states(readDirectory(t, kr))["a-04"])
	})
}
