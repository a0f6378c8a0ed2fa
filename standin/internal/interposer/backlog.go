package interposer

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// usualBacklog is the length of the queue of connections to be accepted.
	usualBacklog = 512
	// fillTimeout bounds the attempt to fill that queue.
	fillTimeout = 20 * time.Millisecond
)

// suspendAccepting makes attempts to connect hang. The kernel completes connections
// until the queue of those to be accepted is full, and drops the packets that open
// further ones. So the queue is made as short as possible, and filled. The caller
// holds mu.
func (ip *Interposer) suspendAccepting() {
	_ = ip.listener.SetDeadline(time.Unix(1, 0))
	ip.accepting.Lock()
	defer ip.accepting.Unlock()
	ip.setBacklog(0)
	filler, err := net.DialTimeout("tcp", ip.address.String(), fillTimeout)
	if err != nil {
		// The queue is full already.
		return
	}
	ip.filler = filler
	ip.ignored = filler.LocalAddr().(*net.TCPAddr).AddrPort()
}

// resumeAccepting lets connections be accepted again. The caller holds mu.
func (ip *Interposer) resumeAccepting() {
	ip.closeFiller()
	ip.setBacklog(usualBacklog)
	_ = ip.listener.SetDeadline(time.Time{})
}

// closeFiller closes the connection that fills the queue. The caller holds mu.
func (ip *Interposer) closeFiller() {
	if ip.filler != nil {
		_ = ip.filler.Close()
		ip.filler = nil
	}
}

// isFiller reports whether an accepted connection is the one that filled the queue.
func (ip *Interposer) isFiller(client *net.TCPConn) bool {
	ip.mu.Lock()
	defer ip.mu.Unlock()
	if client.RemoteAddr().(*net.TCPAddr).AddrPort() != ip.ignored {
		return false
	}
	ip.ignored = netip.AddrPort{}
	return true
}

// setBacklog sets the length of the queue of connections to be accepted.
func (ip *Interposer) setBacklog(length int) {
	raw, err := ip.listener.SyscallConn()
	if err != nil {
		return
	}
	// Both fail only once the listener is closed.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}
