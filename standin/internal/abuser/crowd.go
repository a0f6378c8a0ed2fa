// Package abuser plays crowds of clients that nobody controls against a process, and
// observes whether the process stays within its limits and serves ordinary callers.
package abuser

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// redialPause is the pause of a client between two connections, and shortRedialPause
	// that of one which comes back at once.
	redialPause      = 200 * time.Millisecond
	shortRedialPause = 20 * time.Millisecond
)

// Target is what the clients of a crowd send their requests to.
type Target struct {
	// Address is the address of a listener.
	Address netip.AddrPort
	// Path is the path of the requests. If it ends with a slash, it is a queue's path
	// prefix, and the ID of a job follows.
	Path string
}

// path returns the path of the request with a number.
func (tg Target) path(number int64) string {
	if !strings.HasSuffix(tg.Path, "/") {
		return tg.Path
	}
	return fmt.Sprintf("%s%016x", tg.Path, number)
}

// Crowd is a number of clients that send requests in one manner. Each keeps one
// connection open until the server closes it, and then opens another.
type Crowd struct {
	target  Target
	manner  Manner
	clients int

	connections atomic.Int64
	open        atomic.Int64
	paths       atomic.Int64
}

// NewCrowd returns a crowd of clients.
func NewCrowd(target Target, manner Manner, clients int) *Crowd {
	return &Crowd{
		target:  target,
		manner:  manner,
		clients: clients,
	}
}

// Connections returns the number of connections that the clients have opened so far.
func (cr *Crowd) Connections() int64 { return cr.connections.Load() }

// Open returns the number of connections that are open.
func (cr *Crowd) Open() int64 { return cr.open.Load() }

// nextPath returns the path of a further request.
func (cr *Crowd) nextPath() string { return cr.target.path(cr.paths.Add(1)) }

// Run plays the crowd until the context is done.
func (cr *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := range cr.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				cr.connect(ctx, number)
				select {
				case <-ctx.Done():
				case <-time.After(cr.redialPause()):
				}
			}
		})
	}
}

func (cr *Crowd) redialPause() time.Duration {
	if cr.manner.comesBackAtOnce {
		return shortRedialPause
	}
	return redialPause
}

// connect opens a connection, sends a request in the crowd's manner and waits until the
// server closes the connection. Errors are the server's way to turn the client away.
func (cr *Crowd) connect(ctx context.Context, number int) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", cr.target.Address.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	cr.open.Add(1)
	defer cr.open.Add(-1)
	cr.connections.Add(1)
	rq := request{
		path:    cr.nextPath(),
		isWhole: number%wholeEvery == 0,
		number:  number,
		next:    cr.nextPath,
	}
	if cr.manner.send(conn, rq) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
