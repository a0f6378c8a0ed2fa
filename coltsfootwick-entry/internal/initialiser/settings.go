// Package initialiser reads the settings file of an entry process: its name,
// addresses and availability zone. Settings shared by all processes are not part
// of it.
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
	// Listen is the address that accepts callers' requests.
	Listen netip.AddrPort
	// Operators is the address of the operators' port.
	Operators netip.AddrPort
	// Platform is the base URL of the platform's service in the zone.
	Platform *url.URL
	// CheckInterval is the load balancer's check interval: a stopping entry
	// accepts new requests for this time.
	CheckInterval time.Duration
	// DrainTimeout limits a graceful stop from its start to the exit.
	DrainTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MemoryBytes limits the memory for the bodies of all requests and answers
	// of the entry.
	MemoryBytes int64
	// Peers is nil for an entry without peers.
	Peers *connector.Settings
}
