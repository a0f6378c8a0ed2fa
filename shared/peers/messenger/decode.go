package messenger

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// The limits of messages.
const (
	// MaxBytes bounds the length of an encoded message: a value of the
	// platform's service with its envelope.
	MaxBytes = storer.MaxValueBytes + 4<<10
	// MaxUpdates bounds the number of updates in a message.
	MaxUpdates = 4096
	// MaxTopics bounds the number of topics and of topic versions in a message.
	MaxTopics = 32
	// MaxTopicBytes bounds the length of the name of a topic.
	MaxTopicBytes = 128
	// maxNesting is the nesting depth of the wire structs, with room for future
	// fields.
	maxNesting = 8
)

// decoder rejects CBOR that encoders never produce: duplicate keys, items of
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

// Decode returns the decoded message, or a PeerMessageInvalid error. It ignores
// unknown fields and returns an Unknown body for an unknown kind.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxBytes {
		return Message{}, classifier.New(classifier.PeerMessageInvalid, "message of %d bytes is longer than the limit of %d", len(data), MaxBytes)
	}
	var wire wireEnvelope
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return Message{}, classifier.Wrap(err, classifier.PeerMessageInvalid, "envelope")
	}
	if wire.Version == 0 || wire.MinReaderVersion > currentVersion {
		return Message{}, classifier.New(classifier.PeerMessageInvalid, "envelope of version %d requires a reader of version %d, this reader has version %d", wire.Version, wire.MinReaderVersion, currentVersion)
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
		return nil, classifier.Wrap(err, classifier.PeerMessageInvalid, "decode body of kind %d", kind)
	}
	updates, err := decodeUpdates(wire.Updates)
	if err != nil {
		return nil, err
	}
	versions, err := decodeTopicVersions(wire.TopicVersions)
	if err != nil {
		return nil, err
	}
	switch kind {
	case kindPing:
		return Ping{
			Sequence:      wire.Sequence,
			Updates:       updates,
			TopicVersions: versions,
		}, nil
	case kindAck:
		return Ack{
			Sequence:      wire.Sequence,
			Updates:       updates,
			TopicVersions: versions,
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
		return decodeSnapshot(wire, versions)
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
		return nil, classifier.New(classifier.PeerMessageInvalid, "fetch of %d topics exceeds the limit", len(wire.Topics))
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

func decodeSnapshot(wire wireBody, versions []TopicVersion) (Body, error) {
	if len(versions) != 1 {
		return nil, classifier.New(classifier.PeerMessageInvalid, "snapshot of %d topics, must be of one topic", len(versions))
	}
	return Snapshot{
		TopicVersion: versions[0],
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
			return nil, classifier.New(classifier.PeerMessageInvalid, "member %s has unknown state %d", member.Name, state)
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
		return nil, classifier.New(classifier.PeerMessageInvalid, "%d topic versions exceed the limit", len(wire))
	}
	var versions []TopicVersion
	for _, wv := range wire {
		if err := checkTopic(wv.Topic); err != nil {
			return nil, err
		}
		versions = append(versions, TopicVersion{
			Topic: wv.Topic,
			Version: Version{
				Epoch:  wv.Epoch,
				Number: wv.Number,
			},
		})
	}
	return versions, nil
}

func checkTopic(topic string) error {
	if topic == "" || len(topic) > MaxTopicBytes {
		return classifier.New(classifier.PeerMessageInvalid, "topic name of %d bytes is empty or too long", len(topic))
	}
	return nil
}

func decodeAddress(data []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil || !address.IsValid() || address.Port() == 0 {
		return netip.AddrPort{}, classifier.New(classifier.PeerMessageInvalid, "address of %d bytes is invalid", len(data))
	}
	return address, nil
}
