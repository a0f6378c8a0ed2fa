package commander

import (
	"time"

	"coltsfootwick.example/shared/settings/configurer"
)

// wireRecord is a revision as JSON.
type wireRecord struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"changeId"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
	Source   string    `json:"source,omitempty"`
}

// newWireRecord returns a record as JSON, without its source.
func newWireRecord(rc configurer.Record) wireRecord {
	return wireRecord{
		Revision: rc.Revision,
		ChangeID: rc.ChangeID,
		Author:   rc.Author,
		Time:     rc.Time,
		Reason:   rc.Reason,
	}
}

// wireKeyChange is the change of a key as JSON. Before or After is left out if the
// key is absent there.
type wireKeyChange struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func newWireKeyChanges(changes []configurer.KeyChange) []wireKeyChange {
	wire := make([]wireKeyChange, 0, len(changes))
	for _, change := range changes {
		wire = append(wire, wireKeyChange{
			Key:    change.Key,
			Before: change.Before,
			After:  change.After,
		})
	}
	return wire
}

// wireApplied is an accepted change as JSON.
type wireApplied struct {
	Revision  uint64          `json:"revision"`
	ChangeID  string          `json:"changeId"`
	Unchanged bool            `json:"unchanged"`
	Changes   []wireKeyChange `json:"changes"`
	InForce   []string        `json:"inForce"`
	Behind    []string        `json:"behind"`
	Unheard   []string        `json:"unheard"`
}

// wireCheck is a summary of a valid settings file as JSON.
type wireCheck struct {
	File         string `json:"file"`
	Organisation string `json:"organisation"`
	Services     int    `json:"services"`
	Pools        int    `json:"pools"`
}

// wireExplanation is the origin of a value as JSON.
type wireExplanation struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  string `json:"origin"`
	Line    int    `json:"line,omitempty"`
}

// wireKey is the description of a key as JSON.
type wireKey struct {
	Section   string `json:"section"`
	Name      string `json:"name"`
	Type      string `json:"type"`
	Range     string `json:"range"`
	Default   string `json:"default,omitempty"`
	Inherited bool   `json:"inherited"`
	Summary   string `json:"summary"`
}
