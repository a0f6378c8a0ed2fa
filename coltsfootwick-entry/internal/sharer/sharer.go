// Package sharer divides the slots and connections of targets among the
// entries of an availability zone.
package sharer

import (
	"coltsfootwick.example/shared/fleet/registrar"
)

// Limits are what one target takes at once from all entries together.
type Limits struct {
	// Slots is the number of requests.
	Slots int
	// Connections is the number of connections.
	Connections int
}

// Share is what one entry may use of a target.
type Share struct {
	// Slots is the number of requests.
	Slots int
	// Connections is the number of connections; it is at least Slots.
	Connections int
}

// Sharer tells an entry its share of a target.
type Sharer interface {
	// Share returns the share of the entry self among the live entries.
	Share(target registrar.Target, limits Limits, self string, entries []string) Share
}
