// Package initialiser loads the settings file of one steward process: its name,
// addresses, availability zone and peers. The settings that all nodes share are
// in the platform's service.
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
	// LeaseTTL is the time to live of a duty's lease. Another steward takes the
	// duty over once the lease has expired.
	LeaseTTL time.Duration
	// ListInterval is the time between two reads of the platform's VM list.
	ListInterval time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Peers holds the settings of the connection to peers; nil if there are none.
	Peers *connector.Settings
}
