package storer

import (
	"context"
	"time"
)

// Observe returns a Store that calls observe after each call to the store, with
// the call's name, such as "get", and its error.
func Observe(store Store, observe func(call string, err error)) Store {
	return &observedStore{
		store:   store,
		observe: observe,
	}
}

// ObserveFleet returns a Fleet that calls observe after each call to the fleet, as
// Observe does for a Store.
func ObserveFleet(fleet Fleet, observe func(call string, err error)) Fleet {
	return &observedFleet{
		fleet:   fleet,
		observe: observe,
	}
}

type observedStore struct {
	store   Store
	observe func(call string, err error)
}

func (ob *observedStore) Get(ctx context.Context, key string) (Entry, error) {
	et, err := ob.store.Get(ctx, key)
	ob.observe("get", err)
	return et, err
}

func (ob *observedStore) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	entries, revision, err := ob.store.List(ctx, prefix)
	ob.observe("list", err)
	return entries, revision, err
}

func (ob *observedStore) Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error) {
	revision, err := ob.store.Put(ctx, key, value, expected, lease)
	ob.observe("put", err)
	return revision, err
}

func (ob *observedStore) Delete(ctx context.Context, key string, expected Revision) error {
	err := ob.store.Delete(ctx, key, expected)
	ob.observe("delete", err)
	return err
}

func (ob *observedStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := ob.store.Grant(ctx, ttl)
	ob.observe("grant", err)
	return lease, err
}

func (ob *observedStore) Renew(ctx context.Context, lease LeaseID) error {
	err := ob.store.Renew(ctx, lease)
	ob.observe("renew", err)
	return err
}

func (ob *observedStore) Revoke(ctx context.Context, lease LeaseID) error {
	err := ob.store.Revoke(ctx, lease)
	ob.observe("revoke", err)
	return err
}

func (ob *observedStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	events, revision, err := ob.store.Watch(ctx, prefix, after, wait)
	ob.observe("watch", err)
	return events, revision, err
}

type observedFleet struct {
	fleet   Fleet
	observe func(call string, err error)
}

func (ob *observedFleet) VMs(ctx context.Context) ([]VM, error) {
	vms, err := ob.fleet.VMs(ctx)
	ob.observe("vms", err)
	return vms, err
}

func (ob *observedFleet) Reboot(ctx context.Context, name string) error {
	err := ob.fleet.Reboot(ctx, name)
	ob.observe("reboot", err)
	return err
}
