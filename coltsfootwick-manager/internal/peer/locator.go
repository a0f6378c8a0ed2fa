package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/store/storer"
)

// Timing of the watch on the scheduler's duty.
const (
	// watchTimeout is how long a watch waits for changes; it bounds the time
	// until a dead connection is detected.
	watchTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pauses after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Locator locates the holder of the scheduler's duty.
type Locator struct {
	store  storer.Store
	key    string
	logger *zap.Logger
	holder atomic.Pointer[netip.AddrPort]

	mutex sync.Mutex
	// changed is closed when the holder changes.
	changed chan struct{}
}

// NewLocator returns a Locator that watches the duty with a key. The key's value
// is the internal address of the holder.
func NewLocator(store storer.Store, key string, logger *zap.Logger) *Locator {
	return &Locator{
		store:   store,
		key:     key,
		logger:  logger,
		changed: make(chan struct{}),
	}
}

// Run watches the duty until the context is done.
func (lo *Locator) Run(ctx context.Context) error {
	return storer.Follow(ctx, lo.store, lo.key, lo.handle,
		storer.WithWait(watchTimeout), storer.WithBackoff(minBackoff, maxBackoff))
}

func (lo *Locator) handle(nt storer.Notice) {
	changed, ok := nt.(storer.Changed)
	if !ok || changed.Event.Entry.Key != lo.key {
		return
	}
	if changed.Event.Deleted {
		lo.logger.Info("scheduler's duty has no holder", zap.Uint64("revision", uint64(changed.Event.Entry.Revision)))
		lo.set(nil)
		return
	}
	address, err := netip.ParseAddrPort(string(changed.Event.Entry.Value))
	if err != nil {
		lo.logger.Error("cannot parse the address of the holder of the scheduler's duty", zap.Error(err))
		lo.set(nil)
		return
	}
	lo.logger.Info("scheduler's duty is held", zap.Stringer("holder", address), zap.Uint64("epoch", uint64(changed.Event.Entry.Revision)))
	lo.set(&address)
}

// set changes the holder.
func (lo *Locator) set(holder *netip.AddrPort) {
	lo.holder.Store(holder)
	lo.mutex.Lock()
	defer lo.mutex.Unlock()
	close(lo.changed)
	lo.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the holder changes.
func (lo *Locator) Changed() <-chan struct{} {
	lo.mutex.Lock()
	defer lo.mutex.Unlock()
	return lo.changed
}

// Holder returns the holder's address, or false if none is known.
func (lo *Locator) Holder() (netip.AddrPort, bool) {
	address := lo.holder.Load()
	if address == nil {
		return netip.AddrPort{}, false
	}
	return *address, true
}
