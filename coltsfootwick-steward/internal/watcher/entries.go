package watcher

import (
	"context"
	"maps"
	"net/netip"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/store/storer"
)

// Entries holds the live entries of one availability zone. It is safe for
// concurrent use.
type Entries struct {
	zone   string
	logger *zap.Logger

	mu      sync.Mutex
	synced  bool
	entries map[string]netip.AddrPort
}

// NewEntries returns an Entries that knows none yet.
func NewEntries(zone string, logger *zap.Logger) *Entries {
	return &Entries{
		zone:    zone,
		logger:  logger,
		entries: map[string]netip.AddrPort{},
	}
}

// Entries returns the operators' addresses of the live entries by name. It
// returns false while the platform's service, which tells them, is out of
// reach.
func (es *Entries) Entries(context.Context) (map[string]netip.AddrPort, bool) {
	es.mu.Lock()
	defer es.mu.Unlock()
	return maps.Clone(es.entries), es.synced
}

// Run follows the platform's service until the context is done.
func (es *Entries) Run(ctx context.Context, store storer.Store) error {
	return storer.Follow(ctx, store, storer.MemberPrefix, es.handle)
}

func (es *Entries) handle(nt storer.Notice) {
	es.mu.Lock()
	defer es.mu.Unlock()
	switch nt := nt.(type) {
	case storer.Changed:
		es.change(nt.Event)
	case storer.Synced:
		es.synced = true
	case storer.Disconnected:
		es.synced = false
	}
}

func (es *Entries) change(ev storer.Event) {
	name := ev.Entry.Key[len(storer.MemberPrefix):]
	if ev.Deleted {
		delete(es.entries, name)
		return
	}
	mb, err := reporter.DecodeMember(ev.Entry.Value)
	if err != nil {
		es.logger.Warn("member passed over", zap.String("member", name), zap.Error(err))
		return
	}
	if mb.Role == reporter.Entry && mb.Zone == es.zone {
		es.entries[name] = mb.OperatorsAddress
	}
}
