package allocator

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// dueChange is the time after which the service class of a job changes. It is
// void once the job has left its list or was inserted again.
type dueChange struct {
	at  time.Time
	job *job
	// insertion is the number of the insertion that recorded the change.
	insertion int
}

// isVoid reports whether the job has left its list or was inserted again.
func (dc dueChange) isVoid() bool {
	return dc.job.list == nil || dc.job.rank.insertion != dc.insertion
}

// dueChanges is a heap of changes, the earliest first.
type dueChanges []dueChange

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (dc dueChanges) Len() int { return len(dc) }

// Less orders changes by time and, to be deterministic, by job.
func (dc dueChanges) Less(i, j int) bool {
	return cmp.Or(dc[i].at.Compare(dc[j].at), cmp.Compare(dc[i].job.info.ID, dc[j].job.info.ID)) < 0
}

// Swap exchanges two changes.
func (dc dueChanges) Swap(i, j int) { dc[i], dc[j] = dc[j], dc[i] }

// Push appends a change.
func (dc *dueChanges) Push(change any) { *dc = append(*dc, change.(dueChange)) }

// Pop removes the last change.
func (dc *dueChanges) Pop() any {
	last := len(*dc) - 1
	change := (*dc)[last]
	(*dc)[last] = dueChange{}
	*dc = (*dc)[:last]
	return change
}

// discardVoid removes the void changes once there are more than a limit.
func (dc *dueChanges) discardVoid(limit int) {
	if len(*dc) <= limit {
		return
	}
	*dc = slices.DeleteFunc(*dc, dueChange.isVoid)
	heap.Init(dc)
}

// takeDue removes and returns the job of a change that is due, or returns nil.
func (dc *dueChanges) takeDue(now time.Time) *job {
	for len(*dc) > 0 && now.After((*dc)[0].at) {
		change := heap.Pop(dc).(dueChange)
		if !change.isVoid() {
			return change.job
		}
	}
	return nil
}
