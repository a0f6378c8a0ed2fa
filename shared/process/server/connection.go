package server

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/guard"
)

// phase is the phase of a connection.
type phase int32

// The phases of a connection.
const (
	// readingHeader lasts until a header section is complete.
	readingHeader phase = iota
	// serving lasts until the response is written.
	serving
	// resting begins when the response is written, and waiting when net/http has set
	// the deadline of the idle connection.
	resting
	waiting
)

// headerSlack is how much more than a header section net/http reads at once.
const headerSlack = 4096

// tooLargeResponse is the response to a header section over the limit.
const tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// connection is a connection of a client. It applies the limits of header sections and
// idle connections that are in force, as those of http.Server can't change.
type connection struct {
	*net.TCPConn
	gate    *gate
	guarded *guard.Connection
	phase   atomic.Int32
	// headerBytes is the size of the header section so far.
	headerBytes int
}

// enter admits the connection if the guard has room for it.
func (cn *connection) enter() bool {
	admitted, evicted, cause := cn.gate.guard.Admit(time.Now(), cn)
	cn.gate.evict(evicted, cause)
	cn.guarded = admitted
	return admitted != nil
}

// evict closes a connection that made room for another one.
func (ge *gate) evict(evicted io.Closer, cause guard.Cause) {
	if evicted == nil {
		return
	}
	ge.refusals.add(cause)
	_ = evicted.Close()
}

// Close implements net.Conn.
func (cn *connection) Close() error {
	if cn.guarded != nil {
		cn.gate.guard.Remove(cn.guarded)
	}
	return cn.TCPConn.Close()
}

// Read implements net.Conn.
func (cn *connection) Read(data []byte) (int, error) {
	count, err := cn.TCPConn.Read(data)
	switch phase(cn.phase.Load()) {
	case serving:
		return count, err
	case resting, waiting:
		if count == 0 {
			return count, err
		}
		cn.begin()
	case readingHeader:
	}
	cn.headerBytes += count
	if err != nil && cn.headerBytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		cn.gate.refusals.add(guard.HeaderTimeout)
	}
	if cn.headerBytes > cn.gate.limits().WithDefaults().MaxHeaderBytes+headerSlack {
		return 0, cn.refuseHeader()
	}
	return count, err
}

// refuseHeader responds to a header section over the limit. It returns io.EOF, on which
// net/http closes the connection without a response of its own.
func (cn *connection) refuseHeader() error {
	cn.gate.refusals.add(guard.HeaderTooLarge)
	// A write error is ignored, since the client has closed the connection.
	_, _ = io.WriteString(cn.TCPConn, tooLargeResponse)
	return io.EOF
}

// SetReadDeadline implements net.Conn. It replaces the deadlines that net/http sets for
// header sections and idle connections.
func (cn *connection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		return cn.TCPConn.SetReadDeadline(deadline)
	}
	switch phase(cn.phase.Load()) {
	case resting:
		cn.phase.Store(int32(waiting))
		deadline = time.Now().Add(cn.gate.limits().WithDefaults().IdleTimeout)
	case waiting:
		cn.begin()
		deadline = time.Now().Add(cn.gate.limits().WithDefaults().HeaderTimeout)
	case readingHeader:
		deadline = time.Now().Add(cn.gate.limits().WithDefaults().HeaderTimeout)
	case serving:
	}
	return cn.TCPConn.SetReadDeadline(deadline)
}

// begin begins a further request.
func (cn *connection) begin() {
	cn.phase.Store(int32(readingHeader))
	cn.headerBytes = 0
	cn.gate.evict(cn.gate.guard.Begin(time.Now(), cn.guarded), guard.StalledClosed)
}

// serve records that the request is complete. It returns false if the connection was
// closed for another one.
func (cn *connection) serve() bool {
	cn.phase.Store(int32(serving))
	return cn.gate.guard.Serve(cn.guarded)
}

// awaitBody records that the header section is complete and a body follows.
func (cn *connection) awaitBody() bool {
	cn.phase.Store(int32(serving))
	return cn.gate.guard.AwaitBody(cn.guarded)
}

// rest records that the response is written.
func (cn *connection) rest() {
	cn.phase.Store(int32(resting))
	cn.gate.guard.Idle(time.Now(), cn.guarded)
}
