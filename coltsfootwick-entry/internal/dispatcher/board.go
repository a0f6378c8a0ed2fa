package dispatcher

import (
	"sync/atomic"

	"coltsfootwick.example/shared/requests/scheduler"
)

// sharedStats makes the scheduler's counts available to other goroutines. Each
// count is exact, but a snapshot may mix counts of consecutive steps.
type sharedStats struct {
	queued      atomic.Int64
	queuedBytes atomic.Int64
	running     atomic.Int64
	slots       atomic.Int64
	retries     atomic.Uint64
	hedges      atomic.Uint64
	ejected     atomic.Int64
}

func (bd *sharedStats) publish(stats scheduler.Stats) {
	bd.queued.Store(int64(stats.Queued))
	bd.queuedBytes.Store(stats.QueuedBytes)
	bd.running.Store(int64(stats.Running))
	bd.slots.Store(int64(stats.Slots))
	bd.retries.Store(stats.Retries)
	bd.hedges.Store(stats.Hedges)
	bd.ejected.Store(int64(stats.Ejected))
}

func (bd *sharedStats) snapshot() scheduler.Stats {
	return scheduler.Stats{
		Queued:      int(bd.queued.Load()),
		QueuedBytes: bd.queuedBytes.Load(),
		Running:     int(bd.running.Load()),
		Slots:       int(bd.slots.Load()),
		Retries:     bd.retries.Load(),
		Hedges:      bd.hedges.Load(),
		Ejected:     int(bd.ejected.Load()),
	}
}
