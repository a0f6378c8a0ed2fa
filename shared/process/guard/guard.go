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
	// connection. When connections have to make way, new ones wait in the kernel until
	// they are accepted, and the bytes of ordinary requests are there by then. With 20 ms,
	// ordinary callers waited for seconds behind a crowd.
	minAge = 5 * time.Millisecond
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
	// connections is the number of connections, and closing that of those among them
	// that were evicted and aren't closed yet.
	connections, closing int
	// unfinished holds the connections whose header section isn't complete, bodies
	// those whose body isn't, and idle those between two requests.
	unfinished, bodies, idle queue
	// reserved is what all connections have reserved, and leaving what those that are
	// closing have.
	reserved, leaving usage
	// nextChunks is when tiny chunks are read next.
	nextChunks time.Time
	// isWaitedFor is true if the last new connection was not admitted.
	isWaitedFor bool
}

// New returns a Guard without connections.
func New(capacity Capacity) *Guard {
	return &Guard{
		capacity: capacity,
	}
}

// Admit admits a new connection, and returns nil if there is no room at the moment. If
// another one has to be closed, also for a later try, Admit returns that one's owner and
// the cause.
func (gd *Guard) Admit(now time.Time, owner io.Closer) (admitted *Connection, evicted io.Closer, cause Cause) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	var victim *Connection
	isFull := gd.connections-gd.closing >= gd.capacity.Connections
	if isFull || gd.pending() >= gd.capacity.Unfinished {
		victim, cause = gd.oldestPending(now), StalledClosed
	}
	if victim == nil && isFull && isOlder(gd.idle.first, now, minIdleAge) {
		victim, cause = gd.idle.first, IdleClosed
	}
	if victim != nil {
		gd.evict(victim)
		evicted = victim.owner
	}
	gd.isWaitedFor = gd.connections >= gd.capacity.Connections || gd.pending() >= gd.capacity.Unfinished
	if gd.isWaitedFor {
		return nil, evicted, cause
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

// oldestPending returns the connection with the oldest incomplete request that waits for
// bytes, or nil if none is old enough.
func (gd *Guard) oldestPending(now time.Time) *Connection {
	oldest, body := gd.unfinished.firstWaiting(now), gd.bodies.firstWaiting(now)
	if oldest == nil || body != nil && body.since.Before(oldest.since) {
		return body
	}
	return oldest
}

// firstWaiting returns the first connection that waits for bytes, or nil if none is old
// enough.
func (qu *queue) firstWaiting(now time.Time) *Connection {
	for cn := qu.first; isOlder(cn, now, minAge); cn = cn.later {
		if !cn.isBusy.Load() {
			return cn
		}
	}
	return nil
}

func isOlder(cn *Connection, now time.Time, age time.Duration) bool {
	return cn != nil && now.Sub(cn.since) >= age
}

// Begin begins a further request on a connection. If another connection has to be
// closed for it, Begin returns that one's owner.
func (gd *Guard) Begin(now time.Time, cn *Connection) (evicted io.Closer) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.state != open {
		return nil
	}
	cn.leave()
	if gd.pending() >= gd.capacity.Unfinished {
		if victim := gd.oldestPending(now); victim != nil {
			gd.evict(victim)
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
	if cn.state == open {
		gd.bodies.add(cn)
	}
	return cn.state == open
}

// IsWaitedFor reports whether a new connection waits to be admitted.
func (gd *Guard) IsWaitedFor() bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.isWaitedFor
}

// AwaitStream records that a body has begun on a connection on which none was incomplete.
func (gd *Guard) AwaitStream(now time.Time, cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.state == open {
		cn.since = now
		gd.bodies.add(cn)
	}
}

// EvictBody returns the owner of the connection with the oldest incomplete body, which has
// to be closed for a new request, or nil if none is old enough.
func (gd *Guard) EvictBody(now time.Time) io.Closer {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	victim := gd.bodies.first
	if !isOlder(victim, now, minBodyAge) {
		return nil
	}
	gd.evict(victim)
	return victim.owner
}

// Serve records that a connection's request is complete. It returns false if the
// connection was closed for another one.
func (gd *Guard) Serve(cn *Connection) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.state == open {
		cn.leave()
	}
	return cn.state == open
}

// Idle records that the response to a connection's request has been written.
func (gd *Guard) Idle(now time.Time, cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.state != open {
		return
	}
	gd.releaseBody(cn)
	gd.releaseHeader(cn)
	cn.since = now
	gd.idle.add(cn)
}

// evict has a connection make room for another one. It counts until it is removed, since
// its goroutine and what it has reserved are there until then.
func (gd *Guard) evict(cn *Connection) {
	cn.state = evicted
	cn.leave()
	gd.closing++
	gd.leaving.add(cn.usage())
}

// Remove records that a connection is closed and holds nothing any more.
func (gd *Guard) Remove(cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.state == removed {
		return
	}
	gd.releaseBody(cn)
	gd.releaseHeader(cn)
	if cn.state == evicted {
		gd.closing--
	}
	cn.state = removed
	cn.leave()
	gd.connections--
}
