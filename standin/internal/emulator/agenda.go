package emulator

import (
	"container/heap"
	"time"
)

// agenda holds what is due at set times, in the order of their times and then
// of their adding.
type agenda struct {
	items itemHeap
	count int
}

// item is one thing that is due.
type item struct {
	at     time.Time
	number int
	act    func()
}

func (ag *agenda) add(at time.Time, act func()) {
	ag.count++
	heap.Push(&ag.items, item{
		at:     at,
		number: ag.count,
		act:    act,
	})
}

// next returns the next thing that is due by a time.
func (ag *agenda) next(now time.Time) (func(), bool) {
	if len(ag.items) == 0 || ag.items[0].at.After(now) {
		return nil, false
	}
	it, ok := heap.Pop(&ag.items).(item)
	return it.act, ok
}

// itemHeap implements heap.Interface.
type itemHeap []item

func (ih itemHeap) Len() int { return len(ih) }
func (ih itemHeap) Less(a, b int) bool {
	if !ih[a].at.Equal(ih[b].at) {
		return ih[a].at.Before(ih[b].at)
	}
	return ih[a].number < ih[b].number
}
func (ih itemHeap) Swap(a, b int) { ih[a], ih[b] = ih[b], ih[a] }

// Push implements heap.Interface.
func (ih *itemHeap) Push(value any) {
	if it, ok := value.(item); ok {
		*ih = append(*ih, it)
	}
}

// Pop implements heap.Interface.
func (ih *itemHeap) Pop() any {
	last := len(*ih) - 1
	it := (*ih)[last]
	*ih = (*ih)[:last]
	return it
}
