package messenger

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"coltsfootwick.example/shared/process/classifier"
)

// Encode returns the message in CBOR. The error is PeerMessageInvalid for a
// message that peers would reject.
func Encode(ms Message) ([]byte, error) {
	kind, body, err := encodeBody(ms.Body)
	if err != nil {
		return nil, err
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode body of kind %d", kind)
	}
	data, err := cbor.Marshal(wireEnvelope{
		Version:          currentVersion,
		MinReaderVersion: minReaderVersion,
		Kind:             kind,
		Sender:           encodeMember(ms.Sender),
		Body:             raw,
	})
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode message of kind %d", kind)
	}
	if len(data) > MaxBytes {
		return nil, classifier.New(classifier.PeerMessageInvalid, "message of %d bytes is longer than the limit of %d", len(data), MaxBytes)
	}
	return data, nil
}

func encodeBody(body Body) (uint64, wireBody, error) {
	switch bd := body.(type) {
	case Ping:
		return kindPing, wireBody{
			Sequence:      bd.Sequence,
			Updates:       encodeUpdates(bd.Updates),
			TopicVersions: encodeTopicVersions(bd.TopicVersions),
		}, nil
	case PingRequest:
		return kindPingRequest, wireBody{
			Sequence: bd.Sequence,
			Updates:  encodeUpdates(bd.Updates),
			Target:   encodeAddress(bd.Target),
		}, nil
	case Ack:
		return kindAck, wireBody{
			Sequence:      bd.Sequence,
			Updates:       encodeUpdates(bd.Updates),
			TopicVersions: encodeTopicVersions(bd.TopicVersions),
		}, nil
	case Join:
		return kindJoin, wireBody{}, nil
	case MemberList:
		return kindMemberList, wireBody{
			Updates: encodeUpdates(bd.Updates),
		}, nil
	case Fetch:
		return kindFetch, wireBody{
			Topics: bd.Topics,
		}, nil
	case Snapshot:
		return kindSnapshot, wireBody{
			TopicVersions: encodeTopicVersions([]TopicVersion{bd.TopicVersion}),
			Data:          bd.Data,
		}, nil
	}
	return 0, wireBody{}, classifier.New(classifier.PeerMessageInvalid, "message body of type %T can't be encoded", body)
}

func encodeMember(mb Member) wireMember {
	return wireMember{
		Name:             mb.Name,
		Role:             string(mb.Role),
		Zone:             mb.Zone,
		PeerAddress:      encodeAddress(mb.PeerAddress),
		OperatorsAddress: encodeAddress(mb.OperatorsAddress),
		Incarnation:      mb.Incarnation,
		Revision:         mb.Revision,
	}
}

func encodeUpdates(updates []Update) []wireUpdate {
	wire := make([]wireUpdate, 0, len(updates))
	for _, update := range updates {
		wire = append(wire, wireUpdate{
			Member: encodeMember(update.Member),
			State:  uint8(update.State),
		})
	}
	return wire
}

func encodeTopicVersions(versions []TopicVersion) []wireTopicVersion {
	wire := make([]wireTopicVersion, 0, len(versions))
	for _, tv := range versions {
		wire = append(wire, wireTopicVersion{
			Topic:  tv.Topic,
			Epoch:  tv.Version.Epoch,
			Number: tv.Version.Number,
		})
	}
	return wire
}

// encodeAddress returns nil for an invalid address.
func encodeAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	data, _ := address.MarshalBinary()
	return data
}
