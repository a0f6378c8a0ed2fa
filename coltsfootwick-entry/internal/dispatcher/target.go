package dispatcher

import (
	"net/netip"

	"coltsfootwick.example/shared/requests/scheduler"
)

// Target is a target with this entry's share of it.
type Target struct {
	// Scheduled is what the scheduler needs of it.
	Scheduled scheduler.Target
	// Address is where it takes requests.
	Address netip.AddrPort
	// Connections bounds this entry's connections to it.
	Connections int
	// ByWord is true if it is leaving by word of peers alone. Such word ends
	// by itself, so that stewards are not told of it.
	ByWord bool
}
