package runner

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// The planned size of the fleet, with seven entry VMs for 50 workers as today,
// and the limits of the platform's calls per second. Stewards may use half of each.
const (
	plannedZones    = 7
	plannedStewards = 112
	maxWriteRate    = 300.0 / 2
	maxReadRate     = 2000.0 / 2
	// maxTraffic is the limit of a node's control traffic, in bytes per second.
	maxTraffic = 12 << 10
)

const (
	measurePeriod = 2 * time.Minute
	warmUp        = 10 * time.Second
	// tolerance allows for calls at the edges of the measured period.
	tolerance = 0.05
)

// rates holds the calls and the bytes of values per second of one steward.
type rates struct {
	writes, reads, bytes float64
}

// countingStore is a Store that counts the bytes of keys and values read and
// written.
type countingStore struct {
	storer.Store
	bytes *atomic.Int64
}

func (cs countingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	et, err := cs.Store.Get(ctx, key)
	cs.bytes.Add(int64(len(et.Key) + len(et.Value)))
	return et, err
}

func (cs countingStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	entries, revision, err := cs.Store.List(ctx, prefix)
	for _, et := range entries {
		cs.bytes.Add(int64(len(et.Key) + len(et.Value)))
	}
	return entries, revision, err
}

func (cs countingStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	cs.bytes.Add(int64(len(key) + len(value)))
	return cs.Store.Put(ctx, key, value, expected, lease)
}

func (cs countingStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	events, revision, err := cs.Store.Watch(ctx, prefix, after, wait)
	for _, ev := range events {
		cs.bytes.Add(int64(len(ev.Entry.Key) + len(ev.Entry.Value)))
	}
	return events, revision, err
}

// countingFleet is a Fleet that counts the bytes of the VM lists.
type countingFleet struct {
	storer.Fleet
	bytes *atomic.Int64
}

func (cf countingFleet) VMs(ctx context.Context) ([]storer.VM, error) {
	vms, err := cf.Fleet.VMs(ctx)
	for _, vm := range vms {
		cf.bytes.Add(int64(len(vm.Name) + len(vm.Zone) + len(vm.Rack) + len(vm.Pool) + len(vm.Address.String())))
	}
	return vms, err
}

// actors returns the actors that Run starts, except the operators' port: its
// network waits would stop virtual time.
func actors(rr *Runner) []func(ctx context.Context) error {
	list := []func(ctx context.Context) error{
		func(ctx context.Context) error { return rr.watched.Run(ctx, rr.store) },
		func(ctx context.Context) error { return rr.entries.Run(ctx, rr.store) },
		announcer.New(rr.store, rr.member(), rr.logger).Run,
	}
	for _, dt := range rr.duties {
		list = append(list, dt.run)
	}
	return list
}

func newVMs(zone string, number int) []storer.VM {
	var vms []storer.VM
	for idx := range number {
		vms = append(vms, storer.VM{
			Name:    fmt.Sprintf("%s-%03d", zone, idx),
			Zone:    zone,
			Rack:    fmt.Sprintf("%s-r%d", zone, idx/4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(idx)}), 9000),
			Pool:    "claims",
			State:   storer.Live,
		})
	}
	return vms
}

// idleRates returns the rates of a holder and of a standby while nothing
// changes, with one of each in every zone.
func idleRates(t *testing.T, zones, vms int) (holder, standby rates) {
	t.Helper()
	var options []keeper.Option
	var all []storer.VM
	for idx := range zones {
		all = append(all, newVMs(fmt.Sprintf("z%02d", idx), vms)...)
	}
	options = append(options, keeper.WithRates(0, 0), keeper.WithVMs(all...))
	kr := keeper.New(options...)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	traffic := map[string]*atomic.Int64{}
	start := func(role string) {
		traffic[role] = &atomic.Int64{}
		for idx := range zones {
			zone := fmt.Sprintf("z%02d", idx)
			zoneStore := kr.Zone(role)
			rr, err := New(initialiser.Settings{
				Name:         zone + "-" + role,
				Zone:         zone,
				Operators:    netip.MustParseAddrPort("127.0.0.1:0"),
				LeaseTTL:     5 * time.Second,
				ListInterval: 500 * time.Millisecond,
			}, countingStore{Store: zoneStore, bytes: traffic[role]}, countingFleet{Fleet: zoneStore, bytes: traffic[role]}, zap.NewNop())
			must.NoError(t, err)
			for _, actor := range actors(rr) {
				group.Go(func() { _ = actor(ctx) })
			}
		}
	}
	start("holder")
	time.Sleep(warmUp)
	start("standby")
	time.Sleep(warmUp)
	before := kr.Counts()
	holderBytes, standbyBytes := traffic["holder"].Load(), traffic["standby"].Load()
	time.Sleep(measurePeriod)
	after := kr.Counts()
	holder = ratesBetween(before, after, "holder", zones)
	standby = ratesBetween(before, after, "standby", zones)
	holder.bytes = float64(traffic["holder"].Load()-holderBytes) / measurePeriod.Seconds() / float64(zones)
	standby.bytes = float64(traffic["standby"].Load()-standbyBytes) / measurePeriod.Seconds() / float64(zones)
	cancel()
	group.Wait()
	return holder, standby
}

func ratesBetween(before, after keeper.Counts, role string, zones int) rates {
	var rs rates
	for kind, calls := range after.Zones[role].Calls {
		rate := float64(calls-before.Zones[role].Calls[kind]) / measurePeriod.Seconds() / float64(zones)
		if kind.IsWrite() {
			rs.writes += rate
		} else {
			rs.reads += rate
		}
	}
	return rs
}

func TestIdleCallRateDoesNotGrowWithFleet(t *testing.T) {
	var baseline rates
	for _, size := range []struct{ zones, vms int }{{1, 8}, {2, 8}, {4, 8}, {8, 8}, {16, 8}, {1, 128}} {
		synctest.Test(t, func(t *testing.T) {
			holder, standby := idleRates(t, size.zones, size.vms)
			t.Logf("%d zones of %d VMs: holder %.3f writes/s, %.3f reads/s, %.0f B/s; standby %.3f writes/s, %.3f reads/s, %.0f B/s",
				size.zones, size.vms, holder.writes, holder.reads, holder.bytes, standby.writes, standby.reads, standby.bytes)
			if baseline == (rates{}) {
				baseline = holder
			}
			must.InDelta(t, baseline.writes, holder.writes, baseline.writes*tolerance)
			must.InDelta(t, baseline.reads, holder.reads, baseline.reads*tolerance)
			must.Less(t, maxTraffic, standby.bytes)
			standbys := float64(plannedStewards - plannedZones)
			must.Less(t, maxWriteRate, plannedZones*holder.writes+standbys*standby.writes)
			must.Less(t, maxReadRate, plannedZones*holder.reads+standbys*standby.reads)
		})
	}
}
