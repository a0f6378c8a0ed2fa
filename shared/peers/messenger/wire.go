package messenger

import "github.com/fxamacker/cbor/v2"

// The kinds of bodies. Numbers are never reused for another kind.
const (
	kindPing        = 1
	kindPingRequest = 2
	kindAck         = 3
	kindJoin        = 4
	kindMemberList  = 5
	kindFetch       = 6
	kindSnapshot    = 7
)

// The versions of the envelope. A change that old programs can ignore raises
// currentVersion; one that they must not ignore also raises minReaderVersion.
const (
	currentVersion   = 1
	minReaderVersion = 1
)

// wireEnvelope is an encoded message. Structs are encoded as maps with numeric
// keys, so that readers ignore unknown fields.
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

// wireBody is the union of the fields of all kinds.
type wireBody struct {
	Sequence      uint64             `cbor:"1,keyasint,omitempty"`
	Updates       []wireUpdate       `cbor:"2,keyasint,omitempty"`
	TopicVersions []wireTopicVersion `cbor:"3,keyasint,omitempty"`
	Target        []byte             `cbor:"4,keyasint,omitempty"`
	Topics        []string           `cbor:"5,keyasint,omitempty"`
	Data          []byte             `cbor:"6,keyasint,omitempty"`
}
