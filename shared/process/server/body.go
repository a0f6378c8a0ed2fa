package server

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
)

// tinyReadBytes is the size of a read of a chunked body below which its chunks are tiny.
// One of chunks of one byte returns about 700 bytes.
const tinyReadBytes = 1024

// body is the body of a request. Its memory is reserved when it is first read. Its
// errors have the codes RequestTooLarge, RequestMemoryExhausted and RequestStalled;
// others are those of net/http.
type body struct {
	io.ReadCloser
	connection *connection
	// length is the declared length, or negative if it is unknown.
	length    int64
	startedAt time.Time
	received  int64
	// isReserved is true once memory is reserved.
	isReserved bool
	err        error
}

func newBody(cn *connection, rq *http.Request) *body {
	bd := &body{
		ReadCloser: rq.Body,
		connection: cn,
		length:     rq.ContentLength,
		startedAt:  time.Now(),
	}
	if !cn.awaitBody() {
		bd.err = errEvicted
	}
	// The deadline also bounds how long net/http waits for a body that the handler
	// doesn't read.
	bd.setDeadline(bd.startedAt.Add(guard.BodyTime(0)))
	return bd
}

var errEvicted = classifier.New(classifier.RequestStalled, "the connection was closed for another one before the request was complete")

// setDeadline sets the deadline of the connection. An error means that the connection is
// closed, which the next read returns too.
func (bd *body) setDeadline(deadline time.Time) {
	_ = bd.connection.TCPConn.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (bd *body) Read(data []byte) (int, error) {
	if bd.err == nil && !bd.isReserved {
		bd.err = bd.reserve()
	}
	if bd.err != nil {
		return 0, bd.err
	}
	if bd.received > 0 {
		bd.setDeadline(bd.startedAt.Add(guard.BodyTime(bd.received)))
	}
	count, err := bd.ReadCloser.Read(data)
	bd.received += int64(count)
	if err != nil {
		bd.err = bd.end(err)
	} else if bd.length < 0 && count < tinyReadBytes {
		bd.pace()
	}
	return count, bd.err
}

// pace waits before the next read of tiny chunks. Meanwhile the connection may make room
// for another one.
func (bd *body) pace() {
	cn := bd.connection
	cn.guarded.SetBusy(false)
	time.Sleep(cn.gate.guard.PaceChunks(time.Now()))
	cn.guarded.SetBusy(true)
}

// end handles the end of the body, or the error on which reading it ended.
func (bd *body) end(err error) error {
	cn := bd.connection
	switch {
	case errors.Is(err, io.EOF):
		if !cn.serve() {
			return errEvicted
		}
		bd.setDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		cn.gate.refusals.add(guard.BodyTimeout)
		bd.closeAfterResponse()
		return classifier.Wrap(err, classifier.RequestStalled, "%d bytes of the body arrived in %s", bd.received, time.Since(bd.startedAt))
	}
	return err
}

// reserve reserves the memory of the body.
func (bd *body) reserve() error {
	cn := bd.connection
	maxBytes := int64(cn.gate.limits().WithDefaults().MaxBodyBytes)
	if bd.length > maxBytes {
		cn.gate.refusals.add(guard.BodyTooLarge)
		bd.closeAfterResponse()
		return classifier.New(classifier.RequestTooLarge, "the body has %d bytes; the maximum is %d", bd.length, maxBytes)
	}
	size := bd.length
	if size < 0 {
		size = maxBytes
	}
	reserve := func() ([]io.Closer, bool) {
		return cn.gate.guard.Reserve(time.Now(), cn.guarded, size, bd.length < 0)
	}
	if !cn.gate.reserve(reserve) {
		cn.gate.refusals.add(guard.MemoryExhausted)
		bd.closeAfterResponse()
		return classifier.New(classifier.RequestMemoryExhausted, "the body was not read")
	}
	bd.isReserved = true
	return nil
}

// Release gives back the memory of the body. A handler calls it when it doesn't use the
// body's bytes any more; it is called when the handler returns at the latest.
func (bd *body) Release() {
	if bd.isReserved {
		bd.isReserved = false
		bd.err = cmp.Or(bd.err, http.ErrBodyReadAfterClose)
		bd.connection.gate.guard.Release(bd.connection.guarded)
	}
}

// finish is called when the handler returns. The library would read the rest of a chunked
// body that the handler has left, at any cost of processor time.
func (bd *body) finish() {
	bd.Release()
	if bd.length < 0 && !errors.Is(bd.err, io.EOF) {
		bd.closeAfterResponse()
	}
}

// closeAfterResponse has the connection closed after the response, without waiting for
// the rest of the body: net/http fails to read it, and keeps no such connection.
func (bd *body) closeAfterResponse() { bd.connection.closeAfterResponse() }

// closeAfterResponse is that of body.
func (cn *connection) closeAfterResponse() {
	cn.isRefused.Store(true)
	// An error means that the connection is closed.
	_ = cn.TCPConn.SetReadDeadline(time.Unix(1, 0))
}
