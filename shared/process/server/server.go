// Package server serves HTTP as an actor of an oklog/run group.
package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/process/classifier"
)

// The defaults of a Server.
const (
	defaultGrace      = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Option is an option of New.
type Option func(*Server)

// WithGrace sets how long an ending server waits for requests in progress.
func WithGrace(grace time.Duration) Option {
	return func(sr *Server) { sr.grace = grace }
}

// WithTimeouts sets how long a connection may take for a request's headers and
// how long it may be unused.
func WithTimeouts(header, idle time.Duration) Option {
	return func(sr *Server) {
		sr.http.ReadHeaderTimeout = header
		sr.http.IdleTimeout = idle
	}
}

// WithDrainFirst leaves the contexts of requests in progress alone until the
// grace has passed.
func WithDrainFirst() Option {
	return func(sr *Server) { sr.isDrainFirst = true }
}

// Server serves HTTP on one address. Its methods Execute and Interrupt make an
// actor of an oklog/run group.
type Server struct {
	listener net.Listener
	http     *http.Server
	grace    time.Duration
	cancel   context.CancelFunc
	ended    chan struct{}
	// isDrainFirst is set by WithDrainFirst.
	isDrainFirst bool
}

// New listens on an address and returns a Server that is not yet serving. It
// returns a ListenFailed error if the address can't be listened on.
func New(address netip.AddrPort, handler http.Handler, opts ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, classifier.Wrap(err, classifier.ListenFailed, "%s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sr := &Server{
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		},
		grace:  defaultGrace,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr, nil
}

// Address returns the address that is listened on, with its actual port.
func (sr *Server) Address() netip.AddrPort {
	address, ok := sr.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Execute serves until Interrupt is called, and returns once the requests in
// progress have ended or the grace has passed.
func (sr *Server) Execute() error {
	err := sr.http.Serve(sr.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-sr.ended
		return nil
	}
	return classifier.Wrap(err, classifier.ListenFailed, "%s", sr.listener.Addr())
}

// Interrupt ends the server: the contexts of requests in progress are
// cancelled, so that waiting requests answer, and after the grace the rest is
// closed.
func (sr *Server) Interrupt(error) {
	defer close(sr.ended)
	if !sr.isDrainFirst {
		sr.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), sr.grace)
	defer cancel()
	if sr.http.Shutdown(ctx) != nil {
		_ = sr.http.Close()
	}
	sr.cancel()
	_ = sr.listener.Close()
}
