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
	zones = []string{"a", "b", "c"}
	calm  = carrier.Conditions{
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
)

// region is a platform and nodes in virtual time.
type region struct {
	t        *testing.T
	keeper   *keeper.Keeper
	network  *carrier.Network
	nodes    []*node
	revision uint64
	seed     uint64
	// hasOwnWays lets each node reach the platform on a way of its own.
	hasOwnWays bool
}

// node is one running node.
type node struct {
	number   int
	port     *carrier.Endpoint
	gossiper *gossiper.Gossiper
	relay    *relayer.Relayer
	settings *configurer.Follower
	end      context.CancelFunc
	tasks    sync.WaitGroup

	mutex     sync.Mutex
	directory []byte
	// isReverted is true if the settings in force went back.
	isReverted bool
}

func newRegion(t *testing.T, members int, seed uint64, weather carrier.Conditions) *region {
	rn := &region{
		t:       t,
		keeper:  keeper.New(keeper.WithRates(0, 0)),
		network: carrier.NewNetwork(carrier.NewFaults(seed, weather)),
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

// wayOf names the way to the platform of a node that has its own.
func wayOf(number int) string { return fmt.Sprintf("way-%d", number) }

func (rn *region) start(number int) {
	way := zoneOf(number)
	if rn.hasOwnWays {
		way = wayOf(number)
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd := &node{
		number:   number,
		port:     rn.network.Open(address(number)),
		settings: configurer.NewFollower(),
		end:      cancel,
	}
	nd.gossiper = gossiper.New(nd.port, messenger.Member{
		Name:        fmt.Sprintf("node-%d", number),
		Role:        reporter.Entry,
		Zone:        zoneOf(number),
		PeerAddress: address(number),
		Incarnation: uint64(time.Now().UnixMilli()),
	}, gossiper.WithSeeds(address(0), address(1), address(2)))
	nd.relay = relayer.New(zoneOf(number), rn.keeper.Zone(way), nd.port, nd.gossiper, zap.NewNop())
	rn.nodes[number] = nd
	nd.tasks.Go(func() { _ = nd.gossiper.Run(ctx, nd.relay) })
	nd.tasks.Go(func() { _ = nd.relay.Run(ctx) })
	nd.tasks.Go(func() { _ = nd.settings.Follow(ctx, nd.relay.Store()) })
	nd.tasks.Go(func() { nd.checkSettings(ctx) })
	nd.tasks.Go(func() { nd.followDirectory(ctx) })
}

// checkSettings notes when the store tells of settings that are lower than ones
// that it told of before. It doesn't rely on the follower, which passes them over.
func (nd *node) checkSettings(ctx context.Context) {
	highest := uint64(0)
	_ = storer.Follow(ctx, nd.relay.Store(), storer.SettingsHeadKey, func(nt storer.Notice) {
		changed, ok := nt.(storer.Changed)
		if !ok {
			return
		}
		record, err := configurer.DecodeRecord(changed.Event.Entry.Value)
		nd.mutex.Lock()
		nd.isReverted = nd.isReverted || err != nil || record.Revision <= highest
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

// kill ends a node without a farewell.
func (rn *region) kill(number int) {
	nd := rn.nodes[number]
	nd.port.Close()
	nd.end()
	nd.tasks.Wait()
}

func (rn *region) stop() {
	for number := range rn.nodes {
		rn.kill(number)
	}
}

// put writes to the platform's service, whatever its faults.
func (rn *region) put(key string, value []byte) {
	faults := rn.keeper.Faults()
	must.NoError(rn.t, rn.keeper.SetFaults())
	store := rn.keeper.Zone("a")
	et, _ := store.Get(context.Background(), key)
	_, err := store.Put(context.Background(), key, value, et.Revision, 0)
	must.NoError(rn.t, err)
	must.NoError(rn.t, rn.keeper.SetFaults(faults...))
}

func (rn *region) accept() {
	rn.revision++
	data, err := configurer.EncodeRecord(configurer.Record{
		Revision: rn.revision,
		ChangeID: fmt.Sprintf("c%d", rn.revision),
		Source:   "[organisation]\nname = \"Test\"\n\n[pools.claims]\n",
	})
	must.NoError(rn.t, err)
	rn.put(storer.SettingsHeadKey, data)
}

func (rn *region) cutPlatform(zonesCut ...string) {
	faults := []keeper.Fault{}
	for _, zone := range zonesCut {
		faults = append(faults, keeper.Partition{Scope: keeper.Scope{Zone: zone, Share: 1, Seed: rn.seed}})
	}
	must.NoError(rn.t, rn.keeper.SetFaults(faults...))
}

// inForce checks that all nodes have the newest settings and none went back.
func (rn *region) inForce() {
	rn.t.Helper()
	for _, nd := range rn.nodes {
		must.EqOp(rn.t, rn.revision, nd.settings.Revision(), must.Sprintf("seed %d node %d", rn.seed, nd.number))
		nd.mutex.Lock()
		must.False(rn.t, nd.isReverted, must.Sprintf("seed %d node %d", rn.seed, nd.number))
		nd.mutex.Unlock()
	}
}

// watchers returns the nodes that watch in a zone.
func (rn *region) watchers(zone string) []int {
	var watchers []int
	for number, nd := range rn.nodes {
		if zoneOf(number) == zone && nd.relay.IsWatching() {
			watchers = append(watchers, number)
		}
	}
	return watchers
}
