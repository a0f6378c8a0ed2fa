package lender

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// silenceFraction is the fraction of LeaseTime without a message after which a
// member leaves the view. It is below 1, so that the owner drops a silent
// member before its ownership ends for lack of the member's confirmation.
const silenceFraction = 0.75

// addMember starts exchanging messages with an entry. The entry enters the view
// when a message from it is received.
func (br *broker) addMember(member Entry) *link {
	li := br.links[member]
	if li == nil {
		li = &link{peer: member}
		br.links[member] = li
	}
	if !li.member {
		li.member = true
		li.answered = true
		br.updateMembers()
	}
	return li
}

func (br *broker) removeMember(now time.Time, li *link) {
	li.member = false
	li.leftAt = now
	if li.inView {
		br.removePeer(now, li)
	}
}

// updateMembers rebuilds the list of members, sorted by name and incarnation.
func (br *broker) updateMembers() {
	br.members = nil
	for member, li := range br.links {
		if li.member {
			br.members = append(br.members, member)
		}
	}
	slices.SortFunc(br.members, func(a, b Entry) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// pruneLinks removes the links with former members after linkRetention.
func (br *broker) pruneLinks(now time.Time) {
	maps.DeleteFunc(br.links, func(_ Entry, li *link) bool {
		return !li.member && now.Sub(li.leftAt) > linkRetention
	})
}

// isDeparted reports whether an entry is known to have ended.
func (br *broker) isDeparted(entry Entry) bool {
	incarnation, found := br.departed[entry.Name]
	return found && entry.Incarnation <= incarnation
}

// isReplaced reports whether a later process of the same name is a member.
func (br *broker) isReplaced(entry Entry) bool {
	return slices.ContainsFunc(br.members, func(member Entry) bool {
		return member.Name == entry.Name && member.Incarnation > entry.Incarnation
	})
}

// recordReceived records a message from a member, which enters the view if the
// message is new.
func (br *broker) recordReceived(now time.Time, li *link, message Message) {
	isNewer := false
	switch me := message.(type) {
	case Request:
		isNewer = li.acceptSequence(now, me.Sequence)
	case Grant:
		isNewer = li.acceptSequence(now, me.Sequence)
	}
	if isNewer && !li.inView {
		br.addPeer(now, li)
		br.updatePeers()
		br.assign(now)
	}
}

// silenceDeadline returns when a peer leaves the view unless a message from it
// is received. After a pause of this entry the time is counted from its end.
func (br *broker) silenceDeadline(li *link) time.Time {
	silence := time.Duration(float64(br.config.LeaseTime) * silenceFraction)
	return later(li.receivedAt, br.resumedAt).Add(silence)
}

// updateView removes silent peers from the view. It returns false if there were
// none.
func (br *broker) updateView(now time.Time) bool {
	changed := false
	for _, peer := range br.peers {
		li := br.links[peer]
		if !now.Before(br.silenceDeadline(li)) {
			br.removePeer(now, li)
			li.member = li.listed
			li.leftAt = now
			changed = true
		}
	}
	if changed {
		br.updateMembers()
		br.updatePeers()
		br.assign(now)
	}
	return changed
}

// updatePeers rebuilds the list of members in view and the digest of the view.
func (br *broker) updatePeers() {
	br.peers = nil
	for _, member := range br.members {
		if br.links[member].inView {
			br.peers = append(br.peers, member)
		}
	}
	br.view = digest(append(slices.Clone(br.peers), br.self))
}

// addPeer adds a member to the view. A member that was never in view is most
// likely a new process that owns nothing yet, so it gets some time to confirm
// this entry's ownership. A member that returns must confirm it first.
func (br *broker) addPeer(now time.Time, li *link) {
	confirmed := time.Time{}
	if !li.wasInView {
		confirmed = now.Add(br.config.LeaseTime/renewals - br.config.LeaseTime)
	}
	li.inView = true
	li.wasInView = true
	li.answered = true
	for _, ts := range br.sortedSlots {
		if ts.owner == br.self {
			ts.borrowers[li.peer] = &borrower{confirmedAt: confirmed}
		}
	}
}

// removePeer removes a peer from the view. The slots that it may hold stay
// reserved until its lease has expired, unless it is known to have ended. A
// peer that has been silent for long may have used targets as their owner.
func (br *broker) removePeer(now time.Time, li *link) {
	li.inView = false
	departed := br.isDeparted(li.peer)
	for _, ts := range br.sortedSlots {
		switch {
		case departed:
			delete(ts.confirmedOwners, li.peer)
		case ts.owner == li.peer && br.isLongSilent(now, li.receivedAt):
			ts.uncertainUntil = later(ts.uncertainUntil, now.Add(br.expiry()))
		case ts.owner == br.self:
			br.reserve(now, ts, ts.borrowers[li.peer])
		}
		delete(ts.borrowers, li.peer)
	}
}

// isLongSilent reports whether the last message of a peer is so old that its
// view may differ from this entry's.
func (br *broker) isLongSilent(now, lastReceived time.Time) bool {
	return now.Sub(lastReceived) > 2*br.expiry()
}

// reserve reserves the slots that a borrower that left the view may hold.
func (br *broker) reserve(now time.Time, ts *targetSlots, bo *borrower) {
	if !bo.known || br.isLongSilent(now, bo.lastRequestAt) {
		ts.uncertainUntil = later(ts.uncertainUntil, now.Add(br.expiry()))
		return
	}
	ts.reservations = append(ts.reservations, reservation{
		slots: bo.committed + bo.reserved,
		until: bo.lastRequestAt.Add(br.expiry()),
	})
}
