package measurer

import "time"

// event is a function to be called at a time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	time     time.Time
	sequence int
	run      func()
}

// events is a heap ordered by time.
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
