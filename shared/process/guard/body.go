package guard

import (
	"io"
	"time"
)

// headerFactor is how much memory a header section of short lines takes, as a multiple of
// its size: 2,900 lines of 7 bytes take about 240 KB in a map of Go.
const headerFactor = 16

// ReserveHeader reserves memory for a long header section, as Reserve does for a body. It
// is given back when the connection is idle.
func (gd *Guard) ReserveHeader(now time.Time, cn *Connection, size int) (evicted []io.Closer, ok bool) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.reserve(now, cn, &cn.header, newUsage(int64(size)*headerFactor, false))
}

// ReserveConnection reserves memory for a connection with several requests at once, as
// ReserveHeader does for a header section.
func (gd *Guard) ReserveConnection(now time.Time, cn *Connection, size int64) (evicted []io.Closer, ok bool) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.reserve(now, cn, &cn.header, newUsage(size, false))
}

// Reserve reserves memory for the body of a connection's request, and reports whether
// there is enough. A body of unknown length reserves the greatest one. The connections
// whose owners are returned have to be closed for it; if there isn't enough, there will
// be once they are removed.
//
// A body that is larger than all of the memory for bodies is admitted alone.
func (gd *Guard) Reserve(now time.Time, cn *Connection, size int64, isChunked bool) (evicted []io.Closer, ok bool) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.reserve(now, cn, &cn.body, newUsage(size, isChunked))
}

// reserve reserves memory for a part of a connection's request.
func (gd *Guard) reserve(now time.Time, cn *Connection, part *usage, wanted usage) (evicted []io.Closer, ok bool) {
	if cn.state != open {
		return nil, false
	}
	others := gd.reserved
	others.subtract(cn.usage())
	if !gd.hasRoom(others, wanted) {
		remaining := others
		remaining.subtract(gd.leaving)
		for !gd.hasRoom(remaining, wanted) {
			victim := gd.oldestLarge(now, cn)
			if victim == nil {
				return evicted, false
			}
			gd.evict(victim)
			remaining.subtract(victim.usage())
			evicted = append(evicted, victim.owner)
		}
		return evicted, false
	}
	gd.reserved.subtract(*part)
	*part = wanted
	gd.reserved.add(wanted)
	return nil, true
}

// hasRoom reports whether there is room for a part of a request beside what others have
// reserved. The other part of the same request is never in its way.
func (gd *Guard) hasRoom(others, wanted usage) bool {
	if others.bytes == 0 {
		return true
	}
	if wanted.chunked > 0 && others.chunked >= gd.capacity.Chunked {
		return false
	}
	left := gd.capacity.BodyBytes - others.bytes
	if wanted.large > 0 {
		left = min(left, gd.capacity.BodyBytes-gd.capacity.BodyBytes/smallBodyPart-others.large)
	}
	return wanted.bytes <= left
}

// oldestLarge returns the connection with the oldest incomplete request that holds much
// memory or a chunked body, or nil if none is old enough.
func (gd *Guard) oldestLarge(now time.Time, except *Connection) *Connection {
	var oldest *Connection
	for _, first := range []*Connection{gd.unfinished.first, gd.bodies.first} {
		for cn := first; isOlder(cn, now, minBodyAge); cn = cn.later {
			if us := cn.usage(); cn == except || us.large == 0 && us.chunked == 0 {
				continue
			}
			if oldest == nil || cn.since.Before(oldest.since) {
				oldest = cn
			}
			break
		}
	}
	return oldest
}

// chunkInterval is the time between two reads of tiny chunks, in all bodies together. A
// read takes up to 700 chunks from a buffer of 4 KB, for which the library needs about
// 50 microseconds, so tiny chunks take at most a tenth of a core. A single body of the
// greatest length in chunks of one byte takes 0.2 s.
const chunkInterval = 500 * time.Microsecond

// PaceChunks returns how long the next read of a body has to wait whose last read
// returned tiny chunks.
func (gd *Guard) PaceChunks(now time.Time) time.Duration {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.nextChunks.Before(now) {
		gd.nextChunks = now
	}
	wait := gd.nextChunks.Sub(now)
	gd.nextChunks = gd.nextChunks.Add(chunkInterval)
	return wait
}

// Release gives back what is reserved for the body of a connection's request.
func (gd *Guard) Release(cn *Connection) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.releaseBody(cn)
}

func (gd *Guard) releaseBody(cn *Connection) { gd.release(cn, &cn.body) }

func (gd *Guard) releaseHeader(cn *Connection) { gd.release(cn, &cn.header) }

func (gd *Guard) release(cn *Connection, part *usage) {
	gd.reserved.subtract(*part)
	if cn.state == evicted {
		gd.leaving.subtract(*part)
	}
	*part = usage{}
}
