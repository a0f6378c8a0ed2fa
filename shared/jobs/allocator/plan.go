package allocator

import (
	"time"
)

// periodicInterval is the minimum time between two rounds of time-driven
// decisions, so that a burst of events does not repeat them.
const periodicInterval = 20 * time.Millisecond

// Plan returns the orders that are due. The wall-clock time decides which
// occurrences of scheduled jobs are due.
func (al *Allocator) Plan(now, wallTime time.Time) []Order {
	al.wallClockOffset = wallTime.Sub(now)
	if now.Sub(al.periodicAt) >= periodicInterval {
		al.periodicAt = now
		al.changes.isEveryPool = true
		al.expireLeases(now)
		al.settleWorkers(now)
		al.beginDueOccurrences(now, wallTime)
		al.retryStops(now)
		al.adjustPaces(now)
		al.updateSuspension(now)
		// Decisions that end healthy runs require a confirmed duty.
		if al.isConfirmed(now) {
			al.stopStalledRuns(now)
			al.evictFromDraining(now)
			al.planWaves(now)
			al.planMoves(now)
		}
	}
	al.placeTasks(now)
	al.pollWorkers(now)
	orders := al.orders
	al.orders = nil
	return orders
}
