package relayer

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// wireEntry is an entry of a topic in the data of a snapshot.
type wireEntry struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// wireName is a name of a set in the data of a snapshot. Its age is independent
// of differences between the clocks of nodes.
type wireName struct {
	Name      string `cbor:"1,keyasint"`
	AgeMillis uint64 `cbor:"2,keyasint"`
}

// maxNameBytes bounds the length of a name.
const maxNameBytes = 255

func encodeEntries(entries []storer.Entry) ([]byte, error) {
	wire := make([]wireEntry, 0, len(entries))
	for _, et := range entries {
		wire = append(wire, wireEntry{
			Key:      et.Key,
			Value:    et.Value,
			Revision: uint64(et.Revision),
		})
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode entries")
	}
	return data, nil
}

// decodeEntries returns the entries of a topic at a revision, or a
// PeerMessageInvalid error.
func decodeEntries(prefix string, revision storer.Revision, data []byte) (map[string]storer.Entry, error) {
	var wire []wireEntry
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, classifier.Wrap(err, classifier.PeerMessageInvalid, "decode entries of %s", prefix)
	}
	entries := make(map[string]storer.Entry, len(wire))
	for _, we := range wire {
		if !strings.HasPrefix(we.Key, prefix) || storer.Revision(we.Revision) > revision {
			return nil, classifier.New(classifier.PeerMessageInvalid, "key %q at revision %d doesn't belong to topic %s at revision %d", we.Key, we.Revision, prefix, revision)
		}
		entries[we.Key] = storer.Entry{
			Key:      we.Key,
			Value:    we.Value,
			Revision: storer.Revision(we.Revision),
		}
	}
	return entries, nil
}

func encodeNames(ages map[string]time.Duration) ([]byte, error) {
	wire := make([]wireName, 0, len(ages))
	for name, age := range ages {
		wire = append(wire, wireName{
			Name:      name,
			AgeMillis: uint64(age.Milliseconds()),
		})
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode names")
	}
	return data, nil
}

// decodeNames returns the ages by name, or a PeerMessageInvalid error.
func decodeNames(data []byte, ttl time.Duration) (map[string]time.Duration, error) {
	var wire []wireName
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, classifier.Wrap(err, classifier.PeerMessageInvalid, "names")
	}
	ages := make(map[string]time.Duration, len(wire))
	for _, wn := range wire {
		if wn.Name == "" || len(wn.Name) > maxNameBytes || wn.AgeMillis > uint64(ttl.Milliseconds()) {
			return nil, classifier.New(classifier.PeerMessageInvalid, "name %q with an age of %d ms is out of range", wn.Name, wn.AgeMillis)
		}
		ages[wn.Name] = time.Duration(wn.AgeMillis) * time.Millisecond
	}
	return ages, nil
}
