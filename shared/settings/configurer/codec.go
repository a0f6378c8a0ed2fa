package configurer

import (
	"bytes"
	"encoding/json"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// wireRecord is the stored form of a Record.
type wireRecord struct {
	ChangeID string    `json:"changeId"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
	Source   string    `json:"source"`
}

// Encode returns the stored form of settings, which contains their source and
// not the effective values. If it exceeds the maximum value size of the
// platform's service, the error is SettingsTooLarge.
func Encode(settings Settings) ([]byte, error) { return EncodeRecord(recordOf(settings)) }

// Decode decodes the stored form of settings and parses the source again. The
// error is RecordInvalid if the stored form or its source is invalid.
func Decode(data []byte) (Settings, error) {
	rc, err := DecodeRecord(data)
	if err != nil {
		return Settings{}, err
	}
	settings, err := rc.Settings()
	if err != nil {
		return Settings{}, classifier.Wrap(err, classifier.RecordInvalid, "parse source of settings revision %d", rc.Revision)
	}
	return settings, nil
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(rc Record) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(wireRecord{
		Revision: rc.Revision,
		ChangeID: rc.ChangeID,
		Author:   rc.Author,
		Time:     rc.Time,
		Reason:   rc.Reason,
		Source:   rc.Source,
	})
	if err != nil {
		return nil, classifier.Wrap(err, classifier.Internal, "encode settings record")
	}
	if buffer.Len() > storer.MaxValueBytes {
		return nil, classifier.New(classifier.SettingsTooLarge, "the record is %d bytes long, but must be at most %d", buffer.Len(), storer.MaxValueBytes)
	}
	return buffer.Bytes(), nil
}

// DecodeRecord decodes the stored form of a record without parsing its source.
// It ignores unknown fields.
func DecodeRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, classifier.Wrap(err, classifier.RecordInvalid, "decode settings record")
	}
	if wire.Revision == 0 {
		return Record{}, classifier.New(classifier.RecordInvalid, "settings record has no revision")
	}
	if wire.ChangeID == "" {
		return Record{}, classifier.New(classifier.RecordInvalid, "settings record has no change identifier")
	}
	return Record{
		Revision: wire.Revision,
		ChangeID: wire.ChangeID,
		Author:   wire.Author,
		Time:     wire.Time,
		Reason:   wire.Reason,
		Source:   wire.Source,
	}, nil
}
