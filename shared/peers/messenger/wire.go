package messenger

import "github.com/fxamacker/cbor/v2"

// The kinds of bodies. Numbers are never used again for another kind.
const (
	kindPing        = 1
	kindPingRequest = 2
	kindAck         = 3
	kindJoin        = 4
	kindMemberList  = 5
	kindFetch       = 6
	kindSnapshot    = 7
)

// The versions of the envelope. A change that old programs can pass over
// raises the version; one that they must not pass over raises the least one.
const (
	currentVersion   = 1
	minReaderVersion = 1
)

// wireEnvelope is a message. Fields are maps by number, so that a reader passes
// over those it doesn't know.
type wireEnvelope struct {
	Version          uint64          `cbor:"1,keyasint"`
	MinReaderVersion uint64          `cbor:"2,keyasint"`
	Kind             uint64          `cbor:"3,keyasint"`
	Sender           wireMember      `cbor:"4,keyasint"`
	Body             cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

type wireMember struct {
	Name             string `cbor:"1,keyasint"`
	Role             string `cbor:"2,keyasint"`
	Zone             string `cbor:"3,keyasint"`
	PeerAddress      []byte `cbor:"4,keyasint"`
	OperatorsAddress []byte `cbor:"5,keyasint,omitempty"`
	Incarnation      uint64 `cbor:"6,keyasint"`
	Revision         uint64 `cbor:"7,keyasint"`
}

type wireUpdate struct {
	Member wireMember `cbor:"1,keyasint"`
	State  uint8      `cbor:"2,keyasint"`
}

type wireTopicVersion struct {
	Topic  string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
}

// wireBody holds the fields of all kinds.
type wireBody struct {
	Sequence      uint64             `cbor:"1,keyasint,omitempty"`
	Updates       []wireUpdate       `cbor:"2,keyasint,omitempty"`
	TopicVersions []wireTopicVersion `cbor:"3,keyasint,omitempty"`
	Target        []byte             `cbor:"4,keyasint,omitempty"`
	Topics        []string           `cbor:"5,keyasint,omitempty"`
	Data          []byte             `cbor:"6,keyasint,omitempty"`
}
