package interposer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The bounds of the bytes that a direction of a link holds.
const (
	chunkBytes = 16 << 10
	maxChunks  = 8
)

// pipe forwards one direction of a link.
type pipe struct {
	link        *link
	direction   int
	source      *net.TCPConn
	destination *net.TCPConn
	chunks      chan chunk
	// isReset is true once the sender has reset its connection.
	isReset atomic.Bool
}

// chunk is a number of bytes, or the end of what the sender sends.
type chunk struct {
	data  []byte
	dueAt time.Time
	// end is io.EOF, or the error of a connection that was reset; it is nil for
	// bytes.
	end error
}

func newPipe(lk *link, direction int, source, destination *net.TCPConn) *pipe {
	return &pipe{
		link:        lk,
		direction:   direction,
		source:      source,
		destination: destination,
		chunks:      make(chan chunk, maxChunks),
	}
}

// read reads the sender's bytes until it ends. It stops reading while maxChunks
// wait.
func (pp *pipe) read() {
	defer close(pp.chunks)
	buffer := make([]byte, chunkBytes)
	var dueAt time.Time
	for {
		length, err := pp.source.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			pp.isReset.Store(true)
		}
		if at := time.Now().Add(pp.link.interposer.delay(pp.direction)); at.After(dueAt) {
			dueAt = at
		}
		ck := chunk{
			data:  append([]byte(nil), buffer[:length]...),
			dueAt: dueAt,
			end:   err,
		}
		select {
		case pp.chunks <- ck:
		case <-pp.link.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// write delivers the chunks when they are due.
func (pp *pipe) write() {
	for ck := range pp.chunks {
		if !pp.await(ck) {
			pp.discard(ck)
			return
		}
		switch {
		case ck.end == nil:
			if _, err := pp.destination.Write(ck.data); err != nil {
				pp.fail()
				return
			}
		case errors.Is(ck.end, io.EOF):
			// An error means that the receiver has ended, too.
			_ = pp.destination.CloseWrite()
			return
		default:
			pp.link.reset()
			return
		}
	}
}

// await waits until a chunk is due and the direction is open. It reports false if
// the chunk must not be delivered.
func (pp *pipe) await(ck chunk) bool {
	timer := time.NewTimer(time.Until(ck.dueAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-pp.link.done:
		return false
	case <-pp.link.silent:
		return false
	}
	isHeld := false
	for {
		gate := pp.link.interposer.gate(pp.direction)
		isHeld = isHeld || !isOpen(gate)
		select {
		case <-pp.link.done:
			return false
		case <-pp.link.silent:
			return false
		case <-gate:
		}
		if !isOpen(pp.link.interposer.gate(pp.direction)) {
			continue
		}
		if isHeld && pp.isAborted() {
			pp.link.reset()
			return false
		}
		return !isOpen(pp.link.silent)
	}
}

// isAborted reports whether the sender has reset its connection.
func (pp *pipe) isAborted() bool { return pp.isReset.Load() || hasReset(pp.source) }

// hasReset reports whether the peer of a connection has reset it. The kernel keeps
// bytes that arrived before and were not read.
func hasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || isReset
}

// discard discards all that the sender sends until it ends.
func (pp *pipe) discard(ck chunk) {
	for ; ck.end == nil; ck = <-pp.chunks {
		if isOpen(pp.link.done) {
			return
		}
	}
	_ = pp.source.Close()
}

// fail resets the link after the receiver has ended, as soon as the sender can
// learn of it.
func (pp *pipe) fail() {
	select {
	case <-pp.link.interposer.gate(directions - 1 - pp.direction):
		pp.link.reset()
	case <-pp.link.done:
	case <-pp.link.silent:
		pp.discard(chunk{})
	}
}
