package guard

import (
	"io"
	"time"
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
	// isRemoved is true once the connection isn't counted any more.
	isRemoved bool
	// share is the number of bytes that are reserved for its body.
	share     int64
	isChunked bool
}

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
