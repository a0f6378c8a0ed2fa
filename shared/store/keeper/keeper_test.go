package keeper_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

func ExampleNew() {
	ctx := context.Background()
	store := keeper.New().Zone("a")
	revision, _ := store.Put(ctx, "settings/head", []byte("one"), 0, 0)
	_, err := store.Put(ctx, "settings/head", []byte("two"), 0, 0)
	fmt.Println(revision, classifier.CodeOf(err))
	// Output: 1 502 platformConflict
}

// everyCall returns a scope of all calls from all availability zones.
func everyCall() keeper.Scope {
	return keeper.Scope{
		Share: 1,
	}
}

func TestLeaseDeletesItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.New().Zone("a")
		lease, err := store.Grant(t.Context(), 5*time.Second)
		must.NoError(t, err)
		_, err = store.Put(t.Context(), "members/x", []byte("1"), 0, lease)
		must.NoError(t, err)
		time.Sleep(4 * time.Second)
		must.NoError(t, store.Renew(t.Context(), lease))
		events, after, err := store.Watch(t.Context(), "members/", 1, 30*time.Second)
		must.NoError(t, err)
		must.Len(t, 1, events)
		must.True(t, events[0].Deleted)
		must.Eq(t, storer.Revision(2), after)
		must.Eq(t, classifier.LeaseLost, classifier.CodeOf(store.Renew(t.Context(), lease)))
		_, err = store.Put(t.Context(), "members/x", []byte("1"), 0, lease)
		must.Eq(t, classifier.LeaseLost, classifier.CodeOf(err))
	})
}

func TestWaitingWatchSurvivesCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithHistory(2, 1<<20))
		store := kr.Zone("a")
		var events []storer.Event
		var err error
		done := make(chan struct{})
		go func() {
			defer close(done)
			events, _, err = store.Watch(t.Context(), "quiet/", 0, time.Minute)
		}()
		synctest.Wait()
		for number := range 5 {
			_, perr := store.Put(t.Context(), fmt.Sprintf("busy/%d", number), nil, 0, 0)
			must.NoError(t, perr)
		}
		_, perr := store.Put(t.Context(), "quiet/x", nil, 0, 0)
		must.NoError(t, perr)
		<-done
		must.NoError(t, err)
		must.Len(t, 1, events)
		_, _, err = store.Watch(t.Context(), "quiet/", 0, time.Minute)
		must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
	})
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New(keeper.WithRates(3, 100))
		store := kr.Zone("a")
		limited := 0
		for range 10 {
			if _, err := store.Grant(t.Context(), time.Minute); err != nil {
				must.Eq(t, classifier.PlatformRateLimited, classifier.CodeOf(err))
				limited++
			}
		}
		must.Eq(t, 7, limited)
		zc := kr.Counts().Zones["a"]
		must.Eq(t, 10, zc.Calls[keeper.KindGrant])
		must.Eq(t, 7, zc.Limited)
		time.Sleep(time.Second)
		_, err := store.Grant(t.Context(), time.Minute)
		must.NoError(t, err)
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name      string
		fault     keeper.Fault
		code      classifier.Code
		isApplied bool
	}{
		{"out", keeper.Outage{Scope: everyCall()}, classifier.PlatformUnavailable, false},
		{"answer lost", keeper.AnswerLost{Scope: everyCall()}, classifier.PlatformAmbiguous, true},
		{"partition with refusal", keeper.Partition{Scope: everyCall(), Refuse: true}, classifier.PlatformUnavailable, false},
		{"cut", keeper.Partition{Scope: everyCall()}, classifier.PlatformAmbiguous, false},
		{"slow", keeper.Slow{Scope: everyCall(), Delay: time.Minute}, classifier.PlatformAmbiguous, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kr := keeper.New()
				must.NoError(t, kr.SetFaults(tc.fault))
				_, err := kr.Zone("a").Put(t.Context(), "k", nil, 0, 0)
				must.Eq(t, tc.code, classifier.CodeOf(err))
				time.Sleep(2 * time.Minute)
				must.NoError(t, kr.SetFaults())
				_, err = kr.Zone("a").Get(t.Context(), "k")
				must.Eq(t, tc.isApplied, err == nil)
			})
		})
	}
}

