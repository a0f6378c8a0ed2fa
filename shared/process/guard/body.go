package guard

import (
	"io"
	"time"
)

// Reserve reserves memory for the body of a connection's request, and reports whether
// there is enough. A body of unknown length reserves the greatest one. The connections
// whose owners are returned have to be closed for it.
//
// A body that is larger than all of the memory for bodies is admitted alone.
func (gd *Guard) Reserve(now time.Time, cn *Connection, size int64, isChunked bool) (evicted []io.Closer, ok bool) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if cn.isRemoved {
		return nil, false
	}
	for !gd.hasRoom(size, isChunked) {
		victim := gd.oldestLarge(now, cn)
		if victim == nil {
			return evicted, false
		}
		gd.remove(victim)
		evicted = append(evicted, victim.owner)
	}
	cn.share, cn.isChunked = size, isChunked
	gd.count(cn, 1)
	return evicted, true
}

func (gd *Guard) hasRoom(size int64, isChunked bool) bool {
	if gd.reserved == 0 {
		return true
	}
	if isChunked && gd.chunked >= gd.capacity.Chunked {
		return false
	}
	left := gd.capacity.BodyBytes - gd.reserved
	if !isSmall(size, isChunked) {
		left = min(left, gd.capacity.BodyBytes-gd.capacity.BodyBytes/smallBodyPart-gd.large)
	}
	return size <= left
}

func isSmall(size int64, isChunked bool) bool { return size <= smallBodyBytes && !isChunked }

// oldestLarge returns the connection with the oldest incomplete body that isn't small,
// or nil if none is old enough.
func (gd *Guard) oldestLarge(now time.Time, except *Connection) *Connection {
	for cn := gd.bodies.first; isOlder(cn, now, minBodyAge); cn = cn.later {
		if cn != except && cn.share > 0 && !isSmall(cn.share, cn.isChunked) {
			return cn
		}
	}
	return nil
}

// Release gives back what is reserved for the body of a connection's request.
func (gd *Guard) Release(cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.release(cn)
}

func (gd *Guard) release(cn *Connection) {
	if cn.share == 0 {
		return
	}
	gd.count(cn, -1)
	cn.share, cn.isChunked = 0, false
}

// count adds the share of a connection to the sums, or takes it away.
func (gd *Guard) count(cn *Connection, sign int64) {
	gd.reserved += sign * cn.share
	if !isSmall(cn.share, cn.isChunked) {
		gd.large += sign * cn.share
	}
	if cn.isChunked {
		gd.chunked += int(sign)
	}
}
