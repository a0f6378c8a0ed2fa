package relayer_test

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

func TestEachZoneHasOneWatcherAndFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 12, 1, lossless)
		defer rn.stop()
		rn.putSettings()
		time.Sleep(10 * time.Second)
		rn.requireNewestSettings()
		for _, zone := range zones {
			must.Len(t, 1, rn.watchers(zone))
		}
		dead := rn.watchers("b")[0]
		rn.kill(dead)
		time.Sleep(10 * time.Second)
		rn.put(storer.DirectoryPrefix+"b", []byte("new"))
		time.Sleep(time.Second)
		for number, nd := range rn.nodes {
			if zoneOf(number) == "b" && number != dead {
				must.EqOp(t, "new", nd.heldDirectory())
			}
		}
		rn.start(dead)
		time.Sleep(10 * time.Second)
		must.Len(t, 1, rn.watchers("b"))
	})
}

// TestSettingsReachZonesPartitionedFromPlatform checks that new settings are in
// force on all nodes within 9 s if only one zone can reach the platform.
func TestSettingsReachZonesPartitionedFromPlatform(t *testing.T) {
	sizes := []int{6, 24, 96}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, members := range sizes {
		for _, loss := range []float64{0, 0.2} {
			synctest.Test(t, func(t *testing.T) { checkSettingsPropagation(t, members, loss) })
		}
	}
}

func checkSettingsPropagation(t *testing.T, members int, loss float64) {
	rn := newRegion(t, members, 2, lossless)
	defer rn.stop()
	rn.putSettings()
	time.Sleep(30 * time.Second)
	conditions := lossless
	conditions.Loss = loss
	rn.network.Faults().SetConditions(conditions)
	before := rn.keeper.Counts().Total()
	rn.partitionPlatform("b", "c")
	rn.putSettings()
	from := time.Now()
	for rn.lowestRevision() < rn.revision && time.Since(from) < 9*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	calls := rn.keeper.Counts().Total() - before
	t.Logf("%d nodes, loss %.1f: in force on all after %s, %d calls", members, loss, time.Since(from), calls)
	rn.requireNewestSettings()
}

// lowestRevision returns the lowest settings revision in force.
func (rn *region) lowestRevision() uint64 {
	lowest := rn.revision
	for _, nd := range rn.nodes {
		lowest = min(lowest, nd.settings.Revision())
	}
	return lowest
}

func TestRestartDuringPlatformOutageFetchesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 6, 3, lossless)
		defer rn.stop()
		rn.putSettings()
		rn.putSettings()
		rn.put(storer.DirectoryPrefix+"a", []byte("targets"))
		time.Sleep(10 * time.Second)
		must.NoError(t, rn.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		rn.kill(3)
		time.Sleep(5 * time.Second)
		rn.start(3)
		time.Sleep(3 * time.Second)
		rn.requireNewestSettings()
		must.EqOp(t, "targets", rn.nodes[3].heldDirectory())
	})
}

// TestLeavingTargetsReachAllNodesOfZone checks that broadcast leaving targets
// reach all nodes of the zone, and no others, within 3 s during an outage of the
// platform and 20% message loss, and that they expire.
func TestLeavingTargetsReachAllNodesOfZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 12, 4, lossless)
		defer rn.stop()
		time.Sleep(10 * time.Second)
		must.NoError(t, rn.keeper.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		rn.network.Faults().SetConditions(carrier.Conditions{Loss: 0.2, MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond})
		rn.nodes[0].relay.BroadcastLeaving("a-07")
		rn.nodes[3].relay.BroadcastLeaving("a-08")
		time.Sleep(3 * time.Second)
		for number, nd := range rn.nodes {
			names := []string{}
			select {
			case names = <-nd.relay.Leaving():
			default:
			}
			if zoneOf(number) == "a" {
				must.Eq(t, []string{"a-07", "a-08"}, names)
			} else {
				must.SliceEmpty(t, names)
			}
		}
		time.Sleep(3 * time.Minute)
		must.SliceEmpty(t, <-rn.nodes[6].relay.Leaving())
	})
}

