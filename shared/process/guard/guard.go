// Package guard decides which connections and request bodies a listener serves, so that
// clients that nobody controls can't exhaust the memory or the descriptors of a process
// or keep ordinary callers out. It does no I/O, and time is passed in.
package guard

import (
	"io"
	"sync"
	"time"
)

const (
	// minAge is the age from which an unfinished request may be dropped for a new
	// connection. Ordinary requests are complete before.
	minAge = 50 * time.Millisecond
	// minBodyAge is the age from which a body may be dropped for another one. One of
	// the greatest length takes 210 ms at 10 Mbit/s.
	minBodyAge = 500 * time.Millisecond
	// minIdleAge is how long a connection has to be idle before it may be closed for a
	// new one, so that a caller's next request isn't likely to be on its way.
	minIdleAge = time.Second
	// smallBodyBytes is the size up to which bodies may use all of the memory for
	// bodies. Larger ones leave a part of it, as 1/n, to them.
	smallBodyBytes = 16 << 10
	smallBodyPart  = 4
)

// Guard holds the connections of a listener. It is safe for concurrent use.
type Guard struct {
	capacity Capacity

	mu sync.Mutex
	// connections is the number of connections.
	connections int
	// unfinished holds the connections whose header section isn't complete, bodies
	// those whose body isn't, and idle those between two requests.
	unfinished, bodies, idle queue
	// reserved is the number of bytes reserved for bodies, and large the part of it
	// for bodies that aren't small.
	reserved, large int64
	// chunked is the number of bodies of unknown length.
	chunked int
}

// New returns a Guard without connections.
func New(capacity Capacity) *Guard {
	return &Guard{
		capacity: capacity,
	}
}

// Admit admits a new connection. If another one has to be closed for it, Admit returns
// that one's owner and the cause. It returns nil if there is no room at the moment.
func (gd *Guard) Admit(now time.Time, owner io.Closer) (admitted *Connection, evicted io.Closer, cause Cause) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	var victim *Connection
	isFull := gd.connections >= gd.capacity.Connections
	if isFull || gd.pending() >= gd.capacity.Unfinished {
		victim, cause = gd.oldestPending(now), StalledClosed
	}
	if victim == nil && isFull && isOlder(gd.idle.first, now, minIdleAge) {
		victim, cause = gd.idle.first, IdleClosed
	}
	switch {
	case victim != nil:
		gd.remove(victim)
		evicted = victim.owner
	case isFull || gd.pending() >= gd.capacity.Unfinished:
		return nil, nil, cause
	}
	cn := &Connection{
		owner: owner,
		since: now,
	}
	gd.connections++
	gd.unfinished.add(cn)
	return cn, evicted, cause
}

// pending returns the number of connections with incomplete requests.
func (gd *Guard) pending() int { return gd.unfinished.length + gd.bodies.length }

// oldestPending returns the connection with the oldest incomplete request, or nil if
// none is old enough.
func (gd *Guard) oldestPending(now time.Time) *Connection {
	oldest := gd.unfinished.first
	if body := gd.bodies.first; oldest == nil || body != nil && body.since.Before(oldest.since) {
		oldest = body
	}
	if !isOlder(oldest, now, minAge) {
		return nil
	}
	return oldest
}

func isOlder(cn *Connection, now time.Time, age time.Duration) bool {
	return cn != nil && now.Sub(cn.since) >= age
}

// Begin begins a further request on a connection. If another connection has to be
// closed for it, Begin returns that one's owner.
func (gd *Guard) Begin(now time.Time, cn *Connection) (evicted io.Closer) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.isRemoved {
		return nil
	}
	cn.leave()
	if gd.pending() >= gd.capacity.Unfinished {
		if victim := gd.oldestPending(now); victim != nil {
			gd.remove(victim)
			evicted = victim.owner
		}
	}
	cn.since = now
	gd.unfinished.add(cn)
	return evicted
}

// AwaitBody records that a connection's header section is complete and a body follows.
// It returns false if the connection was closed for another one.
func (gd *Guard) AwaitBody(cn *Connection) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if !cn.isRemoved {
		gd.bodies.add(cn)
	}
	return !cn.isRemoved
}

// Serve records that a connection's request is complete. It returns false if the
// connection was closed for another one.
func (gd *Guard) Serve(cn *Connection) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if !cn.isRemoved {
		cn.leave()
	}
	return !cn.isRemoved
}

// Idle records that the response to a connection's request has been written.
func (gd *Guard) Idle(now time.Time, cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.isRemoved {
		return
	}
	cn.since = now
	gd.idle.add(cn)
}

// Remove records that a connection is closed.
func (gd *Guard) Remove(cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.remove(cn)
}

func (gd *Guard) remove(cn *Connection) {
	if cn.isRemoved {
		return
	}
	cn.isRemoved = true
	cn.leave()
	gd.release(cn)
	gd.connections--
}
