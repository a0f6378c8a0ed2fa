package scheduler

import (
	"container/heap"
	"time"
)

// alarms holds requests for which something is due at a time: the next
// attempt or a hedge. A request has at most one alarm.
type alarms struct {
	byDue dueHeap
}

// set gives a request an alarm in place of any that it has.
func (al *alarms) set(pd *pending, due time.Time) {
	al.clear(pd)
	pd.due = due
	heap.Push(&al.byDue, pd)
}

func (al *alarms) clear(pd *pending) {
	if pd.alarm != noPlace {
		heap.Remove(&al.byDue, pd.alarm)
	}
}

// next returns when the first alarm is due; zero if there is none.
func (al *alarms) next() time.Time {
	if len(al.byDue) == 0 {
		return time.Time{}
	}
	return al.byDue[0].due
}

// pop removes and returns a request whose alarm is due, or nil.
func (al *alarms) pop(now time.Time) *pending {
	if len(al.byDue) == 0 || al.byDue[0].due.After(now) {
		return nil
	}
	return heap.Pop(&al.byDue).(*pending)
}

// dueHeap orders requests by the time of their alarm, then by identifier.
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
	dh[i].alarm = i
	dh[j].alarm = j
}

// Push appends a *pending; it is part of heap.Interface.
func (dh *dueHeap) Push(value any) {
	pd := value.(*pending)
	pd.alarm = len(*dh)
	*dh = append(*dh, pd)
}

// Pop removes the last *pending; it is part of heap.Interface.
func (dh *dueHeap) Pop() any {
	last := len(*dh) - 1
	pd := (*dh)[last]
	(*dh)[last] = nil
	*dh = (*dh)[:last]
	pd.alarm = noPlace
	return pd
}
