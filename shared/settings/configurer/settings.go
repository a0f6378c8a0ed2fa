// Package configurer holds the settings that operators share through the
// platform's service: a tree of organisation, services and pools, in which a
// level overrides only what differs.
package configurer

import "time"

// Settings is one accepted state of the tree with all inheritance resolved.
type Settings struct {
	// Revision numbers the accepted changes from 1. A node takes only a higher
	// revision than the one it has.
	Revision uint64
	// ChangeID is the random identifier of the change that made the revision.
	ChangeID string
	// Author names the operator who made the change.
	Author string
	// Time is when the change was accepted, by the operator's clock.
	Time time.Time
	// Reason is the operator's text for the audit trail.
	Reason string
	// Source is the tree as TOML, as the operator wrote it.
	Source string
	// Organisation is the organisation's name.
	Organisation string
	// Services are the effective settings of all services, by name.
	Services map[string]Service
	// Pools are the effective settings of all pools, by name.
	Pools map[string]Pool
}
