package lender

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// postponeGrowth prevents this entry from handing out more slots until the
// pause is over. Confirmation by all peers that this entry is the owner ends
// the wait early, see mayGrow.
func (br *broker) postponeGrowth(now time.Time, pause time.Duration) {
	br.viewStableAt = later(br.viewStableAt, now.Add(pause))
	for _, ts := range br.sortedSlots {
		ts.noGrowthUntil = later(ts.noGrowthUntil, br.viewStableAt)
	}
}

// digest returns a digest of a set of entries. It does not depend on their
// order.
func digest(entries []Entry) uint64 {
	var sum uint64
	for _, en := range entries {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d", en.Name, en.Incarnation))
	}
	return sum
}

// assign determines the owner of each target by rendezvous hashing over the
// entries in view.
func (br *broker) assign(now time.Time) {
	names := []string{br.self.Name}
	byName := map[string]Entry{br.self.Name: br.self}
	for _, peer := range br.peers {
		if known, found := byName[peer.Name]; !found || known.Incarnation < peer.Incarnation {
			byName[peer.Name] = peer
		}
		names = append(names, peer.Name)
	}
	hash := rendezvous.New(names, xxhash.Sum64String)
	for _, ts := range br.sortedSlots {
		if owner := byName[hash.Lookup(ts.VM)]; owner != ts.owner {
			br.reassign(now, ts, owner)
		}
	}
}

// reassign changes the owner of a target. The slots that this entry may use
// stay valid until the underlying lease or ownership confirmation expires. If
// this entry was the owner, a later ownership must wait until the leases that
// it granted have expired.
func (br *broker) reassign(now time.Time, ts *targetSlots, owner Entry) {
	if ts.owner == br.self {
		ts.leased = 0
		if br.hasConfirmedOwnership(now, ts) {
			ts.leased = ts.ownSlots
			ts.leasedUntil = later(ts.leasedUntil, br.ownershipEnd(now, ts))
		}
		for _, bo := range ts.borrowers {
			ts.uncertainUntil = later(ts.uncertainUntil, bo.lastRequestAt.Add(br.expiry()))
		}
		ts.ownSlots = 0
		ts.borrowers = nil
	}
	ts.owner = owner
	if owner != br.self {
		return
	}
	ts.ownSlots = 0
	if now.Before(ts.leasedUntil) {
		ts.ownSlots = ts.leased
	}
	ts.borrowers = map[Entry]*borrower{}
	for _, peer := range br.peers {
		ts.borrowers[peer] = &borrower{}
	}
}

// ownershipEnd returns when the right to use a target as its owner ends unless
// it is confirmed again.
func (br *broker) ownershipEnd(now time.Time, ts *targetSlots) time.Time {
	end := now.Add(br.config.LeaseTime)
	for _, bo := range ts.borrowers {
		end = earlier(end, bo.confirmedAt.Add(br.config.LeaseTime))
	}
	return end
}
