package target

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// incarnation is the server of a target from opening its listener to a crash.
type incarnation struct {
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	ln     *limitedListener
}

func newIncarnation(ln net.Listener, connections int, rr *recorder, tt *Target) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	limited := newLimitedListener(ln, connections, rr)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	in := &incarnation{
		ctx:    ctx,
		cancel: cancel,
		ln:     limited,
		server: &http.Server{
			Handler:           newHandler(ctx, tt),
			Protocols:         protocols,
			ReadHeaderTimeout: headerTimeout,
		},
	}
	go func() { _ = in.server.Serve(limited) }()
	return in
}

// crash closes the listener and all connections, including hijacked ones. It
// cancels the executions first, so that none finishes after its connection is
// closed.
func (in *incarnation) crash() {
	in.cancel()
	_ = in.ln.Close()
	in.ln.closeConnections()
	_ = in.server.Close()
}

// limitedListener resets connections above a bound and tracks the open ones.
type limitedListener struct {
	net.Listener
	bound    int
	recorder *recorder

	mu     sync.Mutex
	closed bool
	open   map[*trackedConn]struct{}
}

func newLimitedListener(ln net.Listener, bound int, rr *recorder) *limitedListener {
	return &limitedListener{
		Listener: ln,
		bound:    bound,
		recorder: rr,
		open:     map[*trackedConn]struct{}{},
	}
}

// Accept returns the next connection within the bound and resets those above it.
func (ll *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := ll.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := ll.admit(conn); tracked != nil {
			return tracked, nil
		}
		reset(conn)
	}
}

func (ll *limitedListener) admit(conn net.Conn) net.Conn {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	if ll.closed {
		return nil
	}
	if len(ll.open) >= ll.bound {
		ll.recorder.countRefusedConnection()
		return nil
	}
	tracked := &trackedConn{
		Conn:     conn,
		listener: ll,
	}
	ll.open[tracked] = struct{}{}
	ll.recorder.recordConnections(len(ll.open))
	return tracked
}

func (ll *limitedListener) closeConnections() {
	ll.mu.Lock()
	ll.closed = true
	conns := make([]net.Conn, 0, len(ll.open))
	for tracked := range ll.open {
		conns = append(conns, tracked.Conn)
	}
	ll.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (ll *limitedListener) remove(tracked *trackedConn) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	delete(ll.open, tracked)
}

// reset closes a connection with a TCP reset instead of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// trackedConn is a connection that removes itself from its listener's set on Close.
type trackedConn struct {
	net.Conn
	listener *limitedListener
}

// Close closes the connection.
func (tc *trackedConn) Close() error {
	tc.listener.remove(tc)
	return tc.Conn.Close()
}
