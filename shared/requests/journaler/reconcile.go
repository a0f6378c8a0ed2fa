package journaler

import (
	"maps"
	"time"
)

// plan is what a page becomes by what its writer holds and was asked for.
type plan struct {
	page page
	// changed is true if the page differs from the one that was read.
	changed bool
	// granted are the demands that hold once the page is written.
	granted []*demand
	// found are the demands that lost to another record.
	found []*demand
	// refused are the demands that the page has no room for.
	refused []*demand
}

// reconcile works out what the page read from the platform's service becomes.
//
// The writer's own table, held, is the truth about its incarnation's claims: a
// claim in the page that is not held will never be sent, so it is removed. The
// claims of others are left alone, whether their owners live or not.
func reconcile(read page, incarnation string, held map[ID]Record, demands []*demand, now time.Time) plan {
	pn := plan{page: maps.Clone(read)}
	if pn.page == nil {
		pn.page = page{}
	}
	pn.page.prune(now)
	for id, rd := range pn.page {
		if _, ok := held[id]; !ok && rd.Owner == incarnation && !rd.final() && !isDemanded(id, rd.Serial, demands) {
			delete(pn.page, id)
		}
	}
	for id, rd := range held {
		pn.hold(id, rd)
	}
	pn.page.dropAnswers()
	room := maxPageBytes - pn.page.size()
	for _, dd := range demands {
		room -= pn.demand(dd, incarnation, room)
	}
	pn.changed = !sameRecords(read, pn.page)
	return pn
}

// hold puts the writer's own record in the page. A claim of its own can't be
// missing from the page that was read, so a record that is missing has expired.
func (pn *plan) hold(id ID, own Record) {
	rd, ok := pn.page[id]
	if ok && rd.Owner == own.Owner && rd.Serial == own.Serial && !rd.final() {
		pn.page[id] = own
	}
}

// demand adds a claim and returns the room that it takes.
func (pn *plan) demand(dd *demand, incarnation string, room int) int {
	rd, ok := pn.page[dd.id]
	switch {
	case ok && rd.Owner == incarnation && rd.Serial == dd.serial:
		pn.granted = append(pn.granted, dd)
		return 0
	case ok:
		pn.found = append(pn.found, dd)
		return 0
	case room < recordBytes:
		pn.refused = append(pn.refused, dd)
		return 0
	}
	pn.page[dd.id] = Record{
		Digest:  dd.digest,
		State:   Claimed,
		Owner:   incarnation,
		Serial:  dd.serial,
		Expires: dd.expires,
	}
	pn.granted = append(pn.granted, dd)
	return recordBytes
}

func isDemanded(id ID, serial uint64, demands []*demand) bool {
	for _, dd := range demands {
		if dd.id == id && dd.serial == serial {
			return true
		}
	}
	return false
}

// sameRecords compares pages by what changes in a record: its owner's serial
// and its state; and whether its answer is stored.
func sameRecords(left, right page) bool {
	return maps.EqualFunc(left, right, func(lt, rt Record) bool {
		return lt.Owner == rt.Owner && lt.Serial == rt.Serial && lt.State == rt.State && (lt.Answer == nil) == (rt.Answer == nil)
	})
}
