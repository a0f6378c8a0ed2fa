// Package observer provides the steward's view of VMs and entries: which VMs have
// requests in flight, which accept connections, and the urgent demand on each
// pool.
package observer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/process/classifier"
)

// EntrySource provides the live entries of the availability zone.
type EntrySource interface {
	// Entries returns the operators' addresses of the live entries by name, or
	// false if they are not known.
	Entries(ctx context.Context) (map[string]netip.AddrPort, bool)
}

// Observer fetches the load of the entries of one availability zone and dials its
// VMs. It is safe for concurrent use.
type Observer struct {
	entries       EntrySource
	client        *http.Client
	dialer        net.Dialer
	inFlightGrace time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

const (
	fetchTimeout = time.Second
	dialTimeout  = time.Second
	maxLoadSize  = 1 << 20
	// DefaultInFlightGrace is how long an entry that is no longer listed may still
	// have requests in flight: the longest duration of a request.
	DefaultInFlightGrace = 2 * time.Minute
)

// Option configures an Observer.
type Option func(*Observer)

// WithInFlightGrace sets how long an entry that is no longer listed may still have
// requests in flight.
func WithInFlightGrace(inFlightGrace time.Duration) Option {
	return func(or *Observer) { or.inFlightGrace = inFlightGrace }
}

// New returns an Observer.
func New(entries EntrySource, opts ...Option) *Observer {
	or := &Observer{
		entries: entries,
		client: &http.Client{
			Timeout: fetchTimeout,
		},
		dialer: net.Dialer{
			Timeout: dialTimeout,
		},
		inFlightGrace: DefaultInFlightGrace,
		seen:          map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(or)
	}
	return or
}

// Idle reports whether every live entry has taken the VM out of use and has no
// request in flight there. An entry that doesn't answer, or that vanished within
// the in-flight grace, may be paused with a request in flight, so the VM then
// doesn't count as idle. The drain's deadline limits the wait.
func (or *Observer) Idle(ctx context.Context, vm recorder.VM) bool {
	entries, ok := or.entries.Entries(ctx)
	if !ok || or.hasRecentlyVanished(entries) {
		return false
	}
	for _, address := range entries {
		ld, err := or.fetchLoad(ctx, address)
		if err != nil || !isUnused(ld, vm.Name) {
			return false
		}
	}
	return true
}

// isUnused reports whether an entry's load shows the VM as leaving, or not at all,
// and no request in flight there.
func isUnused(ld surveyor.Load, vm string) bool {
	for _, tl := range ld.Targets {
		if tl.VM == vm {
			return tl.Leaving && tl.InFlight == 0
		}
	}
	return true
}

// hasRecentlyVanished records the live entries and reports whether an entry that
// was live within the in-flight grace is now missing.
func (or *Observer) hasRecentlyVanished(entries map[string]netip.AddrPort) bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	now := time.Now()
	for name := range entries {
		or.seen[name] = now
	}
	for name, seen := range or.seen {
		if _, live := entries[name]; live {
			continue
		}
		if now.Sub(seen) < or.inFlightGrace {
			return true
		}
		delete(or.seen, name)
	}
	return false
}

// Healthy reports whether the VM accepts a TCP connection.
func (or *Observer) Healthy(ctx context.Context, vm recorder.VM) bool {
	cn, err := or.dialer.DialContext(ctx, "tcp", vm.Address.String())
	if err != nil {
		return false
	}
	_ = cn.Close()
	return true
}

// UrgentDemand returns the urgent demand on each pool, in slots, summed over the
// live entries that answer. It returns false if no entry answers.
func (or *Observer) UrgentDemand(ctx context.Context) (map[string]float64, bool) {
	entries, ok := or.entries.Entries(ctx)
	if !ok {
		return nil, false
	}
	demand := map[string]float64{}
	answered := false
	for _, address := range entries {
		ld, err := or.fetchLoad(ctx, address)
		if err != nil {
			continue
		}
		answered = true
		for _, pl := range ld.Pools {
			demand[pl.Pool] += pl.UrgentSlots
		}
	}
	return demand, answered
}

func (or *Observer) fetchLoad(ctx context.Context, address netip.AddrPort) (surveyor.Load, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+surveyor.Path, nil)
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.Internal, "create load request to %s", address)
	}
	rs, err := or.client.Do(rq)
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.PeerUnreachable, "fetch load from %s", address)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return surveyor.Load{}, classifier.New(classifier.PeerUnreachable, "load request to %s returned status %s", address, rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxLoadSize))
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.PeerUnreachable, "read load from %s", address)
	}
	return surveyor.Decode(data)
}
