// Package ranker orders waiting jobs by what their delay costs callers: by the
// priority of their queue, by how soon they have to start to be on time, and by the
// work that they still require. It reads no clock.
//
// It answers the load in which a pool has more work that can still be on time than
// room. Shortest-job-first alone completes the most jobs, but delays the large ones
// until none of them can be on time. Earliest-deadline-first alone spends the room on
// jobs that then miss their deadlines together. The order used here is by a virtual
// start: the latest start at which the job is on time, deferred by a fixed time for each
// doubling of its work. So a small job overtakes a larger one by a bounded time only.
package ranker

import (
	"cmp"
	"math"
	"time"
)

// deferralPerDoubling is by how much a job's virtual start is later than that of a job
// with half its work and the same latest start.
const deferralPerDoubling = 500 * time.Millisecond

// minWork is the least work that is told apart.
const minWork = 10 * time.Millisecond

// Job is what a job's place in the order depends on.
type Job struct {
	// Priority is the priority of the job's queue; zero is the most urgent.
	Priority int
	// LatestStart is the latest time at which the rest of the job can start for the job
	// to be on time.
	LatestStart time.Time
	// Work is the core time that the job still requires.
	Work time.Duration
}

// Key is a place in the order of service.
type Key struct {
	// Priority orders before VirtualStart.
	Priority int
	// VirtualStart is the job's latest start, deferred by its work.
	VirtualStart time.Time
}

// New returns the place of a job.
func New(jb Job) Key {
	doublings := math.Log2(float64(max(jb.Work, minWork)) / float64(time.Second))
	return Key{
		Priority:     jb.Priority,
		VirtualStart: jb.LatestStart.Add(time.Duration(doublings * float64(deferralPerDoubling))),
	}
}

// Compare orders keys for service, the first to be served before the others.
func (ky Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(ky.Priority, other.Priority), ky.VirtualStart.Compare(other.VirtualStart))
}
