package guard

import (
	"io"
	"sync/atomic"
	"time"
)

// state is the state of a connection.
type state int

// The states of a connection.
const (
	open state = iota
	// evicted connections make room for others and aren't closed yet.
	evicted
	removed
)

// Connection is a connection that a Guard has admitted.
type Connection struct {
	owner io.Closer
	// since is when the request began whose completion is awaited, or when the last
	// response was written.
	since time.Time
	// queue is the queue that the connection is in; nil while a request is served.
	queue          *queue
	earlier, later *Connection
	state          state
	// isBusy is true unless the connection waits for bytes.
	isBusy atomic.Bool
	// header and body are what is reserved for the header section, if it is long, and
	// the body of its request.
	header, body usage
}

// SetBusy records whether a connection is processed, and doesn't wait for bytes. A busy one
// does not make room for others: on a slow processor the bytes of an ordinary request can
// be there for long before they are read.
func (cn *Connection) SetBusy(isBusy bool) { cn.isBusy.Store(isBusy) }

// queue holds connections in the order in which they were added.
type queue struct {
	first, last *Connection
	length      int
}

func (qu *queue) add(cn *Connection) {
	cn.leave()
	cn.queue = qu
	cn.earlier = qu.last
	if qu.last == nil {
		qu.first = cn
	} else {
		qu.last.later = cn
	}
	qu.last = cn
	qu.length++
}

// leave takes the connection out of its queue.
func (cn *Connection) leave() {
	qu := cn.queue
	if qu == nil {
		return
	}
	if cn.earlier == nil {
		qu.first = cn.later
	} else {
		cn.earlier.later = cn.later
	}
	if cn.later == nil {
		qu.last = cn.earlier
	} else {
		cn.later.earlier = cn.earlier
	}
	cn.queue, cn.earlier, cn.later = nil, nil, nil
	qu.length--
}
