package allocator

import (
	"time"
)

// choreInterval is the least time between two rounds of what depends on time
// alone, so that a burst of events doesn't repeat it.
const choreInterval = 20 * time.Millisecond

// Plan returns the orders that are due. TimeOfDay is for jobs with set times.
func (al *Allocator) Plan(now, timeOfDay time.Time) []Order {
	if now.Sub(al.choresAt) >= choreInterval {
		al.choresAt = now
		al.dropSilent(now)
		al.beginDue(now, timeOfDay)
		al.repeatStops(now)
		al.settle(now)
		al.pace(now)
		// What ends healthy runs is left to whoever surely holds the duty.
		if now.Sub(al.confirmedAt) < al.bounds.DutyLease {
			al.moveStalled(now)
			al.leaveDraining(now)
			al.planFleet(now)
			al.planMoves(now)
		}
	}
	al.place(now)
	al.poll(now)
	orders := al.orders
	al.orders = nil
	return orders
}
