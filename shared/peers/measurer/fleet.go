// Package measurer runs the membership of a region in virtual time, without
// goroutines, and returns figures: the same for the same seed.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/reporter"
)

const (
	firstPort     = 10000
	seedCount     = 3
	maxStartDelay = 500 * time.Millisecond
	maxOctet      = 250
	firstOctet    = 1
)

// zones are the availability zones that nodes are spread over.
var zones = []string{"a", "b", "c"}

// Region is a region in virtual time.
type Region struct {
	// Faults decide what becomes of messages.
	Faults *carrier.Faults
	// Nodes are the nodes by number. They are in zones a, b and c by turns.
	Nodes []*Node

	tuning    gossiper.Tuning
	random    *rand.Rand
	now       time.Time
	events    events
	sequence  int
	byAddress map[netip.AddrPort]*Node
}

// Node is a node of a Fleet.
type Node struct {
	// Machine is the node's membership.
	Machine *gossiper.Machine
	// Sent counts the messages that the node has sent.
	Sent carrier.Traffic
	// Changes are what the node has found out, in order.
	Changes []Change

	fleet       *Region
	isKilled    bool
	pausedUntil time.Time
}

// Change is a change with its time.
type Change struct {
	gossiper.Change

	// Time is when the node found out.
	Time time.Time
}

// NewRegion returns a region of nodes that start within half a second and know
// the first few of them.
func NewRegion(members int, seed uint64, weather carrier.Conditions, tuning gossiper.Tuning) *Region {
	ft := &Region{
		Faults:    carrier.NewFaults(seed, weather),
		tuning:    tuning,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC),
		byAddress: map[netip.AddrPort]*Node{},
	}
	for number := range members {
		ft.Nodes = append(ft.Nodes, &Node{
			fleet: ft,
		})
		ft.Start(number)
	}
	return ft
}

// Now returns the virtual time.
func (ft *Region) Now() time.Time { return ft.now }

// Member returns what a node calls itself when it starts.
func (ft *Region) Member(number int) messenger.Member {
	return messenger.Member{
		Name:        fmt.Sprintf("node-%d", number),
		Role:        reporter.Entry,
		Zone:        zones[number%len(zones)],
		PeerAddress: addressOf(number),
		Incarnation: uint64(ft.now.UnixMilli()),
	}
}

func addressOf(number int) netip.AddrPort {
	octet := byte(firstOctet + number%maxOctet)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, octet}), uint16(firstPort+number))
}

// Start starts a node, or starts it anew after a kill.
func (ft *Region) Start(number int) {
	seeds := []netip.AddrPort{}
	for seed := range min(seedCount, len(ft.Nodes)) {
		if seed != number {
			seeds = append(seeds, addressOf(seed))
		}
	}
	nd := &Node{
		fleet: ft,
	}
	nd.Machine = gossiper.NewMachine(ft.Member(number), ft.now, rand.New(rand.NewPCG(ft.random.Uint64(), 2)), ft.tuning, seeds...)
	ft.Nodes[number] = nd
	ft.byAddress[addressOf(number)] = nd
	ft.schedule(time.Duration(ft.random.Int64N(int64(maxStartDelay))), nd.tick)
}

// Kill ends a node at once.
func (ft *Region) Kill(number int) { ft.Nodes[number].isKilled = true }

// Leave ends a node as planned.
func (ft *Region) Leave(number int) {
	nd := ft.Nodes[number]
	nd.send(nd.Machine.Leave())
	nd.isKilled = true
}

// Pause pauses a node: its timers and messages wait.
func (ft *Region) Pause(number int, duration time.Duration) {
	ft.Nodes[number].pausedUntil = ft.now.Add(duration)
}

// PartitionZones loses all messages from one availability zone to another.
func (ft *Region) PartitionZones(from, to string) {
	ft.Faults.Partition(ft.addresses(from), ft.addresses(to))
}

// PartitionNode loses all messages from an availability zone to a node.
func (ft *Region) PartitionNode(from string, number int) {
	ft.Faults.Partition(ft.addresses(from), []netip.AddrPort{addressOf(number)})
}

// HealZones ends what CutZones began.
func (ft *Region) HealZones(from, to string) {
	ft.Faults.Heal(ft.addresses(from), ft.addresses(to))
}

func (ft *Region) addresses(zone string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for number := range ft.Nodes {
		if zones[number%len(zones)] == zone {
			addresses = append(addresses, addressOf(number))
		}
	}
	return addresses
}

// Run lets virtual time pass.
func (ft *Region) Run(duration time.Duration) {
	end := ft.now.Add(duration)
	for len(ft.events) > 0 && !ft.events[0].time.After(end) {
		et, ok := heap.Pop(&ft.events).(event)
		if !ok {
			return
		}
		ft.now = et.time
		et.act()
	}
	ft.now = end
}

// schedule has something done after a delay.
func (ft *Region) schedule(delay time.Duration, act func()) {
	ft.sequence++
	heap.Push(&ft.events, event{
		time:     ft.now.Add(delay),
		sequence: ft.sequence,
		act:      act,
	})
}

// tick calls the machine and plans the next call.
func (nd *Node) tick() {
	if nd.isKilled {
		return
	}
	if wait := nd.pausedUntil.Sub(nd.fleet.now); wait > 0 {
		nd.fleet.schedule(wait, nd.tick)
		return
	}
	if !nd.Machine.NextTick().After(nd.fleet.now) {
		nd.send(nd.Machine.Tick(nd.fleet.now))
	}
	nd.fleet.schedule(max(nd.Machine.NextTick().Sub(nd.fleet.now), time.Millisecond), nd.tick)
}

// send sends messages and notes changes.
func (nd *Node) send(envelopes []gossiper.Envelope) {
	ft := nd.fleet
	for _, change := range nd.Machine.Changes() {
		nd.Changes = append(nd.Changes, Change{
			Change: change,
			Time:   ft.now,
		})
	}
	from := nd.Machine.Self().PeerAddress
	for _, ee := range envelopes {
		data, err := messenger.Encode(ee.Message)
		if err != nil {
			continue
		}
		nd.Sent.Messages++
		nd.Sent.Bytes += len(data)
		for _, delay := range ft.Faults.Delays(from, ee.To) {
			ft.schedule(delay, func() { ft.deliver(from, ee.To, data) })
		}
	}
}

func (ft *Region) deliver(from, to netip.AddrPort, data []byte) {
	nd, ok := ft.byAddress[to]
	if !ok || nd.isKilled {
		return
	}
	if wait := nd.pausedUntil.Sub(ft.now); wait > 0 {
		ft.schedule(wait, func() { ft.deliver(from, to, data) })
		return
	}
	ms, err := messenger.Decode(data)
	if err == nil {
		nd.send(nd.Machine.Receive(ft.now, from, ms))
	}
}
