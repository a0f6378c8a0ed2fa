package elector

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// fakeDuty is the Locator and the Peer of an Elector.
type fakeDuty struct {
	holder netip.AddrPort
	yields chan netip.AddrPort
}

func (fd *fakeDuty) Holder() (netip.AddrPort, bool) { return fd.holder, fd.holder.IsValid() }

func (fd *fakeDuty) RequestYield(_ context.Context, holder netip.AddrPort) error {
	fd.yields <- holder
	return nil
}

var (
	smallAddress = netip.MustParseAddrPort("10.0.0.1:7000")
	largeAddress = netip.MustParseAddrPort("10.0.0.2:7000")
)

func startElector(ctx context.Context, store storer.Store, node string, address netip.AddrPort, capacity Capacity, duty *fakeDuty) *Elector {
	el := New(Settings{
		Store:      store,
		Region:     "r",
		Node:       node,
		Address:    address,
		Capacity:   capacity,
		Locator:    duty,
		Peer:       duty,
		IsEligible: func() bool { return true },
		Logger:     zap.NewNop(),
	})
	go func() { _ = el.Run(ctx) }()
	return el
}

func TestSmallManagerLeavesTheFreeDutyToALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		holders := make(chan string, 2)
		for _, member := range []struct {
			node     string
			address  netip.AddrPort
			capacity Capacity
		}{{"small", smallAddress, 200}, {"large", largeAddress, 800}} {
			store := kr.Zone(member.node)
			el := startElector(ctx, store, member.node, member.address, member.capacity, &fakeDuty{})
			lr := leaser.New(store, "r", "scheduler", member.node, leaser.WithPrecedence(el.Delay))
			go func() {
				_ = lr.Run(ctx, func(ctx context.Context, _ leaser.HeldDuty) error {
					holders <- member.node
					<-ctx.Done()
					return nil
				})
			}()
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, "large", <-holders)
	})
}

func TestSmallManagerTakesTheDutyWhenNoLargeOneDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		large, stopLarge := context.WithCancel(ctx)
		startElector(large, kr.Zone("large"), "large", largeAddress, 800, &fakeDuty{})
		time.Sleep(time.Second)
		stopLarge()
		el := startElector(ctx, kr.Zone("small"), "small", smallAddress, 200, &fakeDuty{})
		time.Sleep(time.Second)
		must.Eq(t, rankDelay, el.Delay(ctx))
	})
}

func TestOnlyAHolderWithLessCapacityIsAskedToYield(t *testing.T) {
	for _, tc := range []struct {
		name     string
		capacity Capacity
		want     int
	}{
		{"less", 200, 1},
		{"a little less", 700, 0},
		{"equal", 800, 0},
		{"more", 1600, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			kr := keeper.New()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			duty := &fakeDuty{
				holder: smallAddress,
				yields: make(chan netip.AddrPort, 100),
			}
			startElector(ctx, kr.Zone("holder"), "holder", smallAddress, tc.capacity, &fakeDuty{})
			startElector(ctx, kr.Zone("large"), "large", largeAddress, 800, duty)
			time.Sleep(2*yieldInterval + yieldInterval/2)
			must.Eq(t, tc.want, len(duty.yields), must.Sprint(tc.name))
		})
	}
}
