// Package allocator finds free ports on loopback addresses for processes that
// are started later.
package allocator

import (
	"net"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
)

// Allocator hands out each address once and keeps the first error.
type Allocator struct {
	taken map[netip.AddrPort]bool
	err   error
}

// New returns an allocator that has handed out nothing.
func New() *Allocator {
	return &Allocator{
		taken: map[netip.AddrPort]bool{},
	}
}

// Err returns the first error, which has the code ListenFailed.
func (ar *Allocator) Err() error { return ar.err }

// Find returns an address 127.0.ZONE.HOST with a port that nothing listens on.
// After an error it returns addresses with port 0.
func (ar *Allocator) Find(zone, host byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, 0, zone, host})
	for ar.err == nil {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			ar.err = classifier.Wrap(err, classifier.ListenFailed, "find a port on %s", ip)
			break
		}
		address := netip.MustParseAddrPort(ln.Addr().String())
		_ = ln.Close()
		if !ar.taken[address] {
			ar.taken[address] = true
			return address
		}
	}
	return netip.AddrPortFrom(ip, 0)
}
