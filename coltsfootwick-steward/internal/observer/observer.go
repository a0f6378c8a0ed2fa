// Package observer looks at VMs and entries for the steward: which VMs have
// requests in flight, which answer, and how much urgent demand each pool sees.
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

// EntrySource tells the operators' addresses of the live entries of the
// availability zone by name, and false if it can't tell.
type EntrySource interface {
	Entries(ctx context.Context) (map[string]netip.AddrPort, bool)
}

// Observer asks the entries of one availability zone and dials its VMs. It is
// safe for concurrent use.
type Observer struct {
	entries EntrySource
	client  *http.Client
	dialer  net.Dialer
	linger  time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

const (
	askTimeout  = time.Second
	dialTimeout = time.Second
	maxLoadSize = 1 << 20
	// DefaultLinger is how long an entry that vanished may still have requests
	// in flight: the longest time a request may take.
	DefaultLinger = 2 * time.Minute
)

// Option changes an Observer.
type Option func(*Observer)

// WithLinger sets how long an entry that vanished may still have requests in
// flight.
func WithLinger(linger time.Duration) Option {
	return func(or *Observer) { or.linger = linger }
}

// New returns an Observer.
func New(entries EntrySource, opts ...Option) *Observer {
	or := &Observer{
		entries: entries,
		client: &http.Client{
			Timeout: askTimeout,
		},
		dialer: net.Dialer{
			Timeout: dialTimeout,
		},
		linger: DefaultLinger,
		seen:   map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(or)
	}
	return or
}

// Idle reports whether every live entry has taken the VM out of use and has no
// request in flight there. An entry that doesn't answer, or that vanished less
// than the linger time ago, may be paused with a request in flight, so the VM
// then doesn't count as idle; the drain's deadline bounds that.
func (or *Observer) Idle(ctx context.Context, vm recorder.VM) bool {
	entries, ok := or.entries.Entries(ctx)
	if !ok || or.hasLingering(entries) {
		return false
	}
	for _, address := range entries {
		ld, err := or.ask(ctx, address)
		if err != nil || !isFree(ld, vm.Name) {
			return false
		}
	}
	return true
}

// isFree reports whether an entry neither uses the VM nor has requests there.
func isFree(ld surveyor.Load, vm string) bool {
	for _, tl := range ld.Targets {
		if tl.VM == vm {
			return tl.Leaving && tl.InFlight == 0
		}
	}
	return true
}

// hasLingering notes the entries seen and reports whether one that was seen
// has vanished less than the linger time ago.
func (or *Observer) hasLingering(entries map[string]netip.AddrPort) bool {
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
		if now.Sub(seen) < or.linger {
			return true
		}
		delete(or.seen, name)
	}
	return false
}

// Healthy reports whether the VM accepts a connection.
func (or *Observer) Healthy(ctx context.Context, vm recorder.VM) bool {
	cn, err := or.dialer.DialContext(ctx, "tcp", vm.Address.String())
	if err != nil {
		return false
	}
	_ = cn.Close()
	return true
}

// UrgentDemand returns the urgent demand on each pool, in slots, over all live
// entries that answer. It returns false if none does.
func (or *Observer) UrgentDemand(ctx context.Context) (map[string]float64, bool) {
	entries, ok := or.entries.Entries(ctx)
	if !ok {
		return nil, false
	}
	demand := map[string]float64{}
	answered := false
	for _, address := range entries {
		ld, err := or.ask(ctx, address)
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

func (or *Observer) ask(ctx context.Context, address netip.AddrPort) (surveyor.Load, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+surveyor.Path, nil)
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.Internal, "ask %s", address)
	}
	rs, err := or.client.Do(rq)
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.PeerUnreachable, "ask %s", address)
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return surveyor.Load{}, classifier.New(classifier.PeerUnreachable, "%s answers %s", address, rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxLoadSize))
	if err != nil {
		return surveyor.Load{}, classifier.Wrap(err, classifier.PeerUnreachable, "ask %s", address)
	}
	return surveyor.Decode(data)
}
