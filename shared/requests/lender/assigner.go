package lender

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// holdBack keeps this entry from giving out more slots for a while, unless its
// peers agree with it.
func (br *broker) holdBack(now time.Time, pause time.Duration) {
	br.heldUntil = later(br.heldUntil, now.Add(pause))
	for _, lo := range br.ordered {
		lo.held = later(lo.held, br.heldUntil)
	}
}

// digest returns a digest of a set of entries that does not depend on their
// order.
func digest(entries []Entry) uint64 {
	var sum uint64
	for _, en := range entries {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d", en.Name, en.Incarnation))
	}
	return sum
}

// assign finds the owner of each lot by rendezvous hash over the view.
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
	for _, lo := range br.ordered {
		if owner := byName[hash.Lookup(lo.VM)]; owner != lo.owner {
			br.reassign(now, lo, owner)
		}
	}
}

// reassign gives a lot another owner. What this entry may use stays, until
// the lease or the mandate that it rests on runs out. If it was the owner and
// becomes so again, it waits for the leases that it gave.
func (br *broker) reassign(now time.Time, lo *lot, owner Entry) {
	if lo.owner == br.self {
		lo.allowed = 0
		if br.isMandated(now, lo) {
			lo.allowed = lo.own
			lo.until = later(lo.until, br.mandateEnd(now, lo))
		}
		for _, pa := range lo.parties {
			lo.bound = later(lo.bound, pa.heard.Add(br.expiry()))
		}
		lo.own = 0
		lo.parties = nil
	}
	lo.owner = owner
	if owner != br.self {
		return
	}
	lo.own = 0
	if now.Before(lo.until) {
		lo.own = lo.allowed
	}
	lo.parties = map[Entry]*party{}
	for _, peer := range br.peers {
		lo.parties[peer] = &party{}
	}
}

// mandateEnd returns when the right to use a lot as its owner ends without
// further confirmation.
func (br *broker) mandateEnd(now time.Time, lo *lot) time.Time {
	end := now.Add(br.config.LeaseTime)
	for _, pa := range lo.parties {
		end = sooner(end, pa.confirmed.Add(br.config.LeaseTime))
	}
	return end
}
