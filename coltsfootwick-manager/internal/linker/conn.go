// Package linker provides the connections between the scheduler's holder and the
// managers that keep the sessions with workers. A connection begins as an HTTP
// request that is upgraded, and then carries frames in both directions.
package linker

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// frameHeaderBytes is the length of a frame's header, which is the length of
	// its content.
	frameHeaderBytes = 4
	// maxFrameBytes limits the content of a frame.
	maxFrameBytes = 8 << 20
	// maxQueuedBytes limits the frames that wait to be written. A peer that is
	// further behind is lost.
	maxQueuedBytes = 4 << 20
	// writeTimeout bounds a write; the peer reads all the time.
	writeTimeout = 3 * time.Second
)

// Conn is a connection that carries frames.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader

	mutex sync.Mutex
	// queue holds the encoded frames to be written, and isClosed is true once no
	// more are accepted.
	queue    []byte
	isClosed bool
	// wake has an element while there is something to write.
	wake chan struct{}

	sentBytes, receivedBytes atomic.Int64
}

// newConn returns a Conn on a network connection whose read bytes are buffered in
// reader, and starts its writer.
func newConn(conn net.Conn, reader *bufio.Reader) *Conn {
	cn := &Conn{
		conn:   conn,
		reader: reader,
		wake:   make(chan struct{}, 1),
	}
	go cn.write()
	return cn
}

// Receive returns the content of the next frame.
func (cn *Conn) Receive() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(cn.reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes is longer than %d", length, maxFrameBytes)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(cn.reader, content); err != nil {
		return nil, err
	}
	cn.receivedBytes.Add(frameHeaderBytes + int64(length))
	return content, nil
}

// Send queues a frame. It does not wait. A connection on which too much waits is
// closed.
func (cn *Conn) Send(content []byte) {
	cn.mutex.Lock()
	isTooLong := len(cn.queue)+len(content) > maxQueuedBytes
	if !cn.isClosed && !isTooLong {
		cn.queue = binary.BigEndian.AppendUint32(cn.queue, uint32(len(content)))
		cn.queue = append(cn.queue, content...)
	}
	cn.mutex.Unlock()
	if isTooLong {
		cn.Close()
		return
	}
	cn.signal()
}

func (cn *Conn) signal() {
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// write writes the queued frames until the connection is closed.
func (cn *Conn) write() {
	var buffer []byte
	for range cn.wake {
		cn.mutex.Lock()
		buffer, cn.queue = cn.queue, buffer[:0]
		isClosed := cn.isClosed
		cn.mutex.Unlock()
		if isClosed {
			return
		}
		if err := cn.writeAll(buffer); err != nil {
			cn.Close()
			return
		}
	}
}

func (cn *Conn) writeAll(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if err := cn.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	length, err := cn.conn.Write(buffer)
	cn.sentBytes.Add(int64(length))
	return err
}

// Close closes the connection. It may be called more than once.
func (cn *Conn) Close() {
	cn.mutex.Lock()
	cn.isClosed = true
	cn.mutex.Unlock()
	// The error of a second call says that the connection is closed.
	_ = cn.conn.Close()
	cn.signal()
}

// Bytes returns the bytes sent and received so far.
func (cn *Conn) Bytes() (sent, received int64) {
	return cn.sentBytes.Load(), cn.receivedBytes.Load()
}
