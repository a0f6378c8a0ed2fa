package messenger

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// The bounds of messages.
const (
	// MaxBytes bounds an encoded message: a value of the platform's service
	// with its envelope.
	MaxBytes = storer.MaxValueBytes + 4<<10
	// MaxUpdates bounds the updates of a message.
	MaxUpdates = 4096
	// MaxTopics bounds the topics and the holdings of a message.
	MaxTopics = 32
	// MaxTopicBytes bounds the name of a topic.
	MaxTopicBytes = 128
	// maxNesting is the depth that the wire structs need, with room for
	// fields to come.
	maxNesting = 8
)

// decoder refuses what encoders never write: doubled keys, items of
// indefinite length and tags.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: MaxUpdates,
		MaxMapPairs:      MaxTopics,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode returns the message of an encoded form, or a PeerMessageInvalid error.
// Fields that it doesn't know are passed over; a kind that it doesn't know gets
// an Unknown body.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxBytes {
		return Message{}, classifier.New(classifier.PeerMessageInvalid, "message of %d bytes is longer than %d", len(data), MaxBytes)
	}
	var wire wireEnvelope
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return Message{}, classifier.Wrap(err, classifier.PeerMessageInvalid, "envelope")
	}
	if wire.Version == 0 || wire.MinReaderVersion > currentVersion {
		return Message{}, classifier.New(classifier.PeerMessageInvalid, "version %d needs a reader of version %d, this is %d", wire.Version, wire.MinReaderVersion, currentVersion)
	}
	sender, err := decodeMember(wire.Sender)
	if err != nil {
		return Message{}, err
	}
	body, err := decodeBody(wire.Kind, wire.Body)
	if err != nil {
		return Message{}, err
	}
	return Message{
		Sender: sender,
		Body:   body,
	}, nil
}

func decodeBody(kind uint64, raw cbor.RawMessage) (Body, error) {
	if kind < kindPing || kind > kindSnapshot {
		return Unknown{
			Kind: kind,
		}, nil
	}
	var wire wireBody
	if err := decoder.Unmarshal(raw, &wire); err != nil {
		return nil, classifier.Wrap(err, classifier.PeerMessageInvalid, "body of kind %d", kind)
	}
	updates, err := decodeUpdates(wire.Updates)
	if err != nil {
		return nil, err
	}
	holdings, err := decodeTopicVersions(wire.TopicVersions)
	if err != nil {
		return nil, err
	}
	switch kind {
	case kindPing:
		return Ping{
			Sequence:      wire.Sequence,
			Updates:       updates,
			TopicVersions: holdings,
		}, nil
	case kindAck:
		return Ack{
			Sequence:      wire.Sequence,
			Updates:       updates,
			TopicVersions: holdings,
		}, nil
	case kindPingRequest:
		return decodePingRequest(wire, updates)
	case kindMemberList:
		return MemberList{
			Updates: updates,
		}, nil
	case kindFetch:
		return decodeFetch(wire)
	case kindSnapshot:
		return decodeSnapshot(wire, holdings)
	}
	return Join{}, nil
}

func decodePingRequest(wire wireBody, updates []Update) (Body, error) {
	target, err := decodeAddress(wire.Target)
	if err != nil {
		return nil, err
	}
	return PingRequest{
		Sequence: wire.Sequence,
		Target:   target,
		Updates:  updates,
	}, nil
}

func decodeFetch(wire wireBody) (Body, error) {
	if len(wire.Topics) > MaxTopics {
		return nil, classifier.New(classifier.PeerMessageInvalid, "%d topics", len(wire.Topics))
	}
	for _, topic := range wire.Topics {
		if err := checkTopic(topic); err != nil {
			return nil, err
		}
	}
	return Fetch{
		Topics: wire.Topics,
	}, nil
}

func decodeSnapshot(wire wireBody, holdings []TopicVersion) (Body, error) {
	if len(holdings) != 1 {
		return nil, classifier.New(classifier.PeerMessageInvalid, "news of %d topics", len(holdings))
	}
	return Snapshot{
		TopicVersion: holdings[0],
		Data:         wire.Data,
	}, nil
}

func decodeMember(wire wireMember) (Member, error) {
	id := certifier.Identity{
		Name: wire.Name,
		Role: reporter.Role(wire.Role),
		Zone: wire.Zone,
	}
	if err := id.Check(); err != nil {
		return Member{}, classifier.Wrap(err, classifier.PeerMessageInvalid, "member")
	}
	peer, err := decodeAddress(wire.PeerAddress)
	if err != nil {
		return Member{}, err
	}
	operators := netip.AddrPort{}
	if len(wire.OperatorsAddress) > 0 {
		operators, err = decodeAddress(wire.OperatorsAddress)
	}
	if err != nil {
		return Member{}, err
	}
	return Member{
		Name:             id.Name,
		Role:             id.Role,
		Zone:             id.Zone,
		PeerAddress:      peer,
		OperatorsAddress: operators,
		Incarnation:      wire.Incarnation,
		Revision:         wire.Revision,
	}, nil
}

func decodeUpdates(wire []wireUpdate) ([]Update, error) {
	var updates []Update
	for _, wu := range wire {
		member, err := decodeMember(wu.Member)
		if err != nil {
			return nil, err
		}
		state := State(wu.State)
		if state < Alive || state > Left {
			return nil, classifier.New(classifier.PeerMessageInvalid, "member %s in state %d", member.Name, state)
		}
		updates = append(updates, Update{
			Member: member,
			State:  state,
		})
	}
	return updates, nil
}

func decodeTopicVersions(wire []wireTopicVersion) ([]TopicVersion, error) {
	if len(wire) > MaxTopics {
		return nil, classifier.New(classifier.PeerMessageInvalid, "%d holdings", len(wire))
	}
	var holdings []TopicVersion
	for _, wh := range wire {
		if err := checkTopic(wh.Topic); err != nil {
			return nil, err
		}
		holdings = append(holdings, TopicVersion{
			Topic: wh.Topic,
			Version: Version{
				Epoch:  wh.Epoch,
				Number: wh.Number,
			},
		})
	}
	return holdings, nil
}

func checkTopic(topic string) error {
	if topic == "" || len(topic) > MaxTopicBytes {
		return classifier.New(classifier.PeerMessageInvalid, "topic of %d bytes", len(topic))
	}
	return nil
}

func decodeAddress(data []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil || !address.IsValid() || address.Port() == 0 {
		return netip.AddrPort{}, classifier.New(classifier.PeerMessageInvalid, "address of %d bytes", len(data))
	}
	return address, nil
}
