package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/peers/relayer"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

var (
	zones    = []string{"a", "b", "c"}
	lossless = carrier.Conditions{
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
)

// region is a platform with nodes in virtual time.
type region struct {
	t        *testing.T
	keeper   *keeper.Keeper
	network  *carrier.Network
	nodes    []*node
	revision uint64
	seed     uint64
	// hasOwnPlatformZones gives each node its own zone at the platform, so that
	// nodes can be partitioned from the platform one by one.
	hasOwnPlatformZones bool
}

// node is a running node.
type node struct {
	number   int
	endpoint *carrier.Endpoint
	gossiper *gossiper.Gossiper
	relay    *relayer.Relayer
	settings *configurer.Follower
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mutex     sync.Mutex
	directory []byte
	// hasDecreased is true if a settings revision was not above the previous one,
	// or its record was invalid.
	hasDecreased bool
}

func newRegion(t *testing.T, members int, seed uint64, conditions carrier.Conditions) *region {
	rn := &region{
		t:       t,
		keeper:  keeper.New(keeper.WithRates(0, 0)),
		network: carrier.NewNetwork(carrier.NewFaults(seed, conditions)),
		nodes:   make([]*node, members),
		seed:    seed,
	}
	for number := range members {
		rn.start(number)
	}
	return rn
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10000+number))
}

func zoneOf(number int) string { return zones[number%len(zones)] }

// platformZoneOf returns the name of the own platform zone of a node.
func platformZoneOf(number int) string { return fmt.Sprintf("way-%d", number) }

func (rn *region) start(number int) {
	platformZone := zoneOf(number)
	if rn.hasOwnPlatformZones {
		platformZone = platformZoneOf(number)
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd := &node{
		number:   number,
		endpoint: rn.network.Open(address(number)),
		settings: configurer.NewFollower(),
		cancel:   cancel,
	}
	nd.gossiper = gossiper.New(nd.endpoint, messenger.Member{
		Name:        fmt.Sprintf("node-%d", number),
		Role:        reporter.Entry,
		Zone:        zoneOf(number),
		PeerAddress: address(number),
		Incarnation: uint64(time.Now().UnixMilli()),
	}, gossiper.WithSeeds(address(0), address(1), address(2)))
	nd.relay = relayer.New(zoneOf(number), rn.keeper.Zone(platformZone), nd.endpoint, nd.gossiper, zap.NewNop())
	rn.nodes[number] = nd
	nd.tasks.Go(func() { _ = nd.gossiper.Run(ctx, nd.relay) })
	nd.tasks.Go(func() { _ = nd.relay.Run(ctx) })
	nd.tasks.Go(func() { _ = nd.settings.Follow(ctx, nd.relay.Store()) })
	nd.tasks.Go(func() { nd.watchSettings(ctx) })
	nd.tasks.Go(func() { nd.followDirectory(ctx) })
}

// watchSettings records whether the store returns a settings revision that is not
// above the previous one. It doesn't use the follower, which ignores those.
func (nd *node) watchSettings(ctx context.Context) {
	highest := uint64(0)
	_ = storer.Follow(ctx, nd.relay.Store(), storer.SettingsHeadKey, func(nt storer.Notice) {
		changed, ok := nt.(storer.Changed)
		if !ok {
			return
		}
		record, err := configurer.DecodeRecord(changed.Event.Entry.Value)
		nd.mutex.Lock()
		nd.hasDecreased = nd.hasDecreased || err != nil || record.Revision <= highest
		nd.mutex.Unlock()
		highest = record.Revision
	})
}

func (nd *node) followDirectory(ctx context.Context) {
	_ = storer.Follow(ctx, nd.relay.Store(), storer.DirectoryPrefix+zoneOf(nd.number), func(nt storer.Notice) {
		if changed, ok := nt.(storer.Changed); ok {
			nd.mutex.Lock()
			nd.directory = changed.Event.Entry.Value
			nd.mutex.Unlock()
		}
	})
}

func (nd *node) heldDirectory() string {
	nd.mutex.Lock()
	defer nd.mutex.Unlock()
	return string(nd.directory)
}

// kill stops a node without announcing it.
func (rn *region) kill(number int) {
	nd := rn.nodes[number]
	nd.endpoint.Close()
	nd.cancel()
	nd.tasks.Wait()
}

func (rn *region) stop() {
	for number := range rn.nodes {
		rn.kill(number)
	}
}

// put writes to the platform's service with its faults disabled for the call.
func (rn *region) put(key string, value []byte) {
	faults := rn.keeper.Faults()
	must.NoError(rn.t, rn.keeper.SetFaults())
	store := rn.keeper.Zone("a")
	et, _ := store.Get(context.Background(), key)
	_, err := store.Put(context.Background(), key, value, et.Revision, 0)
	must.NoError(rn.t, err)
	must.NoError(rn.t, rn.keeper.SetFaults(faults...))
}

func (rn *region) putSettings() {
	rn.revision++
	data, err := configurer.EncodeRecord(configurer.Record{
		Revision: rn.revision,
		ChangeID: fmt.Sprintf("c%d", rn.revision),
		Source:   "[organisation]\nname = \"Test\"\n\n[pools.claims]\n",
	})
	must.NoError(rn.t, err)
	rn.put(storer.SettingsHeadKey, data)
}

func (rn *region) partitionPlatform(partitioned ...string) {
	faults := []keeper.Fault{}
	for _, zone := range partitioned {
		faults = append(faults, keeper.Partition{Scope: keeper.Scope{Zone: zone, Share: 1, Seed: rn.seed}})
	}
	must.NoError(rn.t, rn.keeper.SetFaults(faults...))
}

// requireNewestSettings checks that all nodes have the newest settings in force,
// and that no settings revision has decreased.
func (rn *region) requireNewestSettings() {
	rn.t.Helper()
	for _, nd := range rn.nodes {
		must.EqOp(rn.t, rn.revision, nd.settings.Revision(), must.Sprintf("seed %d node %d", rn.seed, nd.number))
		nd.mutex.Lock()
		must.False(rn.t, nd.hasDecreased, must.Sprintf("seed %d node %d", rn.seed, nd.number))
		nd.mutex.Unlock()
	}
}

// watchers returns the nodes of a zone that watch the platform's service.
func (rn *region) watchers(zone string) []int {
	var watchers []int
	for number, nd := range rn.nodes {
		if zoneOf(number) == zone && nd.relay.IsWatching() {
			watchers = append(watchers, number)
		}
	}
	return watchers
}
