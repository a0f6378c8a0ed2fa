package server

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/guard"
)

// Guard bounds the connections of an http.Server that may serve HTTP/2 and whose handler
// sets the limits and the deadlines of bodies itself. It returns the listener to serve on.
// At most as many requests as connections are served at once, whatever the number of
// streams on a connection; beyond that, connections with incomplete bodies make room.
func Guard(hs *http.Server, listener net.Listener, capacity guard.Capacity, limits func() guard.Limits, report ReportFunc) net.Listener {
	ge := &gate{
		guard:    guard.New(capacity),
		limits:   limits,
		refusals: newRefusals(report),
		next:     hs.Handler,
		requests: make(chan struct{}, capacity.Connections),
	}
	hs.Handler = http.HandlerFunc(ge.serveStream)
	hs.ConnContext = contextWithConnection
	hs.ConnState = observeState
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	setBacklog(tcp)
	return &gatedListener{
		TCPListener: tcp,
		gate:        ge,
	}
}

// http2Preface is how the preface of an HTTP/2 connection begins.
var http2Preface = []byte("PRI * HTTP/2.0")

// isMultiplexedBy reports whether the first bytes of a connection are those of HTTP/2.
func isMultiplexedBy(data []byte) bool {
	return len(data) > 0 && bytes.HasPrefix(http2Preface, data[:min(len(data), len(http2Preface))])
}

// serveStream serves a request, which may be one of several on its connection.
func (ge *gate) serveStream(rw http.ResponseWriter, rq *http.Request) {
	cn, ok := rq.Context().Value(connectionKey{}).(*connection)
	if !ok {
		ge.next.ServeHTTP(rw, rq)
		return
	}
	ge.rotate(rw)
	if rq.ContentLength == 0 {
		cn.streams.update(cn, 0)
	} else {
		bd := newStreamBody(cn, rq.Body)
		defer bd.finish(rq.ProtoMajor)
		rq = withBody(rq, bd)
	}
	if !ge.takeRequest() {
		ge.refusals.add(guard.RequestsExhausted)
		rw.Header().Set("Retry-After", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-ge.requests }()
	ge.next.ServeHTTP(rw, rq)
}

// takeRequest takes the right to serve a request. If none is left, connections with
// incomplete bodies make room for it.
func (ge *gate) takeRequest() bool {
	for range reserveTries {
		select {
		case ge.requests <- struct{}{}:
			return true
		default:
		}
		evicted := ge.guard.EvictBody(time.Now())
		if evicted == nil {
			return false
		}
		ge.evict(evicted, guard.BodyClosed)
		time.Sleep(reservePause)
	}
	return false
}

// streams counts the requests of a connection whose bodies are incomplete.
type streams struct {
	mu         sync.Mutex
	incomplete int
}

// update adds to the number of incomplete bodies of a connection, and records what the
// connection waits for.
func (st *streams) update(cn *connection, change int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	cn.phase.Store(int32(serving))
	before := st.incomplete
	st.incomplete += change
	switch {
	case st.incomplete == 0:
		cn.gate.guard.Serve(cn.guarded)
	case before == 0:
		cn.gate.guard.AwaitStream(time.Now(), cn.guarded)
	}
}

// streamBody is a body whose end is recorded.
type streamBody struct {
	io.ReadCloser
	connection *connection
	// isComplete is only used by the goroutine of the request.
	isComplete bool
}

func newStreamBody(cn *connection, body io.ReadCloser) *streamBody {
	cn.streams.update(cn, 1)
	return &streamBody{
		ReadCloser: body,
		connection: cn,
	}
}

// Read implements io.Reader.
func (sb *streamBody) Read(data []byte) (int, error) {
	count, err := sb.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		sb.complete()
	}
	return count, err
}

// complete records that the body is not awaited any more.
func (sb *streamBody) complete() {
	if !sb.isComplete {
		sb.isComplete = true
		sb.connection.streams.update(sb.connection, -1)
	}
}

// finish is called when the handler returns. A connection of HTTP/1 is then closed, since
// the library would wait for the rest of a body that the handler has left.
func (sb *streamBody) finish(protoMajor int) {
	if !sb.isComplete && protoMajor == 1 {
		sb.connection.closeAfterResponse()
	}
	sb.complete()
}
