package journaler

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"coltsfootwick.example/shared/process/classifier"
)

type wirePage struct {
	_       struct{} `cbor:",toarray"`
	Records []wireRecord
}

type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Digest  Digest
	State   State
	Owner   string
	Serial  uint64
	Expires int64
	Status  int
	Answer  *wireAnswer
}

type wireAnswer struct {
	_      struct{} `cbor:",toarray"`
	Header map[string][]string
	Body   []byte
}

// encode returns the CBOR encoding of the page, with the records sorted by ID.
func encode(pe page) ([]byte, error) {
	wp := wirePage{Records: make([]wireRecord, 0, len(pe))}
	for id, rd := range pe {
		wr := wireRecord{
			ID:      id,
			Digest:  rd.Digest,
			State:   rd.State,
			Owner:   rd.Owner,
			Serial:  rd.Serial,
			Expires: rd.Expires.Unix(),
			Status:  rd.Status,
		}
		if rd.Answer != nil {
			wr.Answer = &wireAnswer{
				Header: rd.Answer.Header,
				Body:   rd.Answer.Body,
			}
		}
		wp.Records = append(wp.Records, wr)
	}
	slices.SortFunc(wp.Records, func(a, b wireRecord) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	data, err := cbor.Marshal(wp)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode journal page")
	}
	return data, nil
}

// decode returns the page encoded in data, or a RecordInvalid error.
func decode(data []byte) (page, error) {
	var wp wirePage
	if err := cbor.Unmarshal(data, &wp); err != nil {
		return nil, classifier.Wrap(err, classifier.RecordInvalid, "decode journal page")
	}
	pe := make(page, len(wp.Records))
	for _, wr := range wp.Records {
		if wr.State < Claimed || wr.State > Unresolved {
			return nil, classifier.New(classifier.RecordInvalid, "decode journal page: unknown record state %d", wr.State)
		}
		rd := Record{
			Digest:  wr.Digest,
			State:   wr.State,
			Owner:   wr.Owner,
			Serial:  wr.Serial,
			Expires: time.Unix(wr.Expires, 0),
			Status:  wr.Status,
		}
		if wr.Answer != nil {
			rd.Answer = &Answer{
				Header: http.Header(wr.Answer.Header),
				Body:   wr.Answer.Body,
			}
		}
		pe[wr.ID] = rd
	}
	return pe, nil
}
