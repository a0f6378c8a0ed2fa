package lender

import (
	"maps"
	"slices"
	"time"
)

// targetSlots is the state of a target's slots in one entry.
type targetSlots struct {
	Target
	inFlight int
	demand   peak
	// owner is the entry that owns the target and lends its slots.
	owner Entry

	// leased is the number of slots lent to this entry until leasedUntil.
	leased      int
	leasedUntil time.Time

	// Before uncertainUntil, other entries may hold slots that this entry does
	// not know of. Before noGrowthUntil they may do so too, unless all peers
	// have confirmed since the last pause that this entry is the owner and one
	// of them has a stable view.
	uncertainUntil, noGrowthUntil time.Time
	// confirmedOwners holds the owners that this entry has confirmed, and when
	// the rights based on the confirmation end.
	confirmedOwners map[Entry]time.Time
	// ownSlots is the number of slots that this entry uses as the owner.
	ownSlots int
	// borrowers are the peers that may borrow slots.
	borrowers map[Entry]*borrower
	// reservations are the slots that may be held by entries that left the
	// view.
	reservations []reservation
	// requestedHeld and requestedWanted are the values in the last Request.
	requestedHeld, requestedWanted int
}

// borrower is a borrower's state in the owner.
type borrower struct {
	// known is true once a Request has reported the slots held by the borrower.
	known bool
	// committed is the maximum number of slots that the borrower may be using,
	// allowed the number that the next Grant will lend.
	committed, allowed int
	// lastGranted is the number of slots in the last Grant.
	lastGranted int
	// reserved is the number of slots that the borrower reports as reserved for
	// entries that left its view.
	reserved int
	wanted   int
	// confirmedAt is when this entry sent the last message that the borrower
	// has echoed while treating this entry as the owner.
	confirmedAt time.Time
	// lastRequestAt is when the last Request was received. view and viewStable
	// are its values.
	lastRequestAt time.Time
	view          uint64
	viewStable    bool
}

// reservation keeps slots unused until a borrower's lease has certainly
// expired.
type reservation struct {
	slots int
	until time.Time
}

// recordConfirmation records that this entry has confirmed an owner and that
// the rights based on it last until the given time.
func (ts *targetSlots) recordConfirmation(now time.Time, owner Entry, until time.Time) {
	maps.DeleteFunc(ts.confirmedOwners, func(_ Entry, end time.Time) bool { return !now.Before(end) })
	if ts.confirmedOwners == nil {
		ts.confirmedOwners = map[Entry]time.Time{}
	}
	ts.confirmedOwners[owner] = later(ts.confirmedOwners[owner], until)
}

// reservedSlots returns the number of slots reserved for entries that left the
// view.
func (ts *targetSlots) reservedSlots(now time.Time) int {
	total := 0
	ts.reservations = slices.DeleteFunc(ts.reservations, func(re reservation) bool { return !now.Before(re.until) })
	for _, re := range ts.reservations {
		total += re.slots
	}
	return total
}

// wanted returns the number of slots for which the entry has requests.
func (ts *targetSlots) wanted(now time.Time, queued int, window time.Duration) int {
	return min(ts.demand.observe(now, ts.inFlight+queued, window), ts.Slots)
}

// leasedSlots returns the number of slots covered by the entry's lease.
func (ts *targetSlots) leasedSlots(now time.Time) int {
	if !now.Before(ts.leasedUntil) {
		return 0
	}
	return ts.leased
}

// heldSlots returns the number of slots that the entry will not exceed without
// a new grant.
func (ts *targetSlots) heldSlots(now time.Time) int { return max(ts.inFlight, ts.leasedSlots(now)) }

// peak is the maximum over the current and the previous window.
type peak struct {
	current, previous int
	windowEnd         time.Time
}

func (pe *peak) observe(now time.Time, value int, window time.Duration) int {
	switch {
	case pe.windowEnd.IsZero() || !now.Before(pe.windowEnd.Add(window)):
		pe.current = 0
		pe.previous = 0
		pe.windowEnd = now.Add(window)
	case !now.Before(pe.windowEnd):
		pe.previous = pe.current
		pe.current = 0
		pe.windowEnd = pe.windowEnd.Add(window)
	}
	pe.current = max(pe.current, value)
	return max(pe.current, pe.previous)
}
