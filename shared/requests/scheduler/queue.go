package scheduler

import "time"

const (
	// levelCount is the number of urgency levels in RFC 9218.
	levelCount = 8
	// ageingInterval is the number of starts of a kind of work per start of its
	// longest-waiting request, which is made regardless of urgency.
	ageingInterval = 16
)

// queue holds the queued requests in one level per urgency.
type queue struct {
	levels [levelCount]level
	bytes  int64
	count  int
	// longFrom is the lowest urgency value of long work.
	longFrom int
	// startCounts counts the starts of queued requests of each kind.
	startCounts [kindCount]int
	// ageing is false if requests start by urgency and deadline alone.
	ageing bool
}

func newQueue(longFrom int, ageing bool) *queue {
	return &queue{
		longFrom: longFrom,
		ageing:   ageing,
	}
}

// kindOf returns the kind of work with the given urgency.
func (qu *queue) kindOf(urgency int) kind {
	if urgency >= qu.longFrom {
		return longWork
	}
	return urgentWork
}

// levelRange returns the half-open range of levels of a kind of work.
func (qu *queue) levelRange(kd kind) (int, int) {
	bound := min(max(qu.longFrom, 0), levelCount)
	if kd == longWork {
		return bound, levelCount
	}
	return 0, bound
}

// lenOf returns the number of queued requests of a kind.
func (qu *queue) lenOf(kd kind) int {
	from, to := qu.levelRange(kd)
	total := 0
	for le := from; le < to; le++ {
		total += qu.levels[le].len()
	}
	return total
}

// bytesOf returns the total body size of the queued requests of a kind.
func (qu *queue) bytesOf(kd kind) int64 {
	from, to := qu.levelRange(kd)
	var total int64
	for le := from; le < to; le++ {
		total += qu.levels[le].bytes
	}
	return total
}

// nextEviction returns the request to evict while the queue exceeds its bounds,
// or nil. A kind is never evicted in favour of the other while it uses less
// than half of the bound.
func (qu *queue) nextEviction(maxCount int, maxBytes int64) *pending {
	switch {
	case qu.count > max(maxCount, 0):
		return qu.evictionCandidate(overfullKind(qu.lenOf(longWork) > maxCount/2))
	case qu.bytes > max(maxBytes, 0):
		return qu.evictionCandidate(overfullKind(qu.bytesOf(longWork) > maxBytes/2))
	default:
		return nil
	}
}

func overfullKind(isLong bool) kind {
	if isLong {
		return longWork
	}
	return urgentWork
}

// ahead returns the number of queued requests that start before a new request
// of the same kind with the given urgency.
func (qu *queue) ahead(urgency int) int {
	from, _ := qu.levelRange(qu.kindOf(urgency))
	total := 0
	for le := from; le <= urgency; le++ {
		total += qu.levels[le].len()
	}
	return total
}

func (qu *queue) push(now time.Time, pd *pending) {
	pd.stage = queued
	pd.enqueuedAt = now
	qu.levels[pd.Urgency].push(pd)
	qu.bytes += pd.Bytes
	qu.count++
}

func (qu *queue) remove(pd *pending) {
	qu.levels[pd.Urgency].remove(pd)
	qu.bytes -= pd.Bytes
	qu.count--
}

// next returns the request of a kind that is to start next, or nil. It stays
// queued until removeStarted is called.
func (qu *queue) next(kd kind) *pending {
	from, to := qu.levelRange(kd)
	if qu.ageing && qu.startCounts[kd]%ageingInterval == ageingInterval-1 {
		return qu.longestWaiting(from, to)
	}
	for le := from; le < to; le++ {
		if qu.levels[le].len() > 0 {
			return qu.levels[le].earliest()
		}
	}
	return nil
}

// removeStarted removes a request returned by next and counts its start.
func (qu *queue) removeStarted(pd *pending) {
	qu.startCounts[qu.kindOf(pd.Urgency)]++
	qu.remove(pd)
}

// longestWaiting returns the request queued first in a range of levels, or nil.
func (qu *queue) longestWaiting(from, to int) *pending {
	var best *pending
	for le := from; le < to; le++ {
		pd := qu.levels[le].oldest
		if pd != nil && (best == nil || pd.enqueuedAt.Before(best.enqueuedAt)) {
			best = pd
		}
	}
	return best
}

// evictionCandidate returns the most recently queued request of a kind's least
// urgent non-empty level.
func (qu *queue) evictionCandidate(kd kind) *pending {
	from, to := qu.levelRange(kd)
	for le := to - 1; le >= from; le-- {
		if qu.levels[le].len() > 0 {
			return qu.levels[le].newest
		}
	}
	return nil
}

// oldestWait returns how long the oldest request of a level has been queued.
func (qu *queue) oldestWait(now time.Time, le int) time.Duration {
	pd := qu.levels[le].oldest
	if pd == nil {
		return 0
	}
	return now.Sub(pd.enqueuedAt)
}
