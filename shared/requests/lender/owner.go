package lender

import (
	"slices"
	"time"
)

// hasConfirmedOwnership reports whether this entry may use a target as its
// owner: all peers have confirmed its ownership within LeaseTime.
func (br *broker) hasConfirmedOwnership(now time.Time, ts *targetSlots) bool {
	if now.Sub(br.lastTick) > br.config.LeaseTime {
		return false
	}
	for _, bo := range ts.borrowers {
		if !now.Before(bo.confirmedAt.Add(br.config.LeaseTime)) {
			return false
		}
	}
	return true
}

// mayGrow reports whether this entry owns the target and knows of every slot in
// use, so that it may hand out the remaining slots.
func (br *broker) mayGrow(now time.Time, ts *targetSlots) bool {
	if ts.owner != br.self || now.Before(br.uncertaintyEnd(ts)) || !br.hasConfirmedOwnership(now, ts) {
		return false
	}
	confirmedSinceResume := true
	anyViewStable := false
	for _, bo := range ts.borrowers {
		if !bo.known || bo.view != br.view {
			return false
		}
		confirmedSinceResume = confirmedSinceResume && !bo.confirmedAt.Before(br.resumedAt)
		anyViewStable = anyViewStable || bo.viewStable
	}
	return confirmedSinceResume && anyViewStable || !now.Before(ts.noGrowthUntil)
}

// uncertaintyEnd returns the time until which owners that left the view may
// still have rights, or borrowers unknown to this entry may have leases.
func (br *broker) uncertaintyEnd(ts *targetSlots) time.Time {
	end := ts.uncertainUntil
	for owner, until := range ts.confirmedOwners {
		if !slices.Contains(br.peers, owner) {
			end = later(end, until)
		}
	}
	return end
}

// slotsOutOfView returns the number of slots that entries outside the view may
// still use.
func (br *broker) slotsOutOfView(now time.Time, ts *targetSlots) int {
	if now.Before(br.uncertaintyEnd(ts)) {
		return ts.Slots
	}
	return ts.reservedSlots(now)
}

// isOvercommitted reports whether more slots are handed out than the target
// has. This happens after a partition between entries has healed.
func (br *broker) isOvercommitted(now time.Time, ts *targetSlots) bool {
	return ts.owner == br.self && br.hasConfirmedOwnership(now, ts) && ts.committedInView() > ts.Slots
}

// committedInView returns the number of slots that entries in view may be
// using.
func (ts *targetSlots) committedInView() int {
	total := max(ts.ownSlots, ts.inFlight)
	for _, bo := range ts.borrowers {
		total += bo.committed
	}
	return total
}

// unallocated returns the number of slots that no entry can be using. It is
// negative if more are in use than the target has.
func (ts *targetSlots) unallocated(now time.Time) int {
	free := ts.Slots - ts.committedInView() - ts.reservedSlots(now)
	for _, bo := range ts.borrowers {
		free -= bo.reserved
	}
	return free
}

// allocate divides the slots of a target among the owner and the borrowers.
// Shares are lowered immediately, but raised only by slots that no entry can be
// using.
func (br *broker) allocate(now time.Time, ts *targetSlots) {
	mayGrow := br.mayGrow(now, ts)
	if !mayGrow && !br.isOvercommitted(now, ts) {
		return
	}
	wanted := []int{ts.wanted(now, br.queuedPerTarget(), br.config.DemandWindow)}
	for _, peer := range br.peers {
		wanted = append(wanted, ts.borrowers[peer].wanted)
	}
	shares := divide(ts.Slots, wanted)
	ts.ownSlots = min(ts.ownSlots, shares[0])
	for i, peer := range br.peers {
		ts.borrowers[peer].shrink(shares[i+1])
	}
	if !mayGrow {
		return
	}
	ts.leasedUntil = time.Time{}
	free := ts.growOwn(shares[0], ts.unallocated(now))
	for i, peer := range br.peers {
		free = ts.borrowers[peer].grow(shares[i+1], free)
	}
}

// growOwn raises the owner's slots up to its share and returns the remaining
// free slots. Free is negative if entries whose leases have expired still have
// attempts in flight.
func (ts *targetSlots) growOwn(share, free int) int {
	used := max(ts.ownSlots, ts.inFlight)
	ts.ownSlots = max(ts.ownSlots, min(share, used+free))
	return free - (max(ts.ownSlots, ts.inFlight) - used)
}

// shrink lowers the slots that a borrower may use. They stay committed until
// the borrower reports that it has released them.
func (bo *borrower) shrink(share int) { bo.allowed = min(bo.allowed, share) }

// grow raises a borrower's slots up to its share and returns the remaining free
// slots.
func (bo *borrower) grow(share, free int) int {
	allowed := min(share, bo.committed+free)
	bo.allowed = max(bo.allowed, allowed)
	added := max(bo.allowed-bo.committed, 0)
	bo.committed += added
	return free - added
}

// handleRequest records a peer's Request and answers it with a Grant.
func (br *broker) handleRequest(now time.Time, li *link, re Request) {
	for _, sr := range re.Targets {
		ts := br.slotsByVM[sr.VM]
		if ts == nil || ts.owner != br.self {
			continue
		}
		bo := ts.borrowers[li.peer]
		bo.known = true
		bo.lastRequestAt = now
		bo.committed = sr.Held
		bo.reserved = sr.Reserved
		bo.allowed = sr.Leased
		bo.wanted = sr.Wanted
		bo.view = re.View
		bo.viewStable = re.ViewStable
		if sentAt := li.sendTime(re.Echo); sentAt.After(bo.confirmedAt) {
			bo.confirmedAt = sentAt
		}
		br.allocate(now, ts)
	}
	br.sendGrant(now, li)
}

// markGrantsDue marks the borrowers of a target that must be sent a Grant:
// those that get slots that they want, and those that must release slots that
// other entries want.
func (br *broker) markGrantsDue(now time.Time, ts *targetSlots) {
	otherDemand := ts.wanted(now, br.queuedPerTarget(), br.config.DemandWindow) > ts.ownSlots
	for _, bo := range ts.borrowers {
		otherDemand = otherDemand || bo.wanted > bo.allowed
	}
	for peer, bo := range ts.borrowers {
		raised := bo.allowed > bo.lastGranted && bo.lastGranted < bo.wanted
		lowered := bo.allowed < bo.lastGranted && otherDemand
		if bo.known && (raised || lowered) {
			br.links[peer].grantDue = true
		}
	}
}

// sendGrant sends a borrower its leases. A lease never outlasts the
// confirmation of the ownership on which it is based.
func (br *broker) sendGrant(now time.Time, li *link) {
	gr := Grant{
		Echo:    li.received,
		Answers: li.requested,
	}
	for _, ts := range br.sortedSlots {
		if ts.owner != br.self {
			continue
		}
		bo := ts.borrowers[li.peer]
		if !bo.known || !br.hasConfirmedOwnership(now, ts) {
			continue
		}
		bo.lastGranted = bo.allowed
		gr.Targets = append(gr.Targets, SlotGrant{
			VM:       ts.VM,
			Slots:    bo.allowed,
			Duration: br.ownershipEnd(now, ts).Sub(now),
		})
	}
	gr.Sequence = br.nextSequence(now, li)
	li.grantedAt = now
	li.grantDue = false
	br.send(li, gr)
}
