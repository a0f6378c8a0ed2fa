// Package gossiper keeps the list of the live members of a region, in the
// manner of SWIM: each period a node pings one member, asks others to ping it
// in its place when no answer comes, and suspects it when none reaches it. A
// suspected member refutes by raising its incarnation, or is dropped as dead
// after a time. Word about members travels on the pings and their answers, so
// the traffic of a node doesn't grow with the number of members.
//
// Machine is the pure state machine: time and randomness come in as arguments,
// and messages go out as return values. Gossiper drives one over a Transport.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"coltsfootwick.example/shared/peers/messenger"
)

// Envelope is a message to be sent.
type Envelope struct {
	// To is the peer address of the receiver.
	To netip.AddrPort
	// Message is the message.
	Message messenger.Message
}

// Machine is the membership as one node sees it. It is not safe for concurrent
// use.
type Machine struct {
	tuning Tuning
	random *rand.Rand
	self   messenger.Member
	// isLeaving is true once a planned stop has been told of.
	isLeaving bool
	seeds     []netip.AddrPort
	// topicVersions are told in pings and acks.
	topicVersions []messenger.TopicVersion

	records map[string]*memberRecord
	// probeOrder is a random probeOrder of the members to ping, turn the next of them.
	probeOrder []string
	nextProbe  int
	gossipQueue

	sequence uint64
	probe    *probe
	// indirectPings are the pings made in the place of others, by sequence.
	indirectPings map[uint64]indirectPing
	// lastReceived is when the last message came in.
	lastReceived time.Time
	// nextPeriod is when the next period starts.
	nextPeriod    time.Time
	nextReconnect time.Time
	outgoing      []Envelope
	changes       []Change
}

// Change is a change of what is believed of a member.
type Change struct {
	// Update is the member with its new state.
	Update messenger.Update
	// Previous is the state before; zero if it was unknown.
	Previous messenger.State
}

// memberRecord is what is believed of another member.
type memberRecord struct {
	update messenger.Update
	// stateSince is when the state was taken on.
	stateSince time.Time
	// isLocalSuspicion is true if the node itself suspected the member.
	isLocalSuspicion bool
}

// isLive tells whether the member takes part.
func (rd *memberRecord) isLive() bool {
	return rd.update.State == messenger.Alive || rd.update.State == messenger.Suspect
}

// NewMachine returns the machine of a node whose incarnation is higher than at
// its earlier starts. Seeds are peer addresses of members to begin with; they
// are tried again whenever no live member has them.
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

// AddSeeds adds peer addresses to begin with.
func (mc *Machine) AddSeeds(seeds ...netip.AddrPort) {
	for _, seed := range seeds {
		if !contains(mc.seeds, seed) {
			mc.seeds = append(mc.seeds, seed)
		}
	}
}

// SetTopicVersions sets what pings and acks tell of what the node has.
func (mc *Machine) SetTopicVersions(revision uint64, holdings []messenger.TopicVersion) {
	mc.self.Revision = revision
	mc.topicVersions = holdings
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

// State returns what is believed of a member, or zero for an unknown one.
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

// Leave tells members that the node ends as planned, and returns what to send.
func (mc *Machine) Leave() []Envelope {
	mc.isLeaving = true
	word := messenger.Update{
		Member: mc.self,
		State:  messenger.Left,
	}
	mc.disseminate(word)
	for _, rd := range mc.pickLive(mc.tuning.LeaveFanout, "") {
		mc.send(rd.update.Member.PeerAddress, messenger.Ping{
			Updates: []messenger.Update{word},
		})
	}
	return mc.flush()
}

// send queues a message.
func (mc *Machine) send(to netip.AddrPort, body messenger.Body) {
	mc.outgoing = append(mc.outgoing, Envelope{
		To: to,
		Message: messenger.Message{
			Sender: mc.self,
			Body:   body,
		},
	})
}

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
