package lender

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// silenceShare is the part of a lease's time after which a member that is not
// heard leaves the view. That is before the owner's mandate ends for the want
// of its confirmation.
const silenceShare = 0.75

// addMember begins to talk to an entry. It comes into view when it is heard.
func (br *broker) addMember(member Entry) *link {
	li := br.links[member]
	if li == nil {
		li = &link{peer: member}
		br.links[member] = li
	}
	if !li.member {
		li.member = true
		li.answered = true
		br.listMembers()
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

// listMembers lists the members in the order of their names.
func (br *broker) listMembers() {
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

// forgetLinks drops what is known of entries that ceased to be members long
// ago.
func (br *broker) forgetLinks(now time.Time) {
	maps.DeleteFunc(br.links, func(_ Entry, li *link) bool {
		return !li.member && now.Sub(li.leftAt) > linkMemory
	})
}

// isDeparted reports whether an entry is gone for certain.
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

// hear notes a message of a member, which brings it into view.
func (br *broker) hear(now time.Time, li *link, message Message) {
	isNews := false
	switch me := message.(type) {
	case Request:
		isNews = li.hear(now, me.Sequence)
	case Grant:
		isNews = li.hear(now, me.Sequence)
	}
	if isNews && !li.inView {
		br.addPeer(now, li)
		br.listPeers()
		br.assign(now)
	}
}

// silentAt returns when a peer that is not heard again leaves the view. After
// a pause of its own an entry gives its peers more time.
func (br *broker) silentAt(li *link) time.Time {
	silence := time.Duration(float64(br.config.LeaseTime) * silenceShare)
	return later(li.receivedAt, br.wokenAt).Add(silence)
}

// updateView takes silent peers out of the view; true if there were any.
func (br *broker) updateView(now time.Time) bool {
	changed := false
	for _, peer := range br.peers {
		li := br.links[peer]
		if !now.Before(br.silentAt(li)) {
			br.removePeer(now, li)
			li.member = li.listed
			li.leftAt = now
			changed = true
		}
	}
	if changed {
		br.listMembers()
		br.listPeers()
		br.assign(now)
	}
	return changed
}

// listPeers lists the members in view.
func (br *broker) listPeers() {
	br.peers = nil
	for _, member := range br.members {
		if br.links[member].inView {
			br.peers = append(br.peers, member)
		}
	}
	br.view = digest(append(slices.Clone(br.peers), br.self))
}

// addPeer takes a member into the view. One never seen before is most likely
// a new process, which owns nothing yet, and has some time to confirm; one that
// returns must confirm first.
func (br *broker) addPeer(now time.Time, li *link) {
	confirmed := time.Time{}
	if !li.seen {
		confirmed = now.Add(br.config.LeaseTime/renewals - br.config.LeaseTime)
	}
	li.inView = true
	li.seen = true
	li.answered = true
	for _, lo := range br.ordered {
		if lo.owner == br.self {
			lo.parties[li.peer] = &party{confirmed: confirmed}
		}
	}
}

// removePeer takes a peer out of the view. What it may hold stays reserved
// until its lease has expired, unless it is gone for certain. One that was
// silent for long may have used targets on its own.
func (br *broker) removePeer(now time.Time, li *link) {
	li.inView = false
	gone := br.isDeparted(li.peer)
	for _, lo := range br.ordered {
		switch {
		case gone:
			delete(lo.confirms, li.peer)
		case lo.owner == li.peer && br.isSilent(now, li.receivedAt):
			lo.bound = later(lo.bound, now.Add(br.expiry()))
		case lo.owner == br.self:
			br.reserve(now, lo, lo.parties[li.peer])
		}
		delete(lo.parties, li.peer)
	}
}

// isSilent reports whether a peer last heard at a time was silent for so long
// that its view may differ.
func (br *broker) isSilent(now, heard time.Time) bool { return now.Sub(heard) > 2*br.expiry() }

// reserve keeps what a borrower that left the view may hold.
func (br *broker) reserve(now time.Time, lo *lot, pa *party) {
	if !pa.known || br.isSilent(now, pa.heard) {
		lo.bound = later(lo.bound, now.Add(br.expiry()))
		return
	}
	lo.reserved = append(lo.reserved, reservation{
		slots: pa.committed + pa.reserved,
		until: pa.heard.Add(br.expiry()),
	})
}