func TestWaitingWatchIsEndedByFaults(t *testing.T) {
	for _, ft := range []keeper.Fault{
		keeper.Outage{Scope: everyCall()},
		keeper.WatchBroken{Scope: everyCall()},
		keeper.Partition{Scope: everyCall(), Refuse: true},
		keeper.Partition{Scope: everyCall()},
	} {
		t.Run(fmt.Sprintf("%T", ft), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kr := keeper.New()
				time.AfterFunc(time.Second, func() { _ = kr.SetFaults(ft) })
				_, _, err := kr.Zone("a").Watch(t.Context(), "k", 0, time.Minute)
				must.Eq(t, classifier.PlatformUnavailable, classifier.CodeOf(err))
				must.Eq(t, 1, kr.Counts().Total())
			})
		})
	}
}

func TestSetFaultsRejectsValuesOutOfRange(t *testing.T) {
	kr := keeper.New()
	must.NoError(t, kr.SetFaults(keeper.Outage{Scope: everyCall()}))
	invalid := everyCall()
	invalid.Share = 1.5
	must.Eq(t, classifier.SettingsRange, classifier.CodeOf(kr.SetFaults(keeper.Outage{Scope: invalid})))
	must.Eq(t, classifier.SettingsRange, classifier.CodeOf(kr.SetFaults(keeper.Slow{Scope: everyCall()})))
	must.Len(t, 1, kr.Faults())
}

func TestFaultAffectsOnlyItsZone(t *testing.T) {
	kr := keeper.New()
	must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Zone: "a", Share: 1}}))
	_, _, err := kr.Zone("a").List(t.Context(), "")
	must.ErrorIs(t, err, err)
	must.Eq(t, classifier.PlatformUnavailable, classifier.CodeOf(err))
	must.False(t, errors.Is(err, keeper.ErrNoAnswer))
	_, _, err = kr.Zone("b").List(t.Context(), "")
	must.NoError(t, err)
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := storer.VM{
			Name:    "a-01",
			Zone:    "a",
			Rack:    "a-r1",
			Address: netip.MustParseAddrPort("127.0.1.1:9000"),
			Pool:    "claims",
			State:   storer.Live,
		}
		rebooted := make(chan storer.VM, 1)
		kr := keeper.New(
			keeper.WithVMs(vm),
			keeper.WithListLag(3*time.Second),
			keeper.WithRebootTime(10*time.Second),
			keeper.WithRebootHook(func(vm storer.VM) { rebooted <- vm }),
		)
		store := kr.Zone("a")
		expectState := func(state storer.VMState) {
			t.Helper()
			vms, err := store.VMs(t.Context())
			must.NoError(t, err)
			must.Len(t, 1, vms)
			must.Eq(t, state, vms[0].State)
		}
		must.NoError(t, store.Reboot(t.Context(), "a-01"))
		must.Eq(t, "a-01", (<-rebooted).Name)
		expectState(storer.Live)
		time.Sleep(3 * time.Second)
		expectState(storer.Leaving)
		time.Sleep(10 * time.Second)
		expectState(storer.Live)
		must.Eq(t, 2, kr.VMs()[0].Boot)
		must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(store.Reboot(t.Context(), "zz")))
		must.NoError(t, kr.RemoveVM("a-01"))
		time.Sleep(4 * time.Second)
		vms, err := store.VMs(t.Context())
		must.NoError(t, err)
		must.Len(t, 0, vms)
	})
}

func TestDroppedHistoryEndsEarlierWatches(t *testing.T) {
	kr := keeper.New()
	store := kr.Zone("a")
	first, err := store.Put(t.Context(), "settings/head", []byte("one"), 0, 0)
	must.NoError(t, err)
	second, err := store.Put(t.Context(), "settings/head", []byte("two"), first, 0)
	must.NoError(t, err)
	kr.DropHistory()
	_, _, err = store.Watch(t.Context(), "settings/", first, time.Second)
	must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))
	_, err = store.Put(t.Context(), "settings/head", []byte("three"), second, 0)
	must.NoError(t, err)
	events, _, err := store.Watch(t.Context(), "settings/", second, time.Second)
	must.NoError(t, err)
	must.Len(t, 1, events)
}
