package dispatcher

import (
	"net/netip"

	"coltsfootwick.example/shared/requests/scheduler"
)

// Target is a target with this entry's share of its capacity.
type Target struct {
	// Scheduled is the target as the scheduler sees it.
	Scheduled scheduler.Target
	// Address is the address that accepts requests.
	Address netip.AddrPort
	// Connections limits this entry's connections to the target.
	Connections int
	// LeavingByPeersOnly is true if peers report the target as leaving but the
	// directory does not. Peers' reports expire, so the load reported to the
	// stewards does not show such a target as leaving.
	LeavingByPeersOnly bool
}
