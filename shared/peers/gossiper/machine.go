// Package gossiper provides the membership of a region by a SWIM protocol: in
// each period a node pings one member, has other members ping it indirectly if
// it doesn't acknowledge, and suspects it if no ping is acknowledged. A
// suspected member refutes the suspicion by raising its incarnation, or is
// declared dead after a timeout. Member updates are piggybacked on pings and
// acknowledgements, so a node's traffic doesn't grow with the number of members.
//
// Machine is the pure state machine: it gets the time and a source of randomness
// as arguments and returns the messages to send. Gossiper runs a Machine over a
// Transport.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// Envelope is a message to send, with its destination.
type Envelope struct {
	// To is the peer address of the receiver.
	To netip.AddrPort
	// Message is the message.
	Message messenger.Message
}

// Machine is the membership protocol of one node. It is not safe for concurrent
// use.
type Machine struct {
	tuning Tuning
	random *rand.Rand
	self   messenger.Member
	// isLeaving is true once the node has announced its planned stop.
	isLeaving bool
	seeds     []netip.AddrPort
	// topicVersions are included in pings and acknowledgements.
	topicVersions []messenger.TopicVersion

	records map[string]*memberRecord
	// probeOrder holds the members in random order, nextProbe is the index of
	// the next one to probe.
	probeOrder []string
	nextProbe  int
	gossipQueue

	sequence uint64
	probe    *probe
	// indirectPings holds the pings sent on behalf of other members, by
	// sequence number.
	indirectPings map[uint64]indirectPing
	// lastReceived is when the last message was received.
	lastReceived time.Time
	// nextPeriod is when the next period starts.
	nextPeriod    time.Time
	nextReconnect time.Time
	outgoing      []Envelope
	changes       []Change
}

// Change is a change of a member's state.
type Change struct {
	// Update is the member with its new state.
	Update messenger.Update
	// Previous is the previous state; zero if the member was unknown.
	Previous messenger.State
}

// memberRecord is the local view of another member.
type memberRecord struct {
	update messenger.Update
	// stateSince is when the member entered its state.
	stateSince time.Time
	// isLocalSuspicion is true if this node started the suspicion.
	isLocalSuspicion bool
}

// isLive reports whether the member is alive or suspected.
func (rd *memberRecord) isLive() bool {
	return rd.update.State == messenger.Alive || rd.update.State == messenger.Suspect
}

// NewMachine returns the machine of a node, whose incarnation must be higher
// than at its earlier starts. Seeds are peer addresses through which the node
// joins; a seed is contacted again whenever no known member has its address.
func NewMachine(self messenger.Member, now time.Time, random *rand.Rand, tuning Tuning, seeds ...netip.AddrPort) *Machine {
	return &Machine{
		tuning:        tuning,
		random:        random,
		self:          self,
		seeds:         seeds,
		records:       map[string]*memberRecord{},
		indirectPings: map[uint64]indirectPing{},
		lastReceived:  now,
		nextPeriod:    now,
		nextReconnect: now,
	}
}

// Self returns the node itself.
func (mc *Machine) Self() messenger.Member { return mc.self }

// AddSeeds adds peer addresses through which the node joins.
func (mc *Machine) AddSeeds(seeds ...netip.AddrPort) {
	for _, seed := range seeds {
		if !contains(mc.seeds, seed) {
			mc.seeds = append(mc.seeds, seed)
		}
	}
}

// SetTopicVersions sets the settings revision and the topic versions to include
// in pings and acknowledgements.
func (mc *Machine) SetTopicVersions(revision uint64, versions []messenger.TopicVersion) {
	mc.self.Revision = revision
	mc.topicVersions = versions
}

// Live returns the other members that are alive or suspected, in no order.
func (mc *Machine) Live() []messenger.Update {
	live := make([]messenger.Update, 0, len(mc.records))
	for _, rd := range mc.records {
		if rd.isLive() {
			live = append(live, rd.update)
		}
	}
	return live
}

// State returns the state of a member, or zero for an unknown member.
func (mc *Machine) State(name string) messenger.State {
	if rd, ok := mc.records[name]; ok {
		return rd.update.State
	}
	return 0
}

// Changes returns the changes since the last call.
func (mc *Machine) Changes() []Change {
	changes := mc.changes
	mc.changes = nil
	return changes
}

// Leave marks the node as leaving as planned, and returns the messages that
// announce it.
func (mc *Machine) Leave() []Envelope {
	mc.isLeaving = true
	update := messenger.Update{
		Member: mc.self,
		State:  messenger.Left,
	}
	mc.disseminate(update)
	for _, rd := range mc.pickLive(mc.tuning.LeaveFanout, "") {
		mc.send(rd.update.Member.PeerAddress, messenger.Ping{
			Updates: []messenger.Update{update},
		})
	}
	return mc.flush()
}

// send queues a message for the next flush.
func (mc *Machine) send(to netip.AddrPort, body messenger.Body) {
	mc.outgoing = append(mc.outgoing, Envelope{
		To: to,
		Message: messenger.Message{
			Sender: mc.self,
			Body:   body,
		},
	})
}

// flush returns the queued messages and empties the queue.
func (mc *Machine) flush() []Envelope {
	outgoing := mc.outgoing
	mc.outgoing = nil
	return outgoing
}

// nextSequence returns a new sequence number.
func (mc *Machine) nextSequence() uint64 {
	mc.sequence++
	return mc.sequence
}

func contains(addresses []netip.AddrPort, address netip.AddrPort) bool {
	for _, other := range addresses {
		if other == address {
			return true
		}
	}
	return false
}
