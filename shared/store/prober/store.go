package prober

import (
	"context"
	"time"

	"coltsfootwick.example/shared/store/storer"
)

// Observe returns a store that passes all calls to another one and has them observed.
func (pb *Prober) Observe(store storer.TransactionStore) storer.TransactionStore {
	return &observedStore{
		prober: pb,
		store:  store,
	}
}

type observedStore struct {
	prober *Prober
	store  storer.TransactionStore
}

// observe makes a call and records its outcome.
func observe[T any](ctx context.Context, pb *Prober, name string, make func(ctx context.Context) (T, error)) (T, error) {
	ctx, ca := pb.begin(ctx, name)
	result, err := make(ctx)
	return result, pb.end(ca, err)
}

// revised is the result of calls that return a revision beside something else.
type revised[T any] struct {
	content  T
	revision storer.Revision
}

// Get implements storer.Store.
func (os *observedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	return observe(ctx, os.prober, "get", func(ctx context.Context) (storer.Entry, error) { return os.store.Get(ctx, key) })
}

// List implements storer.Store.
func (os *observedStore) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	rv, err := observe(ctx, os.prober, "list", func(ctx context.Context) (revised[[]storer.Entry], error) {
		entries, revision, err := os.store.List(ctx, prefix)
		return revised[[]storer.Entry]{content: entries, revision: revision}, err
	})
	return rv.content, rv.revision, err
}

// Put implements storer.Store.
func (os *observedStore) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	return observe(ctx, os.prober, "put", func(ctx context.Context) (storer.Revision, error) {
		return os.store.Put(ctx, key, value, expected, lease)
	})
}

// Delete implements storer.Store.
func (os *observedStore) Delete(ctx context.Context, key string, expected storer.Revision) error {
	return os.observe(ctx, "delete", func(ctx context.Context) error { return os.store.Delete(ctx, key, expected) })
}

// Grant implements storer.Store.
func (os *observedStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	return observe(ctx, os.prober, "grant", func(ctx context.Context) (storer.LeaseID, error) { return os.store.Grant(ctx, ttl) })
}

// Renew implements storer.Store.
func (os *observedStore) Renew(ctx context.Context, lease storer.LeaseID) error {
	return os.observe(ctx, "renew", func(ctx context.Context) error { return os.store.Renew(ctx, lease) })
}

// Revoke implements storer.Store.
func (os *observedStore) Revoke(ctx context.Context, lease storer.LeaseID) error {
	return os.observe(ctx, "revoke", func(ctx context.Context) error { return os.store.Revoke(ctx, lease) })
}

// Watch implements storer.Store.
func (os *observedStore) Watch(ctx context.Context, prefix string, after storer.Revision, wait time.Duration) ([]storer.Event, storer.Revision, error) {
	rv, err := observe(ctx, os.prober, "watch", func(ctx context.Context) (revised[[]storer.Event], error) {
		events, revision, err := os.store.Watch(ctx, prefix, after, wait)
		return revised[[]storer.Event]{content: events, revision: revision}, err
	})
	return rv.content, rv.revision, err
}

// Commit implements storer.TransactionStore.
func (os *observedStore) Commit(ctx context.Context, tx storer.Transaction) (storer.Revision, error) {
	return observe(ctx, os.prober, "commit", func(ctx context.Context) (storer.Revision, error) { return os.store.Commit(ctx, tx) })
}

// observe makes a call without a result and records its outcome.
func (os *observedStore) observe(ctx context.Context, name string, make func(ctx context.Context) error) error {
	_, err := observe(ctx, os.prober, name, func(ctx context.Context) (struct{}, error) { return struct{}{}, make(ctx) })
	return err
}
