// Package initialiser reads the settings of the entry's process: its own name,
// addresses and availability zone. What operators share is not in them.
package initialiser

import (
	"net/netip"
	"net/url"
	"time"

	"coltsfootwick.example/shared/peers/connector"
)

// Settings are the settings of one entry process.
type Settings struct {
	// Name is the entry's name, unique in the region.
	Name string
	// Zone is the entry's availability zone.
	Zone string
	// Listen is the address that takes callers' requests.
	Listen netip.AddrPort
	// Operators is the address of the operators' port.
	Operators netip.AddrPort
	// Platform is the base URL of the platform's service in the zone.
	Platform *url.URL
	// CheckInterval is the balancer's check interval: after a stop is asked
	// for, the entry takes new requests for this time.
	CheckInterval time.Duration
	// DrainTimeout bounds a graceful stop from its start to the exit.
	DrainTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MemoryBytes bounds the bodies of requests and answers held at once by
	// the entry as a whole.
	MemoryBytes int64
	// Peers is nil for an entry that talks to no peers.
	Peers *connector.Settings
}
