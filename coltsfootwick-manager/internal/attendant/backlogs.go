package attendant

import (
	"sync/atomic"
	"time"

	"coltsfootwick.example/shared/jobs/admitter"
)

// backlogs holds the latest figures of the holder.
type backlogs struct {
	latest atomic.Pointer[publication]
}

// publication is what the holder published at a time.
type publication struct {
	publishedAt time.Time
	byPool      map[string]admitter.Backlog
}

// set replaces the figures by later ones. The connection of an earlier holder may still
// deliver older ones.
func (bl *backlogs) set(byPool map[string]admitter.Backlog, publishedAt time.Time) {
	next := &publication{
		publishedAt: publishedAt,
		byPool:      byPool,
	}
	for {
		present := bl.latest.Load()
		if present != nil && !publishedAt.After(present.publishedAt) || bl.latest.CompareAndSwap(present, next) {
			return
		}
	}
}

// Backlog returns the backlog of a pool that the holder has last published, and the time at
// which it was published at the latest, by package timekeeper. It is false if the last
// figures have none of the pool. They stay while there is no holder, and their age counts.
func (at *Attendant) Backlog(pool string) (bl admitter.Backlog, publishedAt time.Time, ok bool) {
	latest := at.backlogs.latest.Load()
	if latest == nil {
		return admitter.Backlog{}, time.Time{}, false
	}
	bl, ok = latest.byPool[pool]
	return bl, latest.publishedAt, ok
}
