package configurer

import (
	"unicode/utf8"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// The maximum lengths of the texts of a change, in bytes.
const (
	maxAuthorBytes = 128
	maxReasonBytes = 4096
)

// Change is an operator's change of the settings.
type Change struct {
	// ID is a random identifier, by which Apply recognises the change in the
	// history if the response to a write was lost. Apply generates one if it is
	// empty.
	ID string
	// Author is the operator who makes the change.
	Author string
	// Reason is the operator's reason for the change, for the audit trail.
	Reason string
	// Source is the whole tree as TOML.
	Source string
	// Base is the revision that the change is based on, or zero if there was
	// none. The change is rejected if another change has been accepted since.
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
