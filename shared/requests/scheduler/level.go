package scheduler

import "container/heap"

// level holds the queued requests of one urgency. A heap orders them by
// deadline, and a linked list by the time they were queued.
type level struct {
	byDeadline deadlineHeap
	oldest     *pending
	newest     *pending
	bytes      int64
}

func (le *level) len() int { return len(le.byDeadline) }

func (le *level) push(pd *pending) {
	heap.Push(&le.byDeadline, pd)
	le.bytes += pd.Bytes
	pd.older = le.newest
	pd.newer = nil
	if le.newest != nil {
		le.newest.newer = pd
	} else {
		le.oldest = pd
	}
	le.newest = pd
}

func (le *level) remove(pd *pending) {
	heap.Remove(&le.byDeadline, pd.heapIndex)
	le.bytes -= pd.Bytes
	if pd.older != nil {
		pd.older.newer = pd.newer
	} else {
		le.oldest = pd.newer
	}
	if pd.newer != nil {
		pd.newer.older = pd.older
	} else {
		le.newest = pd.older
	}
	pd.older = nil
	pd.newer = nil
}

// earliest returns the request with the earliest deadline.
func (le *level) earliest() *pending { return le.byDeadline[0] }

// deadlineHeap orders requests by deadline, then by ID.
type deadlineHeap []*pending

func (dh deadlineHeap) Len() int { return len(dh) }

func (dh deadlineHeap) Less(i, j int) bool {
	if !dh[i].Deadline.Equal(dh[j].Deadline) {
		return dh[i].Deadline.Before(dh[j].Deadline)
	}
	return dh[i].ID < dh[j].ID
}

func (dh deadlineHeap) Swap(i, j int) {
	dh[i], dh[j] = dh[j], dh[i]
	dh[i].heapIndex = i
	dh[j].heapIndex = j
}

// Push appends a *pending. It implements heap.Interface.
func (dh *deadlineHeap) Push(value any) {
	pd := value.(*pending)
	pd.heapIndex = len(*dh)
	*dh = append(*dh, pd)
}

// Pop removes the last *pending. It implements heap.Interface.
func (dh *deadlineHeap) Pop() any {
	last := len(*dh) - 1
	pd := (*dh)[last]
	(*dh)[last] = nil
	*dh = (*dh)[:last]
	pd.heapIndex = notInHeap
	return pd
}
