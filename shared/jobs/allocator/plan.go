package allocator

import "time"

// Plan returns the orders that are due. TimeOfDay is for jobs with set times.
func (al *Allocator) Plan(now, timeOfDay time.Time) []Order {
	al.dropSilent(now)
	al.beginDue(now, timeOfDay)
	al.repeatStops(now)
	al.moveStalled(now)
	al.leaveDraining(now)
	al.planFleet(now)
	al.pace(now)
	al.place(now)
	al.look(now)
	orders := al.orders
	al.orders = nil
	return orders
}
