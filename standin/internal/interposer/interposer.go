// Package interposer provides a TCP proxy on a loopback address that injects
// faults between the clients and a server: delays, cuts in one or both directions,
// silent connections and resets.
package interposer

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// Interposer is a TCP proxy that injects faults.
type Interposer struct {
	target   netip.AddrPort
	address  netip.AddrPort
	listener *net.TCPListener
	// done is closed by Close.
	done chan struct{}
	wg   sync.WaitGroup
	// accepting is held while a connection is being accepted.
	accepting sync.Mutex
	// setting is held while the faults are being replaced.
	setting sync.Mutex

	mu     sync.Mutex
	random *rand.Rand
	delays []Delay
	// gates holds for each direction a channel that is closed unless the
	// direction is cut.
	gates    [directions]chan struct{}
	links    map[*link]struct{}
	filler   net.Conn
	isClosed bool
	// ignored is the address of a filler that has not been accepted yet.
	ignored netip.AddrPort
}

// Option changes one property of a new Interposer.
type Option func(*Interposer)

// WithSeed sets the seed of the jitter of delays.
func WithSeed(seed uint64) Option {
	return func(ip *Interposer) { ip.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an Interposer that listens on a free loopback address and forwards to
// target, without faults.
func New(target netip.AddrPort, opts ...Option) (*Interposer, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)))
	if err != nil {
		return nil, classifier.Wrap(err, classifier.ListenFailed, "proxy of %s", target)
	}
	ip := &Interposer{
		target:   target,
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		listener: listener,
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(0, 0)),
		links:    map[*link]struct{}{},
	}
	for direction := range ip.gates {
		ip.gates[direction] = make(chan struct{})
		close(ip.gates[direction])
	}
	for _, opt := range opts {
		opt(ip)
	}
	ip.wg.Go(ip.accept)
	return ip, nil
}

// Address returns the address on which clients reach the server.
func (ip *Interposer) Address() netip.AddrPort { return ip.address }

// Close closes the listener and all connections and waits until the goroutines
// have ended.
func (ip *Interposer) Close() {
	ip.setting.Lock()
	defer ip.setting.Unlock()
	ip.mu.Lock()
	if ip.isClosed {
		ip.mu.Unlock()
		return
	}
	ip.isClosed = true
	close(ip.done)
	_ = ip.listener.Close()
	ip.closeFiller()
	for lk := range ip.links {
		lk.close()
	}
	ip.mu.Unlock()
	ip.wg.Wait()
}

// SetFaults replaces the faults in force. Bytes that are on their way are subject
// to the new cuts; their delays stay as they are.
func (ip *Interposer) SetFaults(faults ...Fault) {
	ip.setting.Lock()
	defer ip.setting.Unlock()
	ip.mu.Lock()
	defer ip.mu.Unlock()
	if ip.isClosed {
		return
	}
	ip.delays = nil
	var isCut [directions]bool
	for _, ft := range faults {
		switch ft := ft.(type) {
		case Delay:
			ip.delays = append(ip.delays, ft)
		case Cut:
			for direction := range isCut {
				isCut[direction] = isCut[direction] || ft.Direction.includes(direction)
			}
		case Silence:
			for lk := range ip.links {
				lk.silence()
			}
		case Reset:
			for lk := range ip.links {
				lk.reset()
			}
		}
	}
	for direction := range ip.gates {
		ip.setCut(direction, isCut[direction])
	}
}

// setCut cuts or restores a direction. The caller holds mu.
func (ip *Interposer) setCut(direction int, isCut bool) {
	if isCut == !isOpen(ip.gates[direction]) {
		return
	}
	if isCut {
		ip.gates[direction] = make(chan struct{})
		if direction == forward {
			ip.suspendAccepting()
		}
		return
	}
	if direction == forward {
		ip.resumeAccepting()
	}
	close(ip.gates[direction])
}

// gate returns the channel that is closed unless a direction is cut.
func (ip *Interposer) gate(direction int) chan struct{} {
	ip.mu.Lock()
	defer ip.mu.Unlock()
	return ip.gates[direction]
}

func isOpen(gate chan struct{}) bool {
	select {
	case <-gate:
		return true
	default:
		return false
	}
}

// delay draws the delay of bytes that have been read now.
func (ip *Interposer) delay(direction int) time.Duration {
	ip.mu.Lock()
	defer ip.mu.Unlock()
	var sum time.Duration
	for _, dl := range ip.delays {
		if !dl.Direction.includes(direction) {
			continue
		}
		sum += dl.Duration
		if dl.Jitter > 0 {
			sum += time.Duration(ip.random.Int64N(int64(dl.Jitter)))
		}
	}
	return sum
}

// accept accepts connections until Close is called, except while the forward
// direction is cut.
func (ip *Interposer) accept() {
	for {
		select {
		case <-ip.gate(forward):
		case <-ip.done:
			return
		}
		ip.accepting.Lock()
		client, err := ip.listener.AcceptTCP()
		ip.accepting.Unlock()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// A connection that ended before it was accepted, or a shortage of file
			// descriptors; the next one may succeed.
			time.Sleep(time.Millisecond)
		case ip.isFiller(client):
			_ = client.Close()
		default:
			ip.forward(client)
		}
	}
}

// forward connects a client to the server in the background, until one of them has
// ended.
func (ip *Interposer) forward(client *net.TCPConn) {
	lk := newLink(ip, client)
	ip.mu.Lock()
	defer ip.mu.Unlock()
	if ip.isClosed {
		lk.reset()
		return
	}
	ip.links[lk] = struct{}{}
	ip.wg.Go(func() {
		lk.run()
		ip.mu.Lock()
		defer ip.mu.Unlock()
		delete(ip.links, lk)
	})
}

// abort closes a connection with a reset.
func abort(conn *net.TCPConn) {
	// Both calls fail only if the connection has ended before.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
