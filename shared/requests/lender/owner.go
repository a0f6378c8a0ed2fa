package lender

import (
	"slices"
	"time"
)

// isMandated reports whether this entry may use a lot as its owner: all peers
// confirmed lately that they take it for the owner.
func (br *broker) isMandated(now time.Time, lo *lot) bool {
	if now.Sub(br.lastTick) > br.config.LeaseTime {
		return false
	}
	for _, pa := range lo.parties {
		if !now.Before(pa.confirmed.Add(br.config.LeaseTime)) {
			return false
		}
	}
	return true
}

// mayGrow reports whether the owner of a lot knows of every slot in use, and
// so may give out the rest.
func (br *broker) mayGrow(now time.Time, lo *lot) bool {
	if lo.owner != br.self || now.Before(br.boundOf(lo)) || !br.isMandated(now, lo) {
		return false
	}
	fresh := true
	settled := false
	for _, pa := range lo.parties {
		if !pa.known || pa.view != br.view {
			return false
		}
		fresh = fresh && !pa.confirmed.Before(br.wokenAt)
		settled = settled || pa.settled
	}
	return fresh && settled || !now.Before(lo.held)
}

// boundOf returns the time before which owners that left the view may have
// rights, or borrowers leases.
func (br *broker) boundOf(lo *lot) time.Time {
	bound := lo.bound
	for owner, until := range lo.confirms {
		if !slices.Contains(br.peers, owner) {
			bound = later(bound, until)
		}
	}
	return bound
}

// reservedOf returns the slots that entries out of view may still use.
func (br *broker) reservedOf(now time.Time, lo *lot) int {
	if now.Before(br.boundOf(lo)) {
		return lo.Slots
	}
	return lo.reservedSlots(now)
}

// isOverdrawn reports whether more slots are given out than there are, as
// after entries that did not see each other find together again.
func (br *broker) isOverdrawn(now time.Time, lo *lot) bool {
	return lo.owner == br.self && br.isMandated(now, lo) && lo.inView() > lo.Slots
}

// inView returns the slots that entries in view may be using.
func (lo *lot) inView() int {
	total := max(lo.own, lo.inFlight)
	for _, pa := range lo.parties {
		total += pa.committed
	}
	return total
}

// unused returns the slots that nobody can be using.
func (lo *lot) unused(now time.Time) int {
	free := lo.Slots - lo.inView() - lo.reservedSlots(now)
	for _, pa := range lo.parties {
		free -= pa.reserved
	}
	return free
}

// allocate divides a lot among the owner and the borrowers. Shares shrink at
// once; they grow only by slots that nobody can be using.
func (br *broker) allocate(now time.Time, lo *lot) {
	mayGrow := br.mayGrow(now, lo)
	if !mayGrow && !br.isOverdrawn(now, lo) {
		return
	}
	wants := []int{lo.wants(now, br.queuedAt(), br.config.DemandHold)}
	for _, peer := range br.peers {
		wants = append(wants, lo.parties[peer].wants)
	}
	shares := divide(lo.Slots, wants)
	lo.own = min(lo.own, shares[0])
	for i, peer := range br.peers {
		lo.parties[peer].shrink(shares[i+1])
	}
	if !mayGrow {
		return
	}
	lo.until = time.Time{}
	free := lo.growOwn(shares[0], lo.unused(now))
	for i, peer := range br.peers {
		free = lo.parties[peer].grow(shares[i+1], free)
	}
}

// growOwn gives the owner free slots up to its share; it returns the rest.
// Free is negative if entries that lost their leases still run requests.
func (lo *lot) growOwn(share, free int) int {
	used := max(lo.own, lo.inFlight)
	lo.own = max(lo.own, min(share, used+free))
	return free - (max(lo.own, lo.inFlight) - used)
}

// shrink lowers what a borrower may use; it stays committed until the
// borrower says what it holds.
func (pa *party) shrink(share int) { pa.allowed = min(pa.allowed, share) }

// grow gives a borrower free slots up to its share; it returns the rest.
func (pa *party) grow(share, free int) int {
	allowed := min(share, pa.committed+free)
	pa.allowed = max(pa.allowed, allowed)
	added := max(pa.allowed-pa.committed, 0)
	pa.committed += added
	return free - added
}

// takeRequest answers a peer's Request.
func (br *broker) takeRequest(now time.Time, li *link, re Request) {
	for _, line := range re.Lines {
		lo := br.lots[line.VM]
		if lo == nil || lo.owner != br.self {
			continue
		}
		pa := lo.parties[li.peer]
		pa.known = true
		pa.heard = now
		pa.committed = line.Holds
		pa.reserved = line.Reserved
		pa.allowed = line.Keeps
		pa.wants = line.Wants
		pa.view = re.View
		pa.settled = re.Settled
		if sentAt := li.timeOf(re.Echo); sentAt.After(pa.confirmed) {
			pa.confirmed = sentAt
		}
		br.allocate(now, lo)
	}
	br.sendGrant(now, li)
}

// notify marks the borrowers of a lot that must hear of a changed allowance:
// one that gets slots it wants, or has to give back slots that others want.
func (br *broker) notify(now time.Time, lo *lot) {
	others := lo.wants(now, br.queuedAt(), br.config.DemandHold) > lo.own
	for _, pa := range lo.parties {
		others = others || pa.wants > pa.allowed
	}
	for peer, pa := range lo.parties {
		raised := pa.allowed > pa.granted && pa.granted < pa.wants
		lowered := pa.allowed < pa.granted && others
		if pa.known && (raised || lowered) {
			br.links[peer].grantDue = true
		}
	}
}

// sendGrant tells a borrower what it may use. No lease outlasts the mandate
// that it rests on.
func (br *broker) sendGrant(now time.Time, li *link) {
	gr := Grant{
		Echo:    li.received,
		Answers: li.asked,
	}
	for _, lo := range br.ordered {
		if lo.owner != br.self {
			continue
		}
		pa := lo.parties[li.peer]
		if !pa.known || !br.isMandated(now, lo) {
			continue
		}
		pa.granted = pa.allowed
		gr.Lines = append(gr.Lines, Allowance{
			VM:    lo.VM,
			Slots: pa.allowed,
			Lease: br.mandateEnd(now, lo).Sub(now),
		})
	}
	gr.Sequence = br.number(now, li)
	li.grantedAt = now
	li.grantDue = false
	br.send(li, gr)
}
