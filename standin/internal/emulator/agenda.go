package emulator

import (
	"container/heap"
	"time"
)

// timerQueue is a queue of callbacks ordered by due time, then by insertion.
type timerQueue struct {
	items        timerHeap
	lastSequence int
}

// timer is a callback that is due at a time.
type timer struct {
	at       time.Time
	number   int
	callback func()
}

func (tq *timerQueue) add(at time.Time, callback func()) {
	tq.lastSequence++
	heap.Push(&tq.items, timer{
		at:       at,
		number:   tq.lastSequence,
		callback: callback,
	})
}

// next removes and returns the next callback that is due by a time.
func (tq *timerQueue) next(now time.Time) (func(), bool) {
	if len(tq.items) == 0 || tq.items[0].at.After(now) {
		return nil, false
	}
	tr, ok := heap.Pop(&tq.items).(timer)
	return tr.callback, ok
}

// itemHeap implements heap.Interface.
type timerHeap []timer

func (th timerHeap) Len() int { return len(th) }
func (th timerHeap) Less(a, b int) bool {
	if !th[a].at.Equal(th[b].at) {
		return th[a].at.Before(th[b].at)
	}
	return th[a].number < th[b].number
}
func (th timerHeap) Swap(a, b int) { th[a], th[b] = th[b], th[a] }

// Push implements heap.Interface.
func (th *timerHeap) Push(value any) {
	if tr, ok := value.(timer); ok {
		*th = append(*th, tr)
	}
}

// Pop implements heap.Interface.
func (th *timerHeap) Pop() any {
	last := len(*th) - 1
	tr := (*th)[last]
	*th = (*th)[:last]
	return tr
}
