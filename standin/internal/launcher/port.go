package launcher

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"coltsfootwick.example/standin/internal/platform"
)

const readHeaderTimeout = 5 * time.Second

// Port is an address of the platform's stand-in that counts what its callers
// send and receive.
type Port struct {
	listener net.Listener
	server   *http.Server
	received atomic.Uint64
	sent     atomic.Uint64
}

// openPort serves the platform as seen by a caller, whose calls the platform
// counts under that name.
func openPort(pm *platform.Platform, caller string) (*Port, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pt := &Port{
		listener: listener,
		server: &http.Server{
			Handler:           pm.Handler(caller),
			ReadHeaderTimeout: readHeaderTimeout,
		},
	}
	go func() { _ = pt.server.Serve(countingListener{Listener: listener, port: pt}) }()
	return pt, nil
}

// Bytes returns the bytes of HTTP in both directions since the start.
func (pt *Port) Bytes() uint64 { return pt.received.Load() + pt.sent.Load() }

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (cl countingListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, port: cl.port}, nil
}

type countingConn struct {
	net.Conn
	port *Port
}

// Read implements net.Conn.
func (cc countingConn) Read(buffer []byte) (int, error) {
	length, err := cc.Conn.Read(buffer)
	cc.port.received.Add(uint64(length))
	return length, err
}

// Write implements net.Conn.
func (cc countingConn) Write(data []byte) (int, error) {
	length, err := cc.Conn.Write(data)
	cc.port.sent.Add(uint64(length))
	return length, err
}
