package scheduler

import (
	"container/heap"
	"time"
)

// timers holds the requests with a pending timer, for the next attempt or for a
// hedge. A request has at most one timer.
type timers struct {
	byDue dueHeap
}

// set starts a timer for a request and replaces any earlier one.
func (ti *timers) set(pd *pending, due time.Time) {
	ti.clear(pd)
	pd.due = due
	heap.Push(&ti.byDue, pd)
}

func (ti *timers) clear(pd *pending) {
	if pd.timerIndex != notInHeap {
		heap.Remove(&ti.byDue, pd.timerIndex)
	}
}

// next returns when the earliest timer fires, or zero if there is none.
func (ti *timers) next() time.Time {
	if len(ti.byDue) == 0 {
		return time.Time{}
	}
	return ti.byDue[0].due
}

// pop removes and returns a request whose timer has fired, or nil.
func (ti *timers) pop(now time.Time) *pending {
	if len(ti.byDue) == 0 || ti.byDue[0].due.After(now) {
		return nil
	}
	return heap.Pop(&ti.byDue).(*pending)
}

// dueHeap orders requests by the due time of their timers, then by ID.
type dueHeap []*pending

func (dh dueHeap) Len() int { return len(dh) }

func (dh dueHeap) Less(i, j int) bool {
	if !dh[i].due.Equal(dh[j].due) {
		return dh[i].due.Before(dh[j].due)
	}
	return dh[i].ID < dh[j].ID
}

func (dh dueHeap) Swap(i, j int) {
	dh[i], dh[j] = dh[j], dh[i]
	dh[i].timerIndex = i
	dh[j].timerIndex = j
}

// Push appends a *pending. It implements heap.Interface.
func (dh *dueHeap) Push(value any) {
	pd := value.(*pending)
	pd.timerIndex = len(*dh)
	*dh = append(*dh, pd)
}

// Pop removes the last *pending. It implements heap.Interface.
func (dh *dueHeap) Pop() any {
	last := len(*dh) - 1
	pd := (*dh)[last]
	(*dh)[last] = nil
	*dh = (*dh)[:last]
	pd.timerIndex = notInHeap
	return pd
}
