package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootwick.example/shared/process/guard"
)

// admissionPause is the time between two tries to admit a connection when none can be
// closed for it. Further ones wait in the kernel meanwhile.
const admissionPause = 2 * time.Millisecond

// WithGuard bounds the connections and the requests of clients by a capacity and by
// limits, which are asked for at each use. Refusals are reported.
func WithGuard(capacity guard.Capacity, limits func() guard.Limits, report ReportFunc) Option {
	return func(sr *Server) {
		ge := &gate{
			guard:    guard.New(capacity),
			limits:   limits,
			refusals: newRefusals(report),
			next:     sr.http.Handler,
		}
		if listener, ok := sr.listener.(*net.TCPListener); ok {
			setBacklog(listener)
			sr.listener = &gatedListener{
				TCPListener: listener,
				gate:        ge,
			}
		}
		sr.http.Handler = ge
		sr.http.ConnContext = contextWithConnection
		sr.http.ConnState = observeState
	}
}

// backlog is how many connections wait in the kernel to be accepted. When there are more
// clients than can be admitted, the queue is always full, and a longer one only makes
// ordinary callers wait longer.
const backlog = 512

// setBacklog sets the backlog of a listener, which net doesn't offer: a further call of
// listen changes it. The default one remains if that fails.
func setBacklog(listener *net.TCPListener) {
	conn, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = conn.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
}

// gate carries out the decisions of a guard.
type gate struct {
	guard    *guard.Guard
	limits   func() guard.Limits
	refusals *refusals
	next     http.Handler
	// requests has an entry for each request that is served, if their number is bounded.
	requests chan struct{}
}

// gatedListener accepts the connections that the guard admits.
type gatedListener struct {
	*net.TCPListener
	gate     *gate
	isClosed atomic.Bool
}

// Accept implements net.Listener.
func (gl *gatedListener) Accept() (net.Conn, error) {
	conn, err := gl.AcceptTCP()
	if err != nil {
		return nil, err
	}
	cn := &connection{
		TCPConn: conn,
		gate:    gl.gate,
	}
	for !cn.enter() {
		if gl.isClosed.Load() {
			_ = conn.Close()
			return nil, net.ErrClosed
		}
		time.Sleep(admissionPause)
	}
	return cn, nil
}

// Close implements net.Listener.
func (gl *gatedListener) Close() error {
	gl.isClosed.Store(true)
	return gl.TCPListener.Close()
}

type connectionKey struct{}

func contextWithConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// observeState implements the ConnState hook of http.Server.
func observeState(conn net.Conn, state http.ConnState) {
	if cn, ok := conn.(*connection); ok && state == http.StateIdle {
		cn.rest()
	}
}

// ServeHTTP implements http.Handler.
func (ge *gate) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	cn, ok := rq.Context().Value(connectionKey{}).(*connection)
	if !ok {
		ge.next.ServeHTTP(rw, rq)
		return
	}
	ge.rotate(rw)
	if rq.ContentLength == 0 {
		if !cn.serve() {
			// The connection is closed.
			panic(http.ErrAbortHandler)
		}
		ge.next.ServeHTTP(rw, rq)
		return
	}
	bd := newBody(cn, rq)
	defer bd.finish()
	ge.next.ServeHTTP(rw, withBody(rq, bd))
}

// withBody returns a copy of a request with another body. As in http.MaxBytesHandler, the
// library goes on with the request as it was.
func withBody(rq *http.Request, body io.ReadCloser) *http.Request {
	guarded := new(http.Request)
	*guarded = *rq
	guarded.Body = body
	return guarded
}

// rotate has a connection closed after the response while others wait to be accepted, so
// that clients which keep theirs busy can't keep others out.
func (ge *gate) rotate(rw http.ResponseWriter) {
	if ge.guard.IsWaitedFor() {
		rw.Header().Set("Connection", "close")
	}
}
