// Package messenger carries messages between the nodes of a region: over QUIC
// with mutual TLS, in CBOR. Messages are best effort: one may be lost, late,
// doubled or overtaken by another, and nothing tells the sender.
package messenger

import (
	"net/netip"

	"coltsfootwick.example/shared/process/reporter"
)

// Message is a message with its sender.
type Message struct {
	// Sender is the sender as it describes itself.
	Sender Member
	// Body is what is said.
	Body Body
}

// Body is what a message says: Ping, PingRequest, Ack, Join, Roster, Fetch,
// News or Unknown.
type Body interface {
	body()
}

// Member is a node as peers know it.
type Member struct {
	// Name is the node's name, unique in the organisation.
	Name string
	// Role is the kind of process.
	Role reporter.Role
	// Zone is the node's availability zone.
	Zone string
	// PeerAddress is where peers reach the node.
	PeerAddress netip.AddrPort
	// OperatorsAddress is where operators reach the node; it may be invalid.
	OperatorsAddress netip.AddrPort
	// Incarnation orders what is said of the node: a higher one replaces a
	// lower one. The node alone raises it.
	Incarnation uint64
	// Revision is the highest settings revision that the node has.
	Revision uint64
}

// State is what the fleet believes of a member. For equal incarnations a
// higher state replaces a lower one.
type State uint8

// The states of members.
const (
	// Alive members answer.
	Alive State = 1
	// Suspect members didn't answer and may still refute it.
	Suspect State = 2
	// Dead members didn't refute a suspicion in time.
	Dead State = 3
	// Left members have ended as planned.
	Left State = 4
)

// String returns the state in words.
func (se State) String() string {
	switch se {
	case Alive:
		return "alive"
	case Suspect:
		return "suspected"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Update is word about a member.
type Update struct {
	// Member is the member.
	Member Member
	// State is what is believed of it.
	State State
}

// Version orders the forms of what is held under a topic.
type Version struct {
	// Epoch is compared first.
	Epoch uint64
	// Number is compared within an epoch.
	Number uint64
}

// IsAfter tells whether the version is higher than another.
func (vn Version) IsAfter(other Version) bool {
	return vn.Epoch > other.Epoch || (vn.Epoch == other.Epoch && vn.Number > other.Number)
}

// TopicVersion tells which version of a topic a node has.
type TopicVersion struct {
	// Topic names what is held, such as settings.
	Topic string
	// Version is the version held.
	Version Version
}

// Ping asks a member for an Ack.
type Ping struct {
	// Sequence identifies the ping in its Ack.
	Sequence uint64
	// Updates are word about members.
	Updates []Update
	// TopicVersions are what the sender has.
	TopicVersions []TopicVersion
}

// PingRequest asks a member to ping another in the sender's place.
type PingRequest struct {
	// Sequence identifies the ping in its Ack.
	Sequence uint64
	// Target is the peer address of the member to ping.
	Target netip.AddrPort
	// Updates are word about members.
	Updates []Update
}

// Ack answers a Ping or a PingRequest.
type Ack struct {
	// Sequence is that of the Ping or PingRequest.
	Sequence uint64
	// Updates are word about members.
	Updates []Update
	// TopicVersions are what the sender has.
	TopicVersions []TopicVersion
}

// Join asks for a Roster.
type Join struct{}

// MemberList tells all that a node believes of members.
type MemberList struct {
	// Updates are word about members.
	Updates []Update
}

// Fetch asks for News about topics.
type Fetch struct {
	// Topics are what the sender wants.
	Topics []string
}

// Snapshot carries what is held under one topic.
type Snapshot struct {
	// TopicVersion is the topic and the version.
	TopicVersion TopicVersion
	// Data is the form that the topic's readers know.
	Data []byte
}

// Unknown is a body of a kind that only newer programs know. It is to be
// passed over.
type Unknown struct {
	// Kind is the number of the kind.
	Kind uint64
}

func (Ping) body()        {}
func (PingRequest) body() {}
func (Ack) body()         {}
func (Join) body()        {}
func (MemberList) body()  {}
func (Fetch) body()       {}
func (Snapshot) body()    {}
func (Unknown) body()     {}
