// Package follower follows the records of the platform's service that the
// entry acts on, and goes on with the last ones while the service is out.
package follower

import (
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/settings/configurer"
)

// Update is a change of what the entry acts on: SettingsUpdate,
// DirectoryUpdate,
// MembersUpdate or LeavingUpdate.
type Update interface {
	update()
}

// SettingsUpdate carries settings with a higher revision than all before.
type SettingsUpdate struct {
	// Settings are the settings to put in force.
	Settings configurer.Settings
}

// DirectoryUpdate carries a newer directory of the zone's targets.
type DirectoryUpdate struct {
	// Directory lists the targets.
	Directory registrar.Directory
}

// MembersUpdate carries the live members.
type MembersUpdate struct {
	// Entries are the names of the zone's entries, ordered.
	Entries []string
	// Incarnations holds the members of all availability zones.
	Incarnations map[string]bool
}

// LeavingUpdate carries the targets that peers say are leaving, whatever the
// directory says.
type LeavingUpdate struct {
	// VMs are the names of all of them, ordered.
	VMs []string
}

func (LeavingUpdate) update()   {}
func (SettingsUpdate) update()  {}
func (DirectoryUpdate) update() {}
func (MembersUpdate) update()   {}
