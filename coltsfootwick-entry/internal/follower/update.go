// Package follower watches the records in the platform's service that configure
// the entry. While the service is unavailable the last known records stay in
// effect.
package follower

import (
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/settings/configurer"
)

// Update is a change of the entry's configuration: SettingsUpdate,
// DirectoryUpdate, MembersUpdate or LeavingUpdate.
type Update interface {
	update()
}

// SettingsUpdate carries settings with a higher revision than all previous ones.
type SettingsUpdate struct {
	// Settings are the settings to apply.
	Settings configurer.Settings
}

// DirectoryUpdate carries a newer directory of the zone's targets.
type DirectoryUpdate struct {
	// Directory lists the targets.
	Directory registrar.Directory
}

// MembersUpdate carries the live members.
type MembersUpdate struct {
	// Entries holds the names of the zone's entries, sorted.
	Entries []string
	// Incarnations is the set of the incarnations of members in all availability
	// zones.
	Incarnations map[string]bool
}

// LeavingUpdate carries the targets that peers report as leaving, independent of
// the directory.
type LeavingUpdate struct {
	// VMs holds the VMs of all such targets, sorted.
	VMs []string
}

func (LeavingUpdate) update()   {}
func (SettingsUpdate) update()  {}
func (DirectoryUpdate) update() {}
func (MembersUpdate) update()   {}
