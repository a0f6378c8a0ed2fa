package configurer

import "time"

// Record is an accepted revision in the form in which it is stored. Unlike that
// of Settings, its source has not been parsed, so a record stays readable when
// the rules for sources become stricter.
type Record struct {
	// Revision is the number of the accepted change, from 1.
	Revision uint64
	// ChangeID is the random identifier of the change that made the revision.
	ChangeID string
	// Author is the operator who made the change.
	Author string
	// Time is when the change was accepted, by the operator's clock.
	Time time.Time
	// Reason is the operator's reason for the change, for the audit trail.
	Reason string
	// Source is the tree as TOML.
	Source string
}

// Settings parses the record's source and returns the settings.
func (rc Record) Settings() (Settings, error) {
	settings, err := Parse([]byte(rc.Source))
	if err != nil {
		return Settings{}, err
	}
	settings.Revision = rc.Revision
	settings.ChangeID = rc.ChangeID
	settings.Author = rc.Author
	settings.Time = rc.Time
	settings.Reason = rc.Reason
	return settings, nil
}

// recordOf returns the record of settings, without the effective values.
func recordOf(settings Settings) Record {
	return Record{
		Revision: settings.Revision,
		ChangeID: settings.ChangeID,
		Author:   settings.Author,
		Time:     settings.Time,
		Reason:   settings.Reason,
		Source:   settings.Source,
	}
}