// TestIdlePlatformCallsGrowWithZonesNotWithNodes bounds the calls to the platform
// without changes by the number of zones and topics.
func TestIdlePlatformCallsGrowWithZonesNotWithNodes(t *testing.T) {
	const watches = uint64(3 * 3 * 25) // zones, topics, and watches of 10 s that start within 4 minutes
	for _, members := range []int{6, 24} {
		synctest.Test(t, func(t *testing.T) {
			rn := newRegion(t, members, 5, lossless)
			defer rn.stop()
			rn.putSettings()
			time.Sleep(time.Minute)
			before := rn.keeper.Counts().Total()
			time.Sleep(4 * time.Minute)
			calls := rn.keeper.Counts().Total() - before
			t.Logf("%d nodes: %.3f calls a second", members, float64(calls)/(4*time.Minute).Seconds())
			must.LessEq(t, watches, calls)
		})
	}
}

// TestSettingsRevisionNeverDecreases changes settings during restarts, partitions,
// loss, delays, duplication and reordering, then heals all faults and requires the
// newest settings on all nodes.
func TestSettingsRevisionNeverDecreases(t *testing.T) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			rn := newRegion(t, 6, seed, carrier.Conditions{
				Loss:        0.1,
				Duplication: 0.2,
				Reordering:  0.2,
				MinDelay:    time.Millisecond,
				MaxDelay:    100 * time.Millisecond,
			})
			defer rn.stop()
			rn.putSettings()
			for step := range uint64(10) {
				rn.injectFault(seed*31 + step*17)
				time.Sleep(time.Duration(200+seed*37%1500) * time.Millisecond)
			}
			rn.network.Faults().SetConditions(lossless)
			rn.network.Faults().Heal(rn.addresses(""), rn.addresses(""))
			rn.partitionPlatform()
			time.Sleep(9 * time.Second)
			rn.requireNewestSettings()
		})
	}
}

func (rn *region) injectFault(number uint64) {
	rn.putSettings()
	zone := zones[number%3]
	other := zones[(number/3)%3]
	switch number % 5 {
	case 0:
		restarted := int(number/5) % len(rn.nodes)
		rn.kill(restarted)
		rn.start(restarted)
	case 1:
		rn.partitionPlatform(zone, other)
	case 2:
		rn.network.Faults().Partition(rn.addresses(zone), rn.addresses(other))
	case 3:
		rn.network.Faults().Heal(rn.addresses(zone), rn.addresses(other))
	case 4:
		rn.partitionPlatform()
	}
}

func (rn *region) addresses(zone string) (list []netip.AddrPort) {
	for number := range rn.nodes {
		if zone == "" || zoneOf(number) == zone {
			list = append(list, address(number))
		}
	}
	return slices.Clip(list)
}

func TestTargetInServiceAgainIsNoLongerLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 6, 6, lossless)
		defer rn.stop()
		time.Sleep(5 * time.Second)
		for _, state := range []registrar.TargetState{registrar.InService, registrar.Leaving, registrar.InService} {
			rn.putDirectory("a", state)
			time.Sleep(time.Second)
			if state == registrar.InService {
				continue
			}
			rn.nodes[0].relay.BroadcastLeaving("a-07")
			time.Sleep(time.Second)
			must.Eq(t, []string{"a-07"}, <-rn.nodes[3].relay.Leaving())
		}
		must.SliceEmpty(t, <-rn.nodes[3].relay.Leaving())
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, len(rn.nodes[3].relay.Leaving()))
	})
}

func (rn *region) putDirectory(zone string, state registrar.TargetState) {
	data, err := registrar.Encode(registrar.Directory{
		Zone: zone,
		Targets: []registrar.Target{{
			VM:      "a-07",
			Address: address(0),
			State:   state,
		}},
	})
	must.NoError(rn.t, err)
	rn.put(storer.DirectoryPrefix+zone, data)
}

// TestWatcherPartitionedFromPlatformIsReplaced gives each node its own
// zone at the platform and partitions the watcher from it.
func TestWatcherPartitionedFromPlatformIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rn := newRegion(t, 0, 7, lossless)
		rn.hasOwnPlatformZones = true
		for number := range 6 {
			rn.nodes = append(rn.nodes, nil)
			rn.start(number)
		}
		defer rn.stop()
		time.Sleep(10 * time.Second)
		before := rn.watchers("a")
		must.Len(t, 1, before)
		rn.partitionPlatform(platformZoneOf(before[0]))
		time.Sleep(15 * time.Second)
		after := rn.watchers("a")
		must.Len(t, 1, after)
		must.NotEq(t, before, after)
		rn.put(storer.DirectoryPrefix+"a", []byte("new"))
		time.Sleep(time.Second)
		must.EqOp(t, "new", rn.nodes[before[0]].heldDirectory())
		must.EqOp(t, "new", rn.nodes[after[0]].heldDirectory())
	})
}
