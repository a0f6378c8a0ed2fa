// Package sender sends requests to targets. An attempt owns its connection
// until the answer is complete, and a connection is reused only after a complete
// answer. The package never retries a request by itself.
package sender

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = time.Second
	maxIdleTime = 30 * time.Second
)

var errConnectionLimit = errors.New("connection limit for the target reached: all connections of this entry are in use")

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Target represents a target and the pool of connections to it that this entry
// uses for one service. It is safe for concurrent use.
type Target struct {
	address netip.AddrPort
	dial    DialFunc

	mu        sync.Mutex
	limit     int
	softLimit int
	open      int
	closed    bool
	idle      []*connection
}

// Option configures a Target.
type Option func(*Target)

// WithDial sets the function that opens connections.
func WithDial(dial DialFunc) Option {
	return func(tt *Target) { tt.dial = dial }
}

// WithSoftLimit sets the number of open connections above which a connection is
// closed when it becomes idle. The default is the connection limit.
func WithSoftLimit(softLimit int) Option {
	return func(tt *Target) { tt.softLimit = softLimit }
}

// New returns a Target with at most limit open connections.
func New(address netip.AddrPort, limit int, options ...Option) *Target {
	tt := &Target{
		address:   address,
		limit:     limit,
		softLimit: limit,
		dial:      dialTCP,
	}
	for _, option := range options {
		option(tt)
	}
	return tt
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dr := net.Dialer{Timeout: dialTimeout}
	return dr.DialContext(ctx, "tcp", address.String())
}

// Address returns the address of the target.
func (tt *Target) Address() netip.AddrPort { return tt.address }

// SetLimits sets the limit and the soft limit of open connections. Connections
// above the soft limit are closed when they become idle, so that the target can
// accept those of other entries.
func (tt *Target) SetLimits(limit, softLimit int) {
	tt.mu.Lock()
	tt.limit = limit
	tt.softLimit = softLimit
	var surplus []*connection
	for len(tt.idle) > 0 && tt.open > tt.softLimit {
		surplus = append(surplus, tt.idle[0])
		tt.idle = tt.idle[1:]
		tt.open--
	}
	tt.mu.Unlock()
	closeAll(surplus)
}

// Close closes the idle connections. Connections in use are closed when their
// attempts end.
func (tt *Target) Close() {
	tt.mu.Lock()
	idle := tt.idle
	tt.closed = true
	tt.idle = nil
	tt.open -= len(idle)
	tt.mu.Unlock()
	closeAll(idle)
}

// Open returns the number of open connections.
func (tt *Target) Open() int {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.open
}

// acquire returns an idle connection or opens a new one.
func (tt *Target) acquire(ctx context.Context, now, deadline time.Time) (*connection, error) {
	if !now.Before(deadline) {
		return nil, os.ErrDeadlineExceeded
	}
	for {
		co := tt.popIdle()
		if co == nil {
			break
		}
		if now.Sub(co.idleSince) < maxIdleTime && co.prepareReuse(deadline) {
			return co, nil
		}
		tt.discard(co)
	}
	if !tt.incrementOpen() {
		return nil, errConnectionLimit
	}
	co, err := tt.connect(ctx, deadline)
	if err != nil {
		tt.decrementOpen()
	}
	return co, err
}

func (tt *Target) connect(ctx context.Context, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := tt.dial(ctx, tt.address)
	if err != nil {
		return nil, err
	}
	if err := raw.SetDeadline(deadline); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConnection(raw), nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
// That connection is the least likely to have been closed by the target in the
// meantime.
func (tt *Target) popIdle() *connection {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	last := len(tt.idle) - 1
	if last < 0 {
		return nil
	}
	co := tt.idle[last]
	tt.idle[last] = nil
	tt.idle = tt.idle[:last]
	return co
}

// release makes a connection idle, or closes it if the target is closed or above
// its soft limit.
func (tt *Target) release(co *connection) {
	co.idleSince = time.Now()
	tt.mu.Lock()
	keep := !tt.closed && tt.open <= tt.softLimit
	if keep {
		tt.idle = append(tt.idle, co)
	}
	tt.mu.Unlock()
	if !keep {
		tt.discard(co)
	}
}

// discard closes a connection.
func (tt *Target) discard(co *connection) {
	co.close()
	tt.decrementOpen()
}

// incrementOpen counts a new connection, or returns false at the limit.
func (tt *Target) incrementOpen() bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if tt.open >= tt.limit {
		return false
	}
	tt.open++
	return true
}

func (tt *Target) decrementOpen() {
	tt.mu.Lock()
	tt.open--
	tt.mu.Unlock()
}

func closeAll(connections []*connection) {
	for _, co := range connections {
		co.close()
	}
}
