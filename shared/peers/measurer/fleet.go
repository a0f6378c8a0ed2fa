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
	firstPort  = 10000
	seedCount  = 3
	startSpan  = 500 * time.Millisecond
	maxOctet   = 250
	firstOctet = 1
)

// zones are the availability zones that nodes are spread over.
var zones = []string{"a", "b", "c"}

// Fleet is a region in virtual time.
type Fleet struct {
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

	fleet       *Fleet
	isKilled    bool
	frozenUntil time.Time
}

// Change is a change with its time.
type Change struct {
	gossiper.Change

	// Time is when the node found out.
	Time time.Time
}

// NewFleet returns a region of nodes that start within half a second and know
// the first few of them.
func NewFleet(members int, seed uint64, weather carrier.Conditions, tuning gossiper.Tuning) *Fleet {
	ft := &Fleet{
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
func (ft *Fleet) Now() time.Time { return ft.now }

// Member returns what a node calls itself when it starts.
func (ft *Fleet) Member(number int) messenger.Member {
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
func (ft *Fleet) Start(number int) {
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
	ft.at(time.Duration(ft.random.Int64N(int64(startSpan))), nd.tick)
}

// Kill ends a node at once.
func (ft *Fleet) Kill(number int) { ft.Nodes[number].isKilled = true }

// Leave ends a node as planned.
func (ft *Fleet) Leave(number int) {
	nd := ft.Nodes[number]
	nd.post(nd.Machine.Leave())
	nd.isKilled = true
}

// Freeze pauses a node: its timers and messages wait.
func (ft *Fleet) Freeze(number int, duration time.Duration) {
	ft.Nodes[number].frozenUntil = ft.now.Add(duration)
}

// CutZones loses all messages from one availability zone to another.
func (ft *Fleet) CutZones(from, to string) {
	ft.Faults.Cut(ft.addresses(from), ft.addresses(to))
}

// CutNode loses all messages from an availability zone to a node.
func (ft *Fleet) CutNode(from string, number int) {
	ft.Faults.Cut(ft.addresses(from), []netip.AddrPort{addressOf(number)})
}

// HealZones ends what CutZones began.
func (ft *Fleet) HealZones(from, to string) {
	ft.Faults.Heal(ft.addresses(from), ft.addresses(to))
}

func (ft *Fleet) addresses(zone string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for number := range ft.Nodes {
		if zones[number%len(zones)] == zone {
			addresses = append(addresses, addressOf(number))
		}
	}
	return addresses
}

// Run lets virtual time pass.
func (ft *Fleet) Run(duration time.Duration) {
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

// at has something done after a delay.
func (ft *Fleet) at(delay time.Duration, act func()) {
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
	if wait := nd.frozenUntil.Sub(nd.fleet.now); wait > 0 {
		nd.fleet.at(wait, nd.tick)
		return
	}
	if !nd.Machine.Next().After(nd.fleet.now) {
		nd.post(nd.Machine.Tick(nd.fleet.now))
	}
	nd.fleet.at(max(nd.Machine.Next().Sub(nd.fleet.now), time.Millisecond), nd.tick)
}

// post sends messages and notes changes.
func (nd *Node) post(envelopes []gossiper.Envelope) {
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
		for _, delay := range ft.Faults.Plan(from, ee.To) {
			ft.at(delay, func() { ft.deliver(from, ee.To, data) })
		}
	}
}

func (ft *Fleet) deliver(from, to netip.AddrPort, data []byte) {
	nd, ok := ft.byAddress[to]
	if !ok || nd.isKilled {
		return
	}
	if wait := nd.frozenUntil.Sub(ft.now); wait > 0 {
		ft.at(wait, func() { ft.deliver(from, to, data) })
		return
	}
	ms, err := messenger.Decode(data)
	if err == nil {
		nd.post(nd.Machine.Receive(ft.now, from, ms))
	}
}
