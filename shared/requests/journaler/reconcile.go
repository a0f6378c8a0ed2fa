package journaler

import (
	"maps"
	"time"
)

// plan is the next content of a page and the claim requests that it decides.
type plan struct {
	page page
	// changed is true if the page differs from the one that was read.
	changed bool
	// granted are the claim requests to be granted once the page is written.
	granted []*claimRequest
	// found are the claim requests whose key already has a record.
	found []*claimRequest
	// rejected are the claim requests that don't fit in the page.
	rejected []*claimRequest
}

// reconcile computes the next content of the page that was read from the
// platform's key-value service.
//
// The writer's table held is authoritative for the claims of its incarnation: a
// claim in the page that is not held will never be sent, so it is removed.
// Claims of other incarnations are left unchanged, whether or not their owners
// are alive.
func reconcile(current page, incarnation string, held map[ID]Record, pendingClaims []*claimRequest, now time.Time) plan {
	pn := plan{page: maps.Clone(current)}
	if pn.page == nil {
		pn.page = page{}
	}
	pn.page.prune(now)
	for id, rd := range pn.page {
		if _, ok := held[id]; !ok && rd.Owner == incarnation && !rd.isFinal() && !isRequested(id, rd.Serial, pendingClaims) {
			delete(pn.page, id)
		}
	}
	for id, rd := range held {
		pn.putOwned(id, rd)
	}
	pn.page.dropAnswers()
	room := maxPageBytes - pn.page.size()
	for _, cr := range pendingClaims {
		room -= pn.addClaim(cr, incarnation, room)
	}
	pn.changed = !equalRecords(current, pn.page)
	return pn
}

// putOwned updates a record of this incarnation in the page. The page that was
// read contains all claims of this incarnation that have not expired, so a
// missing record has expired and is not added.
func (pn *plan) putOwned(id ID, own Record) {
	rd, ok := pn.page[id]
	if ok && rd.Owner == own.Owner && rd.Serial == own.Serial && !rd.isFinal() {
		pn.page[id] = own
	}
}

// addClaim adds a claim and returns the size that it takes.
func (pn *plan) addClaim(cr *claimRequest, incarnation string, room int) int {
	rd, ok := pn.page[cr.id]
	switch {
	case ok && rd.Owner == incarnation && rd.Serial == cr.serial:
		pn.granted = append(pn.granted, cr)
		return 0
	case ok:
		pn.found = append(pn.found, cr)
		return 0
	case room < recordBytes:
		pn.rejected = append(pn.rejected, cr)
		return 0
	}
	pn.page[cr.id] = Record{
		Digest:  cr.digest,
		State:   Claimed,
		Owner:   incarnation,
		Serial:  cr.serial,
		Expires: cr.expires,
	}
	pn.granted = append(pn.granted, cr)
	return recordBytes
}

func isRequested(id ID, serial uint64, pendingClaims []*claimRequest) bool {
	for _, cr := range pendingClaims {
		if cr.id == id && cr.serial == serial {
			return true
		}
	}
	return false
}

// equalRecords reports whether two pages are equal in the parts of a record
// that change: the owner, the serial, the state and whether an answer is
// stored.
func equalRecords(left, right page) bool {
	return maps.EqualFunc(left, right, func(lt, rt Record) bool {
		return lt.Owner == rt.Owner && lt.Serial == rt.Serial && lt.State == rt.State && (lt.Answer == nil) == (rt.Answer == nil)
	})
}
