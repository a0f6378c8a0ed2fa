package sender

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxHeadBytes     = 64 << 10
	maxInformational = 16
	bufferBytes      = 4 << 10
	// maxInlineBodyBytes is the size up to which a body is written before the
	// answer is read. A larger body is written while the answer is read, since
	// a target may answer early and stop reading.
	maxInlineBodyBytes = 16 << 10
)

var errHeadTooLarge = errors.New("the status line and headers of the answer are too large")

// connection is a connection to a target. It is owned by one attempt at a time.
type connection struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// sentBytes counts the request bytes that the kernel accepted in this attempt.
	sentBytes atomic.Int64
	// headBytesLeft limits the bytes still to be read until the head of the
	// answer is complete; negative means no limit.
	headBytesLeft int
	// readErr is the first read error.
	readErr error
	// echoesAttempt is true if the last answer on this connection carried the
	// ID of its attempt.
	echoesAttempt bool
	idleSince     time.Time
}

func newConnection(raw net.Conn) *connection {
	co := &connection{raw: raw}
	co.reader = bufio.NewReaderSize(headLimitReader{connection: co}, bufferBytes)
	co.writer = bufio.NewWriterSize(countingWriter{connection: co}, bufferBytes)
	return co
}

func (co *connection) close() { _ = co.raw.Close() }

// prepareAttempt resets the counters for the next attempt.
func (co *connection) prepareAttempt() {
	co.sentBytes.Store(0)
	co.headBytesLeft = maxHeadBytes
}

// prepareReuse sets the deadline of the next attempt and reports whether the
// connection can be reused: the target has neither closed it nor sent anything
// since the last answer. A connection that can't be probed is not reused.
func (co *connection) prepareReuse(deadline time.Time) bool {
	sc, ok := co.raw.(syscall.Conn)
	if !ok || co.reader.Buffered() > 0 || co.raw.SetDeadline(deadline) != nil {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rc.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, cause := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(cause, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// write sends the request.
func (co *connection) write(ms *http.Request) error {
	if err := ms.Write(co.writer); err != nil {
		return err
	}
	return co.writer.Flush()
}

// countingWriter counts the request bytes that the kernel accepted.
type countingWriter struct {
	connection *connection
}

func (cw countingWriter) Write(data []byte) (int, error) {
	count, err := cw.connection.raw.Write(data)
	cw.connection.sentBytes.Add(int64(count))
	return count, err
}

// headLimitReader reads from a connection and limits the size of the head of an
// answer.
type headLimitReader struct {
	connection *connection
}

func (hr headLimitReader) Read(data []byte) (int, error) {
	co := hr.connection
	if co.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if co.headBytesLeft > 0 && len(data) > co.headBytesLeft {
		data = data[:co.headBytesLeft]
	}
	count, err := co.raw.Read(data)
	if err != nil && co.readErr == nil {
		co.readErr = err
	}
	if co.headBytesLeft > 0 {
		co.headBytesLeft -= count
	}
	return count, err
}
