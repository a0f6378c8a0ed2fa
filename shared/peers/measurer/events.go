package measurer

import "time"

// event is something to be done at a time. Events of the same time are done in
// the order they were planned in.
type event struct {
	time     time.Time
	sequence int
	act      func()
}

// events is a heap by time.
type events []event

// Len implements heap.Interface.
func (es events) Len() int { return len(es) }

// Less implements heap.Interface.
func (es events) Less(left, right int) bool {
	if !es[left].time.Equal(es[right].time) {
		return es[left].time.Before(es[right].time)
	}
	return es[left].sequence < es[right].sequence
}

// Swap implements heap.Interface.
func (es events) Swap(left, right int) { es[left], es[right] = es[right], es[left] }

// Push implements heap.Interface.
func (es *events) Push(item any) {
	if et, ok := item.(event); ok {
		*es = append(*es, et)
	}
}

// Pop implements heap.Interface.
func (es *events) Pop() any {
	last := len(*es) - 1
	et := (*es)[last]
	*es = (*es)[:last]
	return et
}
