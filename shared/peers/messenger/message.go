// Package messenger provides message transport between the nodes of a region,
// over QUIC with mutual TLS and in CBOR. Delivery is best effort: messages may be
// lost, delayed, duplicated or reordered, without an error at the sender.
package messenger

import (
	"net/netip"

	"coltsfootwick.example/shared/process/reporter"
)

// Message is a message with its sender.
type Message struct {
	// Sender is the sending node, as stated by itself.
	Sender Member
	// Body is the content.
	Body Body
}

// Body is the content of a message: Ping, PingRequest, Ack, Join, MemberList,
// Fetch, Snapshot or Unknown.
type Body interface {
	body()
}

// Member describes a node to its peers.
type Member struct {
	// Name is the node's name, unique in the organisation.
	Name string
	// Role is the kind of process.
	Role reporter.Role
	// Zone is the node's availability zone.
	Zone string
	// PeerAddress is the address for peers.
	PeerAddress netip.AddrPort
	// OperatorsAddress is the address for operators; it may be invalid.
	OperatorsAddress netip.AddrPort
	// Incarnation orders the updates about the node: a higher one replaces a
	// lower one. Only the node itself raises it.
	Incarnation uint64
	// Revision is the highest settings revision that the node holds.
	Revision uint64
}

// State is the state of a member. For equal incarnations a higher state replaces
// a lower one.
type State uint8

// The states of members.
const (
	// Alive members acknowledge pings.
	Alive State = 1
	// Suspect members have not acknowledged a ping, and can still refute the
	// suspicion.
	Suspect State = 2
	// Dead members have not refuted a suspicion in time.
	Dead State = 3
	// Left members have announced their planned stop.
	Left State = 4
)

// String returns the name of the state.
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

// Update is the state of a member at an incarnation.
type Update struct {
	// Member is the member.
	Member Member
	// State is its state.
	State State
}

// Version is the version of a topic. Versions are ordered by epoch, then by
// number.
type Version struct {
	// Epoch is compared first.
	Epoch uint64
	// Number is compared within an epoch.
	Number uint64
}

// IsAfter reports whether the version is higher than another.
func (vn Version) IsAfter(other Version) bool {
	return vn.Epoch > other.Epoch || (vn.Epoch == other.Epoch && vn.Number > other.Number)
}

// TopicVersion is the version of a topic that a node holds.
type TopicVersion struct {
	// Topic is the name of the topic, such as settings.
	Topic string
	// Version is the version that the node holds.
	Version Version
}

// Ping requests an Ack from a member.
type Ping struct {
	// Sequence identifies the ping in its Ack.
	Sequence uint64
	// Updates are updates about members.
	Updates []Update
	// TopicVersions are the topic versions that the sender holds.
	TopicVersions []TopicVersion
}

// PingRequest requests a member to ping another one on behalf of the sender.
type PingRequest struct {
	// Sequence identifies the request in its Ack.
	Sequence uint64
	// Target is the peer address of the member to ping.
	Target netip.AddrPort
	// Updates are updates about members.
	Updates []Update
}

// Ack answers a Ping or a PingRequest.
type Ack struct {
	// Sequence is that of the Ping or PingRequest.
	Sequence uint64
	// Updates are updates about members.
	Updates []Update
	// TopicVersions are the topic versions that the sender holds.
	TopicVersions []TopicVersion
}

// Join requests a MemberList.
type Join struct{}

// MemberList contains the states of all members that the sender has.
type MemberList struct {
	// Updates are the states of the members.
	Updates []Update
}

// Fetch requests a Snapshot of each topic.
type Fetch struct {
	// Topics are the names of the topics.
	Topics []string
}

// Snapshot contains one topic at a version.
type Snapshot struct {
	// TopicVersion is the topic with its version.
	TopicVersion TopicVersion
	// Data is the topic's content, encoded by the package that owns the topic.
	Data []byte
}

// Unknown is a body of an unknown kind, from a newer program. Receivers ignore
// it.
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
