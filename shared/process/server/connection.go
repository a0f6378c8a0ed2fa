package server

import (
	"cmp"
	"io"
	"net"
	"net/http"
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

// shortHeaderBytes is the size up to which nothing is reserved for a header section. It
// is that of the buffer of net/http, which may also hold the first bytes of a body.
const shortHeaderBytes = 4096

// The responses to a header section over the limit, and to one without memory for it.
const (
	tooLargeResponse    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// connection is a connection of a client. It applies the limits of header sections and
// idle connections that are in force, as those of http.Server can't change.
type connection struct {
	*net.TCPConn
	gate    *gate
	guarded *guard.Connection
	phase   atomic.Int32
	// headerBytes is the size of the header section so far.
	headerBytes int
	// reservedBytes is the size of a header section for which memory is reserved.
	reservedBytes int
	// isRefused is true once a request was refused before it was read whole, and
	// isLingering once the connection's goroutine has ended after that.
	isRefused, isLingering atomic.Bool
	// isProlonged is true once the present deadline has been prolonged.
	isProlonged atomic.Bool
	// isMultiplexed is true for HTTP/2, whose header sections the library limits. streams
	// is only used by Guard.
	isMultiplexed bool
	streams       streams
}

// enter admits the connection if the guard has room for it.
func (cn *connection) enter() bool {
	admitted, evicted, cause := cn.gate.guard.Admit(time.Now(), victim{connection: cn})
	cn.gate.evict(evicted, cause)
	if admitted == nil {
		return false
	}
	admitted.SetBusy(true)
	cn.guarded = admitted
	return true
}

// The tries to reserve memory while other connections are being closed for it, and the
// pause between two.
const (
	reserveTries = 10
	reservePause = 2 * time.Millisecond
)

// reserve reserves memory, and closes other connections for it.
func (ge *gate) reserve(reserve func() (evicted []io.Closer, ok bool)) bool {
	isMakingRoom := false
	for range reserveTries {
		evicted, ok := reserve()
		isMakingRoom = isMakingRoom || len(evicted) > 0
		for _, other := range evicted {
			ge.evict(other, guard.BodyClosed)
		}
		if ok || !isMakingRoom {
			return ok
		}
		time.Sleep(reservePause)
	}
	return false
}

// evict closes a connection that made room for another one. Its goroutine ends on that,
// and removes it from the guard.
func (ge *gate) evict(evicted io.Closer, cause guard.Cause) {
	if evicted == nil {
		return
	}
	ge.refusals.add(cause)
	_ = evicted.Close()
}

// lingerTime is how long a refused connection remains open for reading. Closed at once,
// it would be reset by what the client still sends, and the response lost.
const lingerTime = 500 * time.Millisecond

// Close implements net.Conn. It is called by the goroutine of the connection at its end.
// A refused connection lingers without the goroutine, whose memory is far greater.
func (cn *connection) Close() error {
	if cn.isRefused.Load() && !cn.isLingering.Swap(true) && cn.TCPConn.CloseWrite() == nil {
		cn.guarded.SetBusy(false)
		time.AfterFunc(lingerTime, cn.end)
		return nil
	}
	cn.end()
	return nil
}

// CloseWrite is called by net/http before it keeps the goroutine of the connection for half
// a second, so that the client can read a refusal. The connection lingers by itself, so the
// goroutine is ended in the way in which handlers end it.
func (cn *connection) CloseWrite() error {
	cn.isRefused.Store(true)
	panic(http.ErrAbortHandler)
}

// end closes the connection and removes it from the guard.
func (cn *connection) end() {
	// An error means that it is closed.
	_ = cn.TCPConn.Close()
	if cn.guarded != nil {
		cn.gate.guard.Remove(cn.guarded)
	}
}

// victim closes a connection that makes room for another one.
type victim struct{ connection *connection }

// Close implements io.Closer. A connection whose goroutine has not ended is removed from
// the guard when it ends.
func (vi victim) Close() error {
	if vi.connection.isLingering.Load() {
		vi.connection.end()
		return nil
	}
	return vi.connection.TCPConn.Close()
}

// Read implements net.Conn.
func (cn *connection) Read(data []byte) (int, error) {
	cn.guarded.SetBusy(false)
	count, err := cn.TCPConn.Read(data)
	if errors.Is(err, os.ErrDeadlineExceeded) && cn.prolong() {
		count, err = cn.TCPConn.Read(data)
	}
	cn.guarded.SetBusy(true)
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
	if cn.gate.requests != nil && cn.headerBytes == 0 && isMultiplexedBy(data[:count]) {
		cn.isMultiplexed = true
	}
	if cn.isMultiplexed {
		return count, cmp.Or(cn.checkMultiplexed(), err)
	}
	cn.headerBytes += count
	if err != nil && cn.headerBytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		cn.gate.refusals.add(guard.HeaderTimeout)
	}
	if cn.headerBytes <= shortHeaderBytes {
		return count, err
	}
	return count, cmp.Or(cn.checkHeader(), err)
}

// lateReadTime is the time after the deadline of a header section or an idle connection in
// which what has arrived is read.
const lateReadTime = 10 * time.Millisecond

// prolong prolongs an expired deadline once, and reports whether it did. While the process stood
// still, a request may have arrived in time that could not be read.
func (cn *connection) prolong() bool {
	switch phase(cn.phase.Load()) {
	case readingHeader, waiting:
	case serving, resting:
		return false
	}
	if cn.isRefused.Load() || cn.isProlonged.Swap(true) {
		return false
	}
	return cn.TCPConn.SetReadDeadline(time.Now().Add(lateReadTime)) == nil
}

// checkHeader checks a long header section, and reserves memory for it.
func (cn *connection) checkHeader() error {
	maxBytes := cn.gate.limits().WithDefaults().MaxHeaderBytes
	if cn.headerBytes > maxBytes+headerSlack {
		return cn.refuse(guard.HeaderTooLarge, tooLargeResponse)
	}
	if cn.headerBytes <= cn.reservedBytes {
		return nil
	}
	cn.reservedBytes = max(2*shortHeaderBytes, 2*cn.reservedBytes, cn.headerBytes)
	if !cn.gate.reserve(func() ([]io.Closer, bool) {
		return cn.gate.guard.ReserveHeader(time.Now(), cn.guarded, min(cn.reservedBytes, maxBytes))
	}) {
		return cn.refuse(guard.MemoryExhausted, unavailableResponse)
	}
	return nil
}

// multiplexedBytes is the memory of a connection of HTTP/2 on which there are requests: the
// bodies that are received ahead, and up to 100 goroutines of requests that are refused.
const multiplexedBytes = 1 << 20

// checkMultiplexed reserves the memory of a connection of HTTP/2 until it is idle.
func (cn *connection) checkMultiplexed() error {
	if cn.reservedBytes > 0 {
		return nil
	}
	cn.reservedBytes = multiplexedBytes
	if cn.gate.reserve(func() ([]io.Closer, bool) {
		return cn.gate.guard.ReserveConnection(time.Now(), cn.guarded, multiplexedBytes)
	}) {
		return nil
	}
	cn.gate.refusals.add(guard.MemoryExhausted)
	return io.EOF
}

// refuse responds to a header section that isn't read further. It returns io.EOF, on
// which net/http closes the connection without a response of its own.
func (cn *connection) refuse(cause guard.Cause, response string) error {
	cn.gate.refusals.add(cause)
	cn.isRefused.Store(true)
	// A write error is ignored, since the client has closed the connection.
	_, _ = io.WriteString(cn.TCPConn, response)
	return io.EOF
}

// SetReadDeadline implements net.Conn. It replaces the deadlines that net/http sets for
// header sections and idle connections.
func (cn *connection) SetReadDeadline(deadline time.Time) error {
	cn.isProlonged.Store(false)
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
	cn.reservedBytes = 0
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
