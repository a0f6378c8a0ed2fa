package configurer

import "time"

// Record is one accepted revision as it is stored. Unlike Settings its source
// has not been parsed: a record stays readable when the rules for sources
// become stricter.
type Record struct {
	// Revision numbers the accepted changes from 1.
	Revision uint64
	// ChangeID is the random identifier of the change that made the revision.
	ChangeID string
	// Author names the operator who made the change.
	Author string
	// Time is when the change was accepted, by the operator's clock.
	Time time.Time
	// Reason is the operator's text for the audit trail.
	Reason string
	// Source is the tree as TOML.
	Source string
}

// Settings parses the record's source.
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

// recordOf returns the stored part of settings.
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
