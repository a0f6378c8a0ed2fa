// Package server provides an HTTP server that runs as an actor of an oklog/run group.
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
	defaultGrace = 2 * time.Second
	// answerTime is the part of the grace period that is left for answers to requests
	// whose contexts have been cancelled.
	answerTime        = 250 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Option is an option of New.
type Option func(*Server)

// WithGrace sets how long a server that is shutting down waits for requests in
// progress.
func WithGrace(grace time.Duration) Option {
	return func(sr *Server) { sr.grace = grace }
}

// WithTimeouts sets the timeout for reading a request's headers and the idle timeout
// of a connection.
func WithTimeouts(header, idle time.Duration) Option {
	return func(sr *Server) {
		sr.http.ReadHeaderTimeout = header
		sr.http.IdleTimeout = idle
	}
}

// WithDeadline sets a function that returns the time by which a server that is shutting
// down has closed its connections. It is called when the shutdown starts, and replaces
// the grace period unless it returns the zero time.
func WithDeadline(deadline func() time.Time) Option {
	return func(sr *Server) { sr.deadline = deadline }
}

// WithDrainFirst lets requests in progress complete during the grace period: their
// contexts are cancelled shortly before it ends, so that they can still be answered.
func WithDrainFirst() Option {
	return func(sr *Server) { sr.isDrainFirst = true }
}

// WithCloseNotify sets a function that is called before a server that is shutting down
// closes connections with requests in progress.
func WithCloseNotify(notify func()) Option {
	return func(sr *Server) { sr.notifyClose = notify }
}

// Server is an HTTP server on one address. Its methods Execute and Interrupt form an
// actor of an oklog/run group.
type Server struct {
	listener net.Listener
	http     *http.Server
	grace    time.Duration
	cancel   context.CancelFunc
	ended    chan struct{}
	// isDrainFirst delays the cancellation of the requests' contexts until the
	// grace period ends.
	isDrainFirst bool
	deadline     func() time.Time
	notifyClose  func()
}

// New listens on an address and returns a Server that serves once Execute is called.
// It returns a ListenFailed error if it can't listen on the address.
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
		grace:       defaultGrace,
		cancel:      cancel,
		ended:       make(chan struct{}),
		deadline:    func() time.Time { return time.Time{} },
		notifyClose: func() {},
	}
	for _, opt := range opts {
		opt(sr)
	}
	return sr, nil
}

// Address returns the address on which the server listens, with its actual port.
func (sr *Server) Address() netip.AddrPort {
	address, ok := sr.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Execute serves until Interrupt is called, and returns once the requests in progress
// have ended or the grace period has passed.
func (sr *Server) Execute() error {
	err := sr.http.Serve(sr.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-sr.ended
		return nil
	}
	return classifier.Wrap(err, classifier.ListenFailed, "%s", sr.listener.Addr())
}

// Interrupt shuts the server down. It cancels the contexts of requests in progress, at
// once or, with WithDrainFirst, shortly before the grace period ends, so that waiting
// requests are answered. It closes the remaining connections when the grace period ends.
func (sr *Server) Interrupt(error) {
	defer close(sr.ended)
	deadline := sr.deadline()
	if deadline.IsZero() {
		deadline = time.Now().Add(sr.grace)
	}
	isDrained := sr.isDrainFirst && sr.shutDown(deadline.Add(-answerTime)) == nil
	sr.cancel()
	if !isDrained && sr.shutDown(deadline) != nil {
		sr.notifyClose()
		_ = sr.http.Close()
	}
	_ = sr.listener.Close()
}

// shutDown closes the listener and the idle connections, and waits until the deadline
// for the requests in progress.
func (sr *Server) shutDown(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return sr.http.Shutdown(ctx)
}
