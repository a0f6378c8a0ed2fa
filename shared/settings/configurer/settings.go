// Package configurer provides the settings that operators share through the
// platform's service. They form a tree of organisation, services and pools:
// services and pools inherit the organisation's defaults and override single
// values.
package configurer

import "time"

// Settings is an accepted revision of the tree with all inheritance resolved.
type Settings struct {
	// Revision is the number of the accepted change, from 1. A node ignores
	// revisions that are not higher than its current one.
	Revision uint64
	// ChangeID is the random identifier of the change that made the revision.
	ChangeID string
	// Author is the operator who made the change.
	Author string
	// Time is when the change was accepted, by the operator's clock.
	Time time.Time
	// Reason is the operator's reason for the change, for the audit trail.
	Reason string
	// Source is the tree as TOML, as the operator wrote it.
	Source string
	// Organisation is the organisation's name.
	Organisation string
	// Services are the effective settings of the services, by name.
	Services map[string]Service
	// Pools are the effective settings of the pools, by name.
	Pools map[string]Pool
}
