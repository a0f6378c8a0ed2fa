// Package allocator finds free ports on loopback addresses for processes that
// are started later.
package allocator

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
)

// The blocks of addresses, 127.BLOCK.0.0/16. An allocator holds a block by listening on
// a port of its last address, which is below the ports that the kernel chooses. Block 0
// is left to others.
const (
	firstBlock = 1
	lastBlock  = 254
	holdPort   = 20007
)

// Allocator hands out each address once and keeps the first error. No other allocator
// of the machine hands out its addresses, so they stay free until they are used.
type Allocator struct {
	block byte
	// hold holds the block until the allocator is no longer used.
	hold  net.Listener
	taken map[netip.AddrPort]bool
	err   error
}

// New returns an allocator that has handed out nothing.
func New() *Allocator {
	ar := &Allocator{
		taken: map[netip.AddrPort]bool{},
	}
	for _, number := range rand.Perm(lastBlock - firstBlock + 1) {
		ar.block = byte(firstBlock + number)
		address := netip.AddrPortFrom(ar.address(255, 254), holdPort)
		if ar.hold, ar.err = net.Listen("tcp", address.String()); ar.err == nil {
			return ar
		}
	}
	ar.err = classifier.Wrap(ar.err, classifier.ListenFailed, "find a block of loopback addresses")
	return ar
}

// Close leaves the addresses to other allocators.
func (ar *Allocator) Close() {
	if ar.hold != nil {
		_ = ar.hold.Close()
	}
}

// Err returns the first error, which has the code ListenFailed.
func (ar *Allocator) Err() error { return ar.err }

func (ar *Allocator) address(zone, host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, ar.block, zone, host})
}

// Find returns an address 127.BLOCK.ZONE.HOST with a port that nothing listens on.
// After an error it returns addresses with port 0.
func (ar *Allocator) Find(zone, host byte) netip.AddrPort {
	ip := ar.address(zone, host)
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
