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

// NewEntries returns an empty Entries. Run fills it.
func NewEntries(zone string, logger *zap.Logger) *Entries {
	return &Entries{
		zone:    zone,
		logger:  logger,
		entries: map[string]netip.AddrPort{},
	}
}

// Entries returns the operators' addresses of the live entries by name. It
// returns false while the membership records are not in sync with the platform's
// service.
func (es *Entries) Entries(context.Context) (map[string]netip.AddrPort, bool) {
	es.mu.Lock()
	defer es.mu.Unlock()
	return maps.Clone(es.entries), es.synced
}

// Run follows the membership records until the context is done.
func (es *Entries) Run(ctx context.Context, store storer.Store) error {
	return storer.Follow(ctx, store, storer.MemberPrefix, es.handleNotice)
}

func (es *Entries) handleNotice(nt storer.Notice) {
	es.mu.Lock()
	defer es.mu.Unlock()
	switch nt := nt.(type) {
	case storer.Changed:
		es.applyEvent(nt.Event)
	case storer.Synced:
		es.synced = true
	case storer.Disconnected:
		es.synced = false
	}
}

func (es *Entries) applyEvent(ev storer.Event) {
	name := ev.Entry.Key[len(storer.MemberPrefix):]
	if ev.Deleted {
		delete(es.entries, name)
		return
	}
	mb, err := reporter.DecodeMember(ev.Entry.Value)
	if err != nil {
		es.logger.Warn("member record can't be decoded; ignored", zap.String("member", name), zap.Error(err))
		return
	}
	if mb.Role == reporter.Entry && mb.Zone == es.zone {
		es.entries[name] = mb.OperatorsAddress
	}
}
