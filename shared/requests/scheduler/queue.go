package scheduler

import "time"

const (
	// levelCount is the number of RFC 9218 urgencies.
	levelCount = 8
	// agedTurn is the number of starts of a kind of which one goes to the
	// request that has waited longest, whatever its urgency.
	agedTurn = 16
)

// queue holds the waiting requests, a level for each urgency.
type queue struct {
	levels [levelCount]level
	bytes  int64
	count  int
	// longFrom is the first level of long work.
	longFrom int
	// turns counts the starts of each kind.
	turns [kindCount]int
	// aged is false if urgency alone decides.
	aged bool
}

func newQueue(longFrom int, aged bool) *queue {
	return &queue{
		longFrom: longFrom,
		aged:     aged,
	}
}

// kindOf returns the kind of work of an urgency.
func (qu *queue) kindOf(urgency int) kind {
	if urgency >= qu.longFrom {
		return longWork
	}
	return urgentWork
}

// span returns the first level of a kind and the one after its last.
func (qu *queue) span(kd kind) (int, int) {
	bound := min(max(qu.longFrom, 0), levelCount)
	if kd == longWork {
		return bound, levelCount
	}
	return 0, bound
}

// lenOf returns the number of waiting requests of a kind.
func (qu *queue) lenOf(kd kind) int {
	from, to := qu.span(kd)
	total := 0
	for le := from; le < to; le++ {
		total += qu.levels[le].len()
	}
	return total
}

// bytesOf returns the size of the bodies of a kind.
func (qu *queue) bytesOf(kd kind) int64 {
	from, to := qu.span(kd)
	var total int64
	for le := from; le < to; le++ {
		total += qu.levels[le].bytes
	}
	return total
}

// excess returns the request to refuse while the queue is over its bounds, or
// nil. A kind that holds less than half of a bound gives way to no other.
func (qu *queue) excess(maxCount int, maxBytes int64) *pending {
	switch {
	case qu.count > max(maxCount, 0):
		return qu.victim(kindOver(qu.lenOf(longWork) > maxCount/2))
	case qu.bytes > max(maxBytes, 0):
		return qu.victim(kindOver(qu.bytesOf(longWork) > maxBytes/2))
	default:
		return nil
	}
}

func kindOver(isLong bool) kind {
	if isLong {
		return longWork
	}
	return urgentWork
}

// ahead returns the number of requests of the same kind that urgency puts
// before a new request.
func (qu *queue) ahead(urgency int) int {
	from, _ := qu.span(qu.kindOf(urgency))
	total := 0
	for le := from; le <= urgency; le++ {
		total += qu.levels[le].len()
	}
	return total
}

func (qu *queue) push(now time.Time, pd *pending) {
	pd.stage = queued
	pd.joined = now
	qu.levels[pd.Urgency].push(pd)
	qu.bytes += pd.Bytes
	qu.count++
}

func (qu *queue) remove(pd *pending) {
	qu.levels[pd.Urgency].remove(pd)
	qu.bytes -= pd.Bytes
	qu.count--
}

// next returns the request of a kind that starts next, or nil. It stays in
// the queue until started is called.
func (qu *queue) next(kd kind) *pending {
	from, to := qu.span(kd)
	if qu.aged && qu.turns[kd]%agedTurn == agedTurn-1 {
		return qu.longestWaiting(from, to)
	}
	for le := from; le < to; le++ {
		if qu.levels[le].len() > 0 {
			return qu.levels[le].earliest()
		}
	}
	return nil
}

// started removes a request that next returned and counts the turn.
func (qu *queue) started(pd *pending) {
	qu.turns[qu.kindOf(pd.Urgency)]++
	qu.remove(pd)
}

// longestWaiting returns the request of the levels that joined first.
func (qu *queue) longestWaiting(from, to int) *pending {
	var best *pending
	for le := from; le < to; le++ {
		pd := qu.levels[le].oldest
		if pd != nil && (best == nil || pd.joined.Before(best.joined)) {
			best = pd
		}
	}
	return best
}

// victim returns the request of a kind that is worth least: of the least
// urgent the one that joined last.
func (qu *queue) victim(kd kind) *pending {
	from, to := qu.span(kd)
	for le := to - 1; le >= from; le-- {
		if qu.levels[le].len() > 0 {
			return qu.levels[le].newest
		}
	}
	return nil
}

// delay returns how long the oldest request of a level has waited.
func (qu *queue) delay(now time.Time, le int) time.Duration {
	pd := qu.levels[le].oldest
	if pd == nil {
		return 0
	}
	return now.Sub(pd.joined)
}
