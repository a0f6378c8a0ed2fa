package peer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/store/storer"
)

// The bounds of following the scheduler's duty.
const (
	// watchWait bounds how late a silent connection is noticed.
	watchWait  = 2 * time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Locator knows where the holder of the scheduler's duty is.
type Locator struct {
	store  storer.Store
	key    string
	logger *zap.Logger
	holder atomic.Pointer[netip.AddrPort]
}

// NewLocator returns a Locator of the duty with a key. Holders leave their
// internal address in it.
func NewLocator(store storer.Store, key string, logger *zap.Logger) *Locator {
	return &Locator{
		store:  store,
		key:    key,
		logger: logger,
	}
}

// Run follows the duty until the context is done.
func (po *Locator) Run(ctx context.Context) error {
	return storer.Follow(ctx, po.store, po.key, po.handle,
		storer.WithWait(watchWait), storer.WithBackoff(firstPause, maxPause))
}

func (po *Locator) handle(nt storer.Notice) {
	changed, ok := nt.(storer.Changed)
	if !ok || changed.Event.Entry.Key != po.key {
		return
	}
	if changed.Event.Deleted {
		po.logger.Info("scheduler's duty is free", zap.Uint64("revision", uint64(changed.Event.Entry.Revision)))
		po.holder.Store(nil)
		return
	}
	address, err := netip.ParseAddrPort(string(changed.Event.Entry.Value))
	if err != nil {
		po.logger.Error("scheduler's duty has an unreadable holder", zap.Error(err))
		po.holder.Store(nil)
		return
	}
	po.logger.Info("scheduler's duty is held", zap.Stringer("holder", address), zap.Uint64("epoch", uint64(changed.Event.Entry.Revision)))
	po.holder.Store(&address)
}

// Holder returns the holder's address, and false while none is known.
func (po *Locator) Holder() (netip.AddrPort, bool) {
	address := po.holder.Load()
	if address == nil {
		return netip.AddrPort{}, false
	}
	return *address, true
}
