package meter

import (
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// countedStore is a Store that counts the calls to the platform's service.
type countedStore struct {
	storer.Store
	meter *Meter
}

// CountCalls wraps store with a counter of calls.
func (mr *Meter) CountCalls(store storer.Store) storer.Store {
	return countedStore{
		Store: store,
		meter: mr,
	}
}

func (cs countedStore) count(call string, err error) {
	name := "ok"
	if err != nil {
		dn, _ := classifier.Describe(classifier.CodeOf(err))
		name = dn.Name
	}
	cs.meter.calls.WithLabelValues(call, name).Inc()
}

func (cs countedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	ey, err := cs.Store.Get(ctx, key)
	cs.count("get", err)
	return ey, err
}

func (cs countedStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	entries, revision, err := cs.Store.List(ctx, prefix)
	cs.count("list", err)
	return entries, revision, err
}

func (cs countedStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	revision, err := cs.Store.Put(ctx, key, value, expected, lease)
	cs.count("put", err)
	return revision, err
}

func (cs countedStore) Delete(ctx context.Context, key string, expected storer.Revision) error {
	err := cs.Store.Delete(ctx, key, expected)
	cs.count("delete", err)
	return err
}

func (cs countedStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	lease, err := cs.Store.Grant(ctx, ttl)
	cs.count("grant", err)
	return lease, err
}

func (cs countedStore) Renew(ctx context.Context, lease storer.LeaseID) error {
	err := cs.Store.Renew(ctx, lease)
	cs.count("renew", err)
	return err
}

func (cs countedStore) Revoke(ctx context.Context, lease storer.LeaseID) error {
	err := cs.Store.Revoke(ctx, lease)
	cs.count("revoke", err)
	return err
}

func (cs countedStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	events, revision, err := cs.Store.Watch(ctx, prefix, after, wait)
	cs.count("watch", err)
	return events, revision, err
}
