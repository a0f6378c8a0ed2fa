package keeper

import (
	"maps"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// lease is one lease with the keys that are deleted with it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// Grant makes a lease that ends when it is not renewed for ttl.
func (tb *Table) Grant(now time.Time, ttl time.Duration) (storer.LeaseID, error) {
	tb.Advance(now)
	if ttl <= 0 {
		return 0, classifier.New(classifier.SettingsRange, "lease with ttl %s", ttl)
	}
	tb.lastLease++
	tb.leases[tb.lastLease] = &lease{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    map[string]struct{}{},
	}
	return tb.lastLease, nil
}

// Renew extends a lease by its ttl.
func (tb *Table) Renew(now time.Time, id storer.LeaseID) error {
	tb.Advance(now)
	le, ok := tb.leases[id]
	if !ok {
		return classifier.New(classifier.LeaseLost, "lease %d", id)
	}
	le.expires = now.Add(le.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (tb *Table) Revoke(now time.Time, id storer.LeaseID) error {
	tb.Advance(now)
	if _, ok := tb.leases[id]; !ok {
		return classifier.New(classifier.LeaseLost, "lease %d", id)
	}
	tb.end(id)
	return nil
}

// Advance ends the leases that have expired by now, in the order of their ids.
func (tb *Table) Advance(now time.Time) {
	var ended []storer.LeaseID
	for id, le := range tb.leases {
		if !le.expires.After(now) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		tb.end(id)
	}
}

// NextExpiry returns when the next lease expires, and false without leases.
func (tb *Table) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, le := range tb.leases {
		if next.IsZero() || le.expires.Before(next) {
			next = le.expires
		}
	}
	return next, !next.IsZero()
}

// end removes a lease and its keys.
func (tb *Table) end(id storer.LeaseID) {
	le := tb.leases[id]
	for _, key := range slices.Sorted(maps.Keys(le.keys)) {
		tb.remove(key)
	}
	delete(tb.leases, id)
}
