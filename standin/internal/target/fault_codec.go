package target

import (
	"bytes"
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// wireFault is the JSON form of a fault, for POST /faults.
type wireFault struct {
	Fault   string `json:"fault"`
	Count   int    `json:"count,omitempty"`
	InBody  bool   `json:"inBody,omitempty"`
	Offset  int    `json:"offset,omitempty"`
	Chunked bool   `json:"chunked,omitempty"`
	Length  string `json:"length,omitempty"`
	Held    bool   `json:"held,omitempty"`
	Bytes   int    `json:"bytes,omitempty"`
}

// DefaultSwapWait is the wait for a second answer if a crossed fault has no length.
const DefaultSwapWait = time.Second

// EncodeFault returns a fault and its count as JSON.
func EncodeFault(ft Fault, count int) ([]byte, error) {
	wf := wireFault{
		Count: count,
	}
	switch kind := ft.(type) {
	case None:
		wf.Fault = "none"
	case Crash:
		wf.Fault = "crash"
	case Stall:
		wf.Fault = "stall"
		wf.setOffset(kind.Offset)
		wf.Length = kind.Length.String()
	case Late:
		wf.Fault = "late"
		wf.Length = kind.Length.String()
	case Crossed:
		wf.Fault = "crossed"
		wf.Length = kind.Wait.String()
	case CutShort:
		wf.Fault = "cutShort"
		wf.setOffset(kind.Offset)
		wf.Bytes = kind.Bytes
	case FailFast:
		wf.Fault = "failFast"
	case Doubled:
		wf.Fault = "doubled"
		wf.Held = kind.Held
	case Oversized:
		wf.Fault = "oversized"
		wf.Bytes = kind.Bytes
	case Draining:
		wf.Fault = "draining"
	default:
		return nil, classifier.New(classifier.Internal, "fault %T can't be encoded", ft)
	}
	return json.Marshal(wf)
}

// DecodeFault decodes a fault and its count from the form of EncodeFault. Errors
// carry the code MalformedRequest.
func DecodeFault(data []byte) (Fault, int, error) {
	var wf wireFault
	decoding := json.NewDecoder(bytes.NewReader(data))
	decoding.DisallowUnknownFields()
	if err := decoding.Decode(&wf); err != nil {
		return nil, 0, classifier.Wrap(err, classifier.MalformedRequest, "decode fault")
	}
	length, err := wf.duration()
	if err != nil {
		return nil, 0, err
	}
	if wf.Count < 0 || wf.Offset < 0 || wf.Bytes < 0 || length < 0 {
		return nil, 0, classifier.New(classifier.MalformedRequest, "fault %q: count, offset, bytes and length must not be negative", wf.Fault)
	}
	ft, err := wf.decode(length)
	return ft, wf.Count, err
}

func (wf *wireFault) decode(length time.Duration) (Fault, error) {
	switch wf.Fault {
	case "none":
		return None{}, nil
	case "crash":
		return Crash{}, nil
	case "stall":
		return Stall{
			Offset: wf.offset(),
			Length: length,
		}, nil
	case "late":
		return Late{
			Length: length,
		}, nil
	case "crossed":
		if length == 0 {
			length = DefaultSwapWait
		}
		return Crossed{
			Wait: length,
		}, nil
	case "cutShort":
		return CutShort{
			Offset: wf.offset(),
			Bytes:  wf.Bytes,
		}, nil
	case "failFast":
		return FailFast{}, nil
	case "doubled":
		return Doubled{
			Held: wf.Held,
		}, nil
	case "oversized":
		return Oversized{
			Bytes: wf.Bytes,
		}, nil
	case "draining":
		return Draining{}, nil
	default:
		return nil, classifier.New(classifier.MalformedRequest, "unknown fault %q", wf.Fault)
	}
}

func (wf *wireFault) duration() (time.Duration, error) {
	if wf.Length == "" {
		return 0, nil
	}
	length, err := time.ParseDuration(wf.Length)
	if err != nil {
		return 0, classifier.Wrap(err, classifier.MalformedRequest, "fault %q: parse length", wf.Fault)
	}
	return length, nil
}

func (wf *wireFault) setOffset(ot Offset) {
	wf.InBody = ot.InBody
	wf.Offset = ot.Bytes
	wf.Chunked = ot.Chunked
}

func (wf *wireFault) offset() Offset {
	return Offset{
		InBody:  wf.InBody,
		Bytes:   wf.Offset,
		Chunked: wf.Chunked,
	}
}
