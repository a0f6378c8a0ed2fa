package measurer

import (
	"container/heap"
	"time"
)

// epoch is when virtual time begins.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// timeline runs events in the order of their virtual times.
type timeline struct {
	now    time.Time
	events eventHeap
	count  int
}

func newTimeline() *timeline { return &timeline{now: epoch} }

// since returns the virtual time that has passed.
func (tl *timeline) since() time.Duration { return tl.now.Sub(epoch) }

// at calls a function at a time, not before the present.
func (tl *timeline) at(when time.Time, call func()) {
	if when.Before(tl.now) {
		when = tl.now
	}
	tl.count++
	heap.Push(&tl.events, event{
		when:   when,
		number: tl.count,
		call:   call,
	})
}

// after calls a function after a time.
func (tl *timeline) after(delay time.Duration, call func()) { tl.at(tl.now.Add(delay), call) }

// run runs all events up to a time.
func (tl *timeline) run(length time.Duration) {
	until := epoch.Add(length)
	for len(tl.events) > 0 && !tl.events[0].when.After(until) {
		ev := heap.Pop(&tl.events).(event)
		tl.now = ev.when
		ev.call()
	}
	tl.now = until
}

// event is a call due at a time; equal times run in the order of their numbers.
type event struct {
	when   time.Time
	number int
	call   func()
}

type eventHeap []event

func (eh eventHeap) Len() int { return len(eh) }

func (eh eventHeap) Less(i, j int) bool {
	if !eh[i].when.Equal(eh[j].when) {
		return eh[i].when.Before(eh[j].when)
	}
	return eh[i].number < eh[j].number
}

func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }

// Push appends an event; it is part of heap.Interface.
func (eh *eventHeap) Push(value any) { *eh = append(*eh, value.(event)) }

// Pop removes the last event; it is part of heap.Interface.
func (eh *eventHeap) Pop() any {
	last := len(*eh) - 1
	ev := (*eh)[last]
	(*eh)[last] = event{}
	*eh = (*eh)[:last]
	return ev
}
