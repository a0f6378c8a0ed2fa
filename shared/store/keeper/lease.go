package keeper

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// lease is a lease with the keys that are deleted when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Grant creates a lease that expires unless it is renewed within ttl.
func (tb *Table) Grant(now time.Time, ttl time.Duration) (storer.LeaseID, error) {
	tb.Advance(now)
	if ttl <= 0 {
		return 0, classifier.New(classifier.SettingsRange, "lease TTL is %s, must be above 0", ttl)
	}
	tb.lastLease++
	tb.leases[tb.lastLease] = &lease{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    map[string]struct{}{},
	}
	return tb.lastLease, nil
}

// Renew extends a lease by its TTL from now, or returns a LeaseLost error.
func (tb *Table) Renew(now time.Time, id storer.LeaseID) error {
	tb.Advance(now)
	ls, ok := tb.leases[id]
	if !ok {
		return classifier.New(classifier.LeaseLost, "lease %d does not exist or has expired", id)
	}
	ls.expires = now.Add(ls.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (tb *Table) Revoke(now time.Time, id storer.LeaseID) error {
	tb.Advance(now)
	if _, ok := tb.leases[id]; !ok {
		return classifier.New(classifier.LeaseLost, "lease %d does not exist or has expired", id)
	}
	tb.endLease(id)
	return nil
}

// Advance ends the leases that have expired by now, in the order of their IDs.
func (tb *Table) Advance(now time.Time) {
	var expired []storer.LeaseID
	for id, ls := range tb.leases {
		if !ls.expires.After(now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		tb.endLease(id)
	}
}

// NextExpiry returns when the next lease expires, and false if there are no leases.
func (tb *Table) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, ls := range tb.leases {
		if next.IsZero() || ls.expires.Before(next) {
			next = ls.expires
		}
	}
	return next, !next.IsZero()
}

// endLease deletes a lease and its keys.
func (tb *Table) endLease(id storer.LeaseID) {
	ls := tb.leases[id]
	for _, key := range slices.Sorted(maps.Keys(ls.keys)) {
		tb.deleteKey(key)
	}
	delete(tb.leases, id)
}
