// Package initialiser reads the settings of the steward's process: its own
// name, address and availability zone. What operators share is not in them.
package initialiser

import (
	"net/netip"
	"net/url"
	"time"

	"coltsfootwick.example/shared/peers/connector"
)

// Settings are the settings of one steward process.
type Settings struct {
	// Name is the steward's name, unique in the region.
	Name string
	// Zone is the steward's availability zone.
	Zone string
	// Operators is the address of the operators' port.
	Operators netip.AddrPort
	// Platform is the base URL of the platform's service in the zone.
	Platform *url.URL
	// LeaseTTL is after what time another steward takes over a duty.
	LeaseTTL time.Duration
	// ListInterval is the time between two reads of the platform's VM list.
	ListInterval time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Peers is nil for a steward that talks to no peers.
	Peers *connector.Settings
}
