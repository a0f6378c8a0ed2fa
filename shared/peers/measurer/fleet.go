// Package measurer simulates the membership of a region in virtual time, without
// goroutines, and returns measurements. Equal seeds give equal results.
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

// zones are the availability zones of the nodes.
var zones = []string{"a", "b", "c"}

// Region is a simulated region in virtual time.
type Region struct {
	// Faults are the faults of the network.
	Faults *carrier.Faults
	// Nodes are the nodes by number, in the zones a, b and c in turn.
	Nodes []*Node

	tuning    gossiper.Tuning
	random    *rand.Rand
	now       time.Time
	events    events
	sequence  int
	byAddress map[netip.AddrPort]*Node
}

// Node is a simulated node.
type Node struct {
	// Machine is the node's membership.
	Machine *gossiper.Machine
	// Sent is the traffic that the node has sent.
	Sent carrier.Traffic
	// Changes are the changes of members that the node has seen, in order.
	Changes []Change

	region      *Region
	isKilled    bool
	pausedUntil time.Time
}

// Change is a change of a member with its time.
type Change struct {
	gossiper.Change

	// Time is when the node saw the change.
	Time time.Time
}

// NewRegion returns a region of nodes that start within maxStartDelay and have the
// first seedCount nodes as seeds.
func NewRegion(members int, seed uint64, conditions carrier.Conditions, tuning gossiper.Tuning) *Region {
	rn := &Region{
		Faults:    carrier.NewFaults(seed, conditions),
		tuning:    tuning,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC),
		byAddress: map[netip.AddrPort]*Node{},
	}
	for number := range members {
		rn.Nodes = append(rn.Nodes, &Node{
			region: rn,
		})
		rn.Start(number)
	}
	return rn
}

// Now returns the virtual time.
func (rn *Region) Now() time.Time { return rn.now }

// Member returns the member with which a node starts.
func (rn *Region) Member(number int) messenger.Member {
	return messenger.Member{
		Name:        fmt.Sprintf("node-%d", number),
		Role:        reporter.Entry,
		Zone:        zones[number%len(zones)],
		PeerAddress: addressOf(number),
		Incarnation: uint64(rn.now.UnixMilli()),
	}
}

func addressOf(number int) netip.AddrPort {
	octet := byte(firstOctet + number%maxOctet)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, octet}), uint16(firstPort+number))
}

// Start starts a node, or restarts it after a kill.
func (rn *Region) Start(number int) {
	seeds := []netip.AddrPort{}
	for seed := range min(seedCount, len(rn.Nodes)) {
		if seed != number {
			seeds = append(seeds, addressOf(seed))
		}
	}
	nd := &Node{
		region: rn,
	}
	nd.Machine = gossiper.NewMachine(rn.Member(number), rn.now, rand.New(rand.NewPCG(rn.random.Uint64(), 2)), rn.tuning, seeds...)
	rn.Nodes[number] = nd
	rn.byAddress[addressOf(number)] = nd
	rn.schedule(time.Duration(rn.random.Int64N(int64(maxStartDelay))), nd.tick)
}

// Kill stops a node without announcing it.
func (rn *Region) Kill(number int) { rn.Nodes[number].isKilled = true }

// Leave stops a node as planned.
func (rn *Region) Leave(number int) {
	nd := rn.Nodes[number]
	nd.send(nd.Machine.Leave())
	nd.isKilled = true
}

// Pause pauses a node: its timers and received messages are delayed until the end
// of the pause.
func (rn *Region) Pause(number int, duration time.Duration) {
	rn.Nodes[number].pausedUntil = rn.now.Add(duration)
}

// PartitionZones drops all messages from one availability zone to another.
func (rn *Region) PartitionZones(from, to string) {
	rn.Faults.Partition(rn.addresses(from), rn.addresses(to))
}

// PartitionNode drops all messages from an availability zone to a node.
func (rn *Region) PartitionNode(from string, number int) {
	rn.Faults.Partition(rn.addresses(from), []netip.AddrPort{addressOf(number)})
}

// HealZones ends the partition from one availability zone to another.
func (rn *Region) HealZones(from, to string) {
	rn.Faults.Heal(rn.addresses(from), rn.addresses(to))
}

func (rn *Region) addresses(zone string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for number := range rn.Nodes {
		if zones[number%len(zones)] == zone {
			addresses = append(addresses, addressOf(number))
		}
	}
	return addresses
}

// Run advances virtual time.
func (rn *Region) Run(duration time.Duration) {
	end := rn.now.Add(duration)
	for len(rn.events) > 0 && !rn.events[0].time.After(end) {
		et, ok := heap.Pop(&rn.events).(event)
		if !ok {
			return
		}
		rn.now = et.time
		et.run()
	}
	rn.now = end
}

// schedule schedules a function to be called after a delay.
func (rn *Region) schedule(delay time.Duration, run func()) {
	rn.sequence++
	heap.Push(&rn.events, event{
		time:     rn.now.Add(delay),
		sequence: rn.sequence,
		run:      run,
	})
}

// tick calls the machine if it is due, and schedules the next call.
func (nd *Node) tick() {
	if nd.isKilled {
		return
	}
	if wait := nd.pausedUntil.Sub(nd.region.now); wait > 0 {
		nd.region.schedule(wait, nd.tick)
		return
	}
	if !nd.Machine.NextTick().After(nd.region.now) {
		nd.send(nd.Machine.Tick(nd.region.now))
	}
	nd.region.schedule(max(nd.Machine.NextTick().Sub(nd.region.now), time.Millisecond), nd.tick)
}

// send sends messages and records the changes of the machine.
func (nd *Node) send(envelopes []gossiper.Envelope) {
	rn := nd.region
	for _, change := range nd.Machine.Changes() {
		nd.Changes = append(nd.Changes, Change{
			Change: change,
			Time:   rn.now,
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
		for _, delay := range rn.Faults.Delays(from, ee.To) {
			rn.schedule(delay, func() { rn.deliver(from, ee.To, data) })
		}
	}
}

func (rn *Region) deliver(from, to netip.AddrPort, data []byte) {
	nd, ok := rn.byAddress[to]
	if !ok || nd.isKilled {
		return
	}
	if wait := nd.pausedUntil.Sub(rn.now); wait > 0 {
		rn.schedule(wait, func() { rn.deliver(from, to, data) })
		return
	}
	ms, err := messenger.Decode(data)
	if err == nil {
		nd.send(nd.Machine.Receive(rn.now, from, ms))
	}
}
