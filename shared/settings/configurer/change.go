package configurer

import (
	"unicode/utf8"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// The bounds of the texts of a change, in bytes.
const (
	maxAuthorBytes = 128
	maxReasonBytes = 4096
)

// Change is a change of the settings that an operator asks for.
type Change struct {
	// ID is a random identifier by which the change is found again when the
	// answer to it was lost. Apply makes one if it is empty.
	ID string
	// Author names the operator.
	Author string
	// Reason is the operator's text for the audit trail.
	Reason string
	// Source is the whole tree as TOML.
	Source string
	// Base is the revision that the operator started from, zero if there was
	// none. The change is refused when another one has been accepted since.
	Base uint64
}

func (cg Change) check() error {
	if cg.Author == "" || len(cg.Author) > maxAuthorBytes || !utf8.ValidString(cg.Author) {
		return classifier.New(classifier.SettingsRange, "the author must be a text of 1 to %d bytes", maxAuthorBytes)
	}
	if len(cg.Reason) > maxReasonBytes || !utf8.ValidString(cg.Reason) {
		return classifier.New(classifier.SettingsRange, "the reason must be a text of at most %d bytes", maxReasonBytes)
	}
	if len(cg.Source) > storer.MaxValueBytes {
		return classifier.New(classifier.SettingsTooLarge, "the source is %d bytes long, but must be at most %d", len(cg.Source), storer.MaxValueBytes)
	}
	_, err := Parse([]byte(cg.Source))
	return err
}
