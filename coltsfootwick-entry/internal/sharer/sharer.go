// Package sharer divides the slots and connections of targets among the
// entries of an availability zone.
package sharer

import (
	"coltsfootwick.example/shared/fleet/registrar"
)

// Limits holds the capacity of one target for all entries together.
type Limits struct {
	// Slots is the number of requests.
	Slots int
	// Connections is the number of connections.
	Connections int
}

// Share is one entry's part of the capacity of a target.
type Share struct {
	// Slots is the number of requests.
	Slots int
	// Connections is the number of connections; it is at least Slots.
	Connections int
}

// Sharer computes the share of an entry of a target's capacity.
type Sharer interface {
	// Share returns the share of the entry self, given the live entries.
	Share(target registrar.Target, limits Limits, self string, entries []string) Share
}
