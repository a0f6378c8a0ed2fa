package keeper

import (
	"bytes"
	"context"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Zone is a client of the platform in one availability zone, which determines the
// faults that affect it. It implements storer.TransactionStore and storer.Fleet.
type Zone struct {
	keeper  *Keeper
	name    string
	timeout time.Duration
}

var (
	_ storer.TransactionStore = (*Zone)(nil)
	_ storer.Fleet            = (*Zone)(nil)
)

// ZoneOption is an option of Keeper.Zone.
type ZoneOption func(*Zone)

// WithCallTimeout sets the timeout of a call. Zero means that only the caller's
// context limits it.
func WithCallTimeout(timeout time.Duration) ZoneOption {
	return func(zn *Zone) { zn.timeout = timeout }
}

// Zone returns a client of the platform in an availability zone.
func (kr *Keeper) Zone(name string, opts ...ZoneOption) *Zone {
	zn := &Zone{
		keeper:  kr,
		name:    name,
		timeout: defaultCallTimeout,
	}
	for _, opt := range opts {
		opt(zn)
	}
	return zn
}

// Get implements storer.Store.
func (zn *Zone) Get(ctx context.Context, key string) (storer.Entry, error) {
	return call(ctx, zn, KindGet, func(now time.Time) (storer.Entry, error) {
		et, err := zn.keeper.table.Get(now, key)
		return copyEntry(et), err
	})
}

// listing is the result of a list call.
type listing struct {
	entries  []storer.Entry
	revision storer.Revision
}

// List implements storer.Store.
func (zn *Zone) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Revision, error) {
	ls, err := call(ctx, zn, KindList, func(now time.Time) (listing, error) {
		entries, revision := zn.keeper.table.List(now, prefix)
		for idx := range entries {
			entries[idx] = copyEntry(entries[idx])
		}
		return listing{
			entries:  entries,
			revision: revision,
		}, nil
	})
	return ls.entries, ls.revision, err
}

// Put implements storer.Store.
func (zn *Zone) Put(ctx context.Context, key string, value []byte, expected storer.Revision, lease storer.LeaseID) (storer.Revision, error) {
	sent := bytes.Clone(value)
	return call(ctx, zn, KindPut, func(now time.Time) (storer.Revision, error) {
		return zn.keeper.table.Put(now, key, sent, expected, lease)
	})
}

// Delete implements storer.Store.
func (zn *Zone) Delete(ctx context.Context, key string, expected storer.Revision) error {
	return callWithoutResult(ctx, zn, KindDelete, func(now time.Time) error {
		return zn.keeper.table.Delete(now, key, expected)
	})
}

// Commit implements storer.TransactionStore.
func (zn *Zone) Commit(ctx context.Context, tx storer.Transaction) (storer.Revision, error) {
	return call(ctx, zn, KindCommit, func(now time.Time) (storer.Revision, error) {
		return zn.keeper.table.Commit(now, tx)
	})
}

// Grant implements storer.Store.
func (zn *Zone) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	return call(ctx, zn, KindGrant, func(now time.Time) (storer.LeaseID, error) {
		return zn.keeper.table.Grant(now, ttl)
	})
}

// Renew implements storer.Store.
func (zn *Zone) Renew(ctx context.Context, lease storer.LeaseID) error {
	return callWithoutResult(ctx, zn, KindRenew, func(now time.Time) error {
		return zn.keeper.table.Renew(now, lease)
	})
}

// Revoke implements storer.Store.
func (zn *Zone) Revoke(ctx context.Context, lease storer.LeaseID) error {
	return callWithoutResult(ctx, zn, KindRevoke, func(now time.Time) error {
		return zn.keeper.table.Revoke(now, lease)
	})
}

// VMs implements storer.Fleet.
func (zn *Zone) VMs(ctx context.Context) ([]storer.VM, error) {
	return call(ctx, zn, KindVMs, func(now time.Time) ([]storer.VM, error) {
		var listed []storer.VM
		for _, vm := range zn.keeper.roster.List(now) {
			if _, _, isMissing := draw[VMsMissing](zn.keeper.faults, zn.name); !isMissing {
				listed = append(listed, vm)
			}
		}
		return listed, nil
	})
}

// Reboot implements storer.Fleet.
func (zn *Zone) Reboot(ctx context.Context, name string) error {
	return callWithoutResult(ctx, zn, KindReboot, func(now time.Time) error {
		vm, err := zn.keeper.roster.Reboot(now, name)
		if err != nil {
			return classifier.Wrap(err, classifier.PlatformNotFound, "reboot")
		}
		go zn.keeper.rebootHook(vm)
		return nil
	})
}

// callWithoutResult makes one call whose answer carries no result.
func callWithoutResult(ctx context.Context, zn *Zone, kd Kind, step func(now time.Time) error) error {
	_, err := call(ctx, zn, kd, func(now time.Time) (struct{}, error) {
		return struct{}{}, step(now)
	})
	return err
}

func copyEntry(et storer.Entry) storer.Entry {
	et.Value = bytes.Clone(et.Value)
	return et
}
