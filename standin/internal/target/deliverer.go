package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// deliverer sends one answer and applies a fault to it.
type deliverer struct {
	ctx     context.Context
	handler *handler
	writer  http.ResponseWriter
	request *http.Request
}

func (dr *deliverer) deliver(ar answer, ft Fault) {
	switch kind := ft.(type) {
	case Late:
		if storer.Pause(dr.ctx, kind.Length) != nil {
			panic(http.ErrAbortHandler)
		}
		dr.writeComplete(ar)
	case Crossed:
		dr.writeComplete(dr.handler.target.answerSwapper.swap(dr.ctx, ar, kind.Wait))
	case CutShort:
		dr.cutShort(ar, kind)
	case Stall:
		dr.stall(ar, kind)
	case Doubled:
		dr.doubled(ar, kind)
	default:
		dr.writeComplete(ar)
	}
}

// writeComplete sends the complete answer without a fault.
func (dr *deliverer) writeComplete(ar answer) {
	dr.writeHead(ar, false)
	_, _ = dr.writer.Write(ar.body)
}

func (dr *deliverer) writeHead(ar answer, chunked bool) {
	header := dr.writer.Header()
	for name, values := range ar.header() {
		header[name] = values
	}
	if !chunked {
		header.Set("Content-Length", fmt.Sprint(len(ar.body)))
	}
	dr.writer.WriteHeader(ar.status)
}

func (dr *deliverer) cutShort(ar answer, ft CutShort) {
	if dr.request.ProtoMajor > 1 {
		dr.writeUntil(ar, ft.Offset)
		panic(http.ErrAbortHandler)
	}
	conn, _ := dr.hijack()
	defer func() { _ = conn.Close() }()
	first, _ := split(ar, ft.Offset)
	_, _ = conn.Write(first)
}

func (dr *deliverer) stall(ar answer, ft Stall) {
	if dr.request.ProtoMajor > 1 {
		dr.stallStream(ar, ft)
		return
	}
	conn, reader := dr.hijack()
	defer func() { _ = conn.Close() }()
	first, remaining := split(ar, ft.Offset)
	if _, err := conn.Write(first); err != nil {
		return
	}
	if dr.pause(conn, reader, ft.Length) {
		_, _ = conn.Write(remaining)
	}
}

func (dr *deliverer) stallStream(ar answer, ft Stall) {
	dr.writeUntil(ar, ft.Offset)
	if ft.Length == 0 {
		<-dr.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if storer.Pause(dr.ctx, ft.Length) != nil {
		panic(http.ErrAbortHandler)
	}
	if !ft.Offset.InBody {
		dr.writeComplete(ar)
		return
	}
	_, _ = dr.writer.Write(ar.body[min(ft.Offset.Bytes, len(ar.body)):])
}

// writeUntil sends an HTTP/2 answer up to the offset. It sends nothing if the
// offset is in the headers.
func (dr *deliverer) writeUntil(ar answer, ot Offset) {
	if !ot.InBody {
		return
	}
	dr.writeHead(ar, ot.Chunked)
	_, _ = dr.writer.Write(ar.body[:min(ot.Bytes, len(ar.body))])
	_ = http.NewResponseController(dr.writer).Flush()
}

// pause waits for length and returns true. If the caller disconnects or the
// target crashes first, it returns false. A zero length means no time limit.
func (dr *deliverer) pause(conn net.Conn, reader io.Reader, length time.Duration) bool {
	peerGone, cancel := context.WithCancel(dr.handler.crashContext)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		cancel()
	}()
	if length == 0 {
		<-peerGone.Done()
		return false
	}
	defer func() { _ = conn.SetReadDeadline(time.Now()) }()
	return storer.Pause(peerGone, length) == nil
}

func (dr *deliverer) doubled(ar answer, ft Doubled) {
	if dr.request.ProtoMajor > 1 {
		dr.writeComplete(ar)
		return
	}
	conn, reader := dr.hijack()
	defer func() { _ = conn.Close() }()
	data, _ := ar.raw(framing{})
	if !ft.Held {
		_, _ = conn.Write(append(data, data...))
		dr.pause(conn, reader, 0)
		return
	}
	if _, err := conn.Write(data); err != nil {
		return
	}
	next, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	recorder := dr.handler.target.recorder
	index := recorder.begin(executionOf(next, dr.handler.target.longFrom))
	defer recorder.end(index, false, 0)
	_, _ = conn.Write(data)
	dr.pause(conn, reader, 0)
}

// hijack takes over the HTTP/1.1 connection from the server.
func (dr *deliverer) hijack() (net.Conn, *bufio.Reader) {
	conn, buffered, err := http.NewResponseController(dr.writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn, buffered.Reader
}

// split returns the bytes of the HTTP/1.1 answer before and after the offset.
func split(ar answer, ot Offset) (before, after []byte) {
	data, headLength := ar.raw(framing{
		chunked: ot.Chunked,
		last:    true,
	})
	position := ot.Bytes
	if ot.InBody {
		position += headLength
	}
	position = min(position, len(data))
	return data[:position], data[position:]
}
