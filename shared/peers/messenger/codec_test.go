package messenger_test

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/peers/messenger"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

var (
	sender = messenger.Member{
		Name:             "entry-a1",
		Role:             "entry",
		Zone:             "a",
		PeerAddress:      netip.MustParseAddrPort("127.0.0.1:7100"),
		OperatorsAddress: netip.MustParseAddrPort("[::1]:7101"),
		Incarnation:      5,
		Revision:         7,
	}
	updates       = []messenger.Update{{Member: sender, State: messenger.Suspect}}
	topicVersions = []messenger.TopicVersion{{Topic: "settings", Version: messenger.Version{Epoch: 1, Number: 7}}}
	bodies        = []messenger.Body{
		messenger.Ping{Sequence: 1, Updates: updates, TopicVersions: topicVersions},
		messenger.PingRequest{Sequence: 2, Target: sender.PeerAddress, Updates: updates},
		messenger.Ack{Sequence: 3, Updates: updates, TopicVersions: topicVersions},
		messenger.Join{},
		messenger.MemberList{Updates: updates},
		messenger.Fetch{Topics: []string{"settings"}},
		messenger.Snapshot{TopicVersion: topicVersions[0], Data: []byte("data")},
	}
)

func encode(t testing.TB, body messenger.Body) []byte {
	data, err := messenger.Encode(messenger.Message{Sender: sender, Body: body})
	must.NoError(t, err)
	return data
}

func TestBodiesRoundTrip(t *testing.T) {
	for _, body := range bodies {
		ms, err := messenger.Decode(encode(t, body))
		must.NoError(t, err)
		must.Eq(t, messenger.Message{Sender: sender, Body: body}, ms)
	}
}

func TestUnknownFieldsAndKindsAreIgnored(t *testing.T) {
	var envelope map[int]any
	must.NoError(t, cbor.Unmarshal(encode(t, bodies[5]), &envelope))
	envelope[99] = "later"
	envelope[1] = 2
	data, err := cbor.Marshal(envelope)
	must.NoError(t, err)
	ms, err := messenger.Decode(data)
	must.NoError(t, err)
	must.Eq(t, bodies[5], ms.Body)
	envelope[3] = 1000
	envelope[5] = "body of another form"
	data, err = cbor.Marshal(envelope)
	must.NoError(t, err)
	ms, err = messenger.Decode(data)
	must.NoError(t, err)
	must.Eq(t, messenger.Body(messenger.Unknown{Kind: 1000}), ms.Body)
	envelope[2] = 2
	data, err = cbor.Marshal(envelope)
	must.NoError(t, err)
	_, err = messenger.Decode(data)
	must.Eq(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	full := messenger.Snapshot{TopicVersion: topicVersions[0], Data: make([]byte, storer.MaxValueBytes)}
	_, err := messenger.Decode(encode(t, full))
	must.NoError(t, err)
	full.Data = make([]byte, messenger.MaxBytes)
	_, err = messenger.Encode(messenger.Message{Sender: sender, Body: full})
	must.Eq(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
	_, err = messenger.Decode(make([]byte, messenger.MaxBytes+1))
	must.Eq(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
}

// FuzzDecode checks that each message that Decode accepts round-trips unchanged,
// and that Decode rejects all other data with PeerMessageInvalid.
func FuzzDecode(fz *testing.F) {
	for _, body := range bodies {
		data := encode(fz, body)
		fz.Add(data)
		fz.Add(data[:len(data)-1])
	}
	fz.Fuzz(func(t *testing.T, data []byte) {
		ms, err := messenger.Decode(data)
		if err != nil {
			must.Eq(t, classifier.PeerMessageInvalid, classifier.CodeOf(err))
			return
		}
		if _, ok := ms.Body.(messenger.Unknown); ok {
			return
		}
		encoded, err := messenger.Encode(ms)
		must.NoError(t, err)
		roundTripped, err := messenger.Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, ms, roundTripped)
	})
}
