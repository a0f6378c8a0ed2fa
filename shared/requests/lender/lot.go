package lender

import (
	"maps"
	"slices"
	"time"
)

// lot is a target's slots as one entry sees them.
type lot struct {
	Target
	inFlight int
	demand   peak
	// owner is the entry that lends the slots.
	owner Entry

	// allowed is what the owner lent to this entry, until a time.
	allowed int
	until   time.Time

	// bound is the time before which others may hold slots unknown to this
	// entry, whatever it hears. Before held they may, unless all peers agree
	// that this entry is the owner and one of them is settled.
	bound, held time.Time
	// confirms has the owners that this entry confirmed, and when the rights
	// end that this gave.
	confirms map[Entry]time.Time
	// own is what this entry keeps as the owner.
	own int
	// parties are the peers that may borrow.
	parties map[Entry]*party
	// reserved are slots that entries hold that left the view.
	reserved []reservation
	// askedHolds and askedWants are what the last Request said.
	askedHolds, askedWants int
}

// party is a borrower as the owner sees it.
type party struct {
	// known is true once a Request said what the borrower holds.
	known bool
	// committed is the most that it may use, allowed what it may use by the
	// last Grant.
	committed, allowed int
	// granted is what the last Grant said.
	granted int
	// reserved is what it keeps for entries that left its view.
	reserved int
	wants    int
	// confirmed is when this entry sent the last message that the borrower
	// has echoed to it as the owner.
	confirmed time.Time
	// heard is when its last Request came, and view the view that it told.
	heard   time.Time
	view    uint64
	settled bool
}

// reservation keeps slots until a borrower's lease has certainly expired.
type reservation struct {
	slots int
	until time.Time
}

// confirm notes that an owner has rights until a time.
func (lo *lot) confirm(now time.Time, owner Entry, until time.Time) {
	maps.DeleteFunc(lo.confirms, func(_ Entry, end time.Time) bool { return !now.Before(end) })
	if lo.confirms == nil {
		lo.confirms = map[Entry]time.Time{}
	}
	lo.confirms[owner] = later(lo.confirms[owner], until)
}

// reservedSlots returns the slots kept for entries that left the view.
func (lo *lot) reservedSlots(now time.Time) int {
	total := 0
	lo.reserved = slices.DeleteFunc(lo.reserved, func(re reservation) bool { return !now.Before(re.until) })
	for _, re := range lo.reserved {
		total += re.slots
	}
	return total
}

// wants returns the slots that the entry has work for.
func (lo *lot) wants(now time.Time, queued int, hold time.Duration) int {
	return min(lo.demand.observe(now, lo.inFlight+queued, hold), lo.Slots)
}

// keeps returns the slots that the entry's lease covers.
func (lo *lot) keeps(now time.Time) int {
	if !now.Before(lo.until) {
		return 0
	}
	return lo.allowed
}

// holds returns the slots that the entry will not exceed without a new grant.
func (lo *lot) holds(now time.Time) int { return max(lo.inFlight, lo.keeps(now)) }

// peak is the largest value seen in the present and the previous window.
type peak struct {
	present, previous int
	ends              time.Time
}

func (pe *peak) observe(now time.Time, value int, window time.Duration) int {
	switch {
	case pe.ends.IsZero() || !now.Before(pe.ends.Add(window)):
		pe.present = 0
		pe.previous = 0
		pe.ends = now.Add(window)
	case !now.Before(pe.ends):
		pe.previous = pe.present
		pe.present = 0
		pe.ends = pe.ends.Add(window)
	}
	pe.present = max(pe.present, value)
	return max(pe.present, pe.previous)
}
