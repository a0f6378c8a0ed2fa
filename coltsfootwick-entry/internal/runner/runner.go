// Package runner assembles the parts of the entry and runs them.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/coltsfootwick-entry/internal/conductor"
	"coltsfootwick.example/coltsfootwick-entry/internal/follower"
	"coltsfootwick.example/coltsfootwick-entry/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-entry/internal/meter"
	"coltsfootwick.example/coltsfootwick-entry/internal/receiver"
	"coltsfootwick.example/coltsfootwick-entry/internal/reporter"
	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
	sharedreporter "coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/requests/journaler"
	"coltsfootwick.example/shared/store/storer"
)

const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	incarnationBytes  = 8
	// maxStreams is the number of requests that a caller may have on one connection of
	// HTTP/2 at once; RFC 9113 recommends no less than 100.
	maxStreams = 100
	// maxConnectionBuffer and maxStreamBuffer are the bytes of bodies that are received
	// ahead of their handlers.
	maxConnectionBuffer = 128 << 10
	maxStreamBuffer     = 64 << 10
)

// memberTTL is the time for which the member record of a crashed entry remains.
// After that the zone's other entries use its share of the slots.
const memberTTL = 5 * time.Second

// Runner represents one entry process.
type Runner struct {
	settings  initialiser.Settings
	logger    *zap.Logger
	meter     *meter.Meter
	follower  *follower.Follower
	conductor *conductor.Conductor
	receiver  *receiver.Receiver
	announcer *announcer.Announcer
	journal   *journaler.Journal
	// peers is nil if no peers are configured.
	peers *connector.Connector

	callerListener net.Listener
	operators      *server.Server
	stopping       atomic.Bool
}

// New returns an entry that listens on its addresses. Run starts it.
func New(se initialiser.Settings, store storer.Store, logger *zap.Logger, options ...conductor.Option) (*Runner, error) {
	rr := &Runner{
		settings: se,
		logger:   logger,
		meter:    meter.New(),
	}
	var err error
	if rr.callerListener, err = listen(se.Listen); err != nil {
		return nil, err
	}
	rr.operators, err = server.New(se.Operators, reporter.New(rr, rr.meter.Registry()),
		server.WithGuard(guard.NewOperatorsCapacity(), operatorLimits, rr.reportRefusals("operators")))
	if err != nil {
		_ = rr.callerListener.Close()
		return nil, err
	}
	incarnation := newIncarnation()
	store = rr.meter.CountCalls(store)
	followed, err := rr.connectPeers(store)
	if err != nil {
		_ = rr.callerListener.Close()
		rr.operators.Interrupt(err)
		return nil, err
	}
	rr.follower = follower.New(followed, se.Zone, logger)
	options = append(options, rr.peerOptions()...)
	budget := budgeter.New(se.MemoryBytes)
	rr.conductor = conductor.New(se.Name, rr.follower.Updates(), budget, rr.meter, logger, options...)
	rr.meter.RegisterSource(rr.conductor)
	rr.journal = journaler.New(store, incarnation)
	rr.receiver = receiver.New(incarnation, rr.conductor, rr.journal, rr.conductor, rr.meter, logger)
	rr.announcer = announcer.New(store, sharedreporter.Member{
		Name:             se.Name,
		Role:             sharedreporter.Entry,
		Zone:             se.Zone,
		Incarnation:      incarnation,
		Address:          rr.CallersAddress(),
		OperatorsAddress: rr.OperatorsAddress(),
		PeerAddress:      rr.PeerAddress(),
	}, logger, announcer.WithTTL(memberTTL))
	return rr, nil
}

func listen(address netip.AddrPort) (net.Listener, error) {
	lr, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, classifier.Wrap(err, classifier.ListenFailed, "%s", address)
	}
	return lr, nil
}

// newIncarnation returns a random name that identifies this start of the entry.
func newIncarnation() string {
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// CallersAddress returns the address that accepts callers' requests.
func (rr *Runner) CallersAddress() netip.AddrPort { return addressOf(rr.callerListener) }

// OperatorsAddress returns the address of the operators' port.
func (rr *Runner) OperatorsAddress() netip.AddrPort { return rr.operators.Address() }

func addressOf(lr net.Listener) netip.AddrPort {
	address, ok := lr.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Load implements reporter.Source.
func (rr *Runner) Load() surveyor.Load { return rr.conductor.Load() }

// Status implements reporter.Source.
func (rr *Runner) Status() reporter.Status {
	return reporter.Status{
		Name:             rr.settings.Name,
		Role:             string(sharedreporter.Entry),
		Zone:             rr.settings.Zone,
		SettingsRevision: rr.conductor.Revision(),
	}
}

// Ready implements reporter.Source.
func (rr *Runner) Ready() error {
	if rr.stopping.Load() {
		return classifier.New(classifier.EntryStopping, "the entry is shutting down")
	}
	if !rr.conductor.Ready() {
		return classifier.New(classifier.EntryNotReady, "the entry has not received settings and a directory yet")
	}
	return nil
}

// Run runs the entry until ctx ends, then stops it gracefully.
func (rr *Runner) Run(ctx context.Context) error {
	callers, listener := rr.newServer()
	var group run.Group
	addActor(&group, rr.follower.Run)
	rr.addPeers(&group)
	addActor(&group, rr.conductor.Run)
	addActor(&group, rr.journal.Run)
	group.Add(rr.operators.Execute, rr.operators.Interrupt)
	addServer(&group, callers, listener)
	withdraw := rr.addAnnouncer(&group)
	rr.addStopActor(ctx, &group, callers, withdraw)
	rr.logger.Info("entry started",
		zap.String("name", rr.settings.Name),
		zap.String("zone", rr.settings.Zone),
		zap.Stringer("callersAddress", rr.CallersAddress()),
		zap.Stringer("operatorsAddress", rr.OperatorsAddress()),
	)
	err := group.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// addAnnouncer adds the actor that publishes the entry's member record. It returns
// a function that withdraws the record before the actor is interrupted.
func (rr *Runner) addAnnouncer(group *run.Group) func() {
	announcing, withdraw := context.WithCancel(context.Background())
	addActor(group, func(ctx context.Context) error {
		defer context.AfterFunc(ctx, withdraw)()
		_ = rr.announcer.Run(announcing)
		<-ctx.Done()
		return ctx.Err()
	})
	return withdraw
}

// newServer returns the callers' server and the listener to serve on.
func (rr *Runner) newServer() (*http.Server, net.Listener) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	hs := &http.Server{
		Handler:           rr.receiver,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: maxConnectionBuffer,
			MaxReceiveBufferPerStream:     maxStreamBuffer,
		},
	}
	capacity := guard.NewBudgetCapacity(rr.settings.MemoryBytes, maxDescriptors())
	return hs, server.Guard(hs, rr.callerListener, capacity, callerLimits, rr.reportRefusals("callers"))
}

// addActor adds an actor that runs until it is interrupted.
func addActor(group *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// addServer adds the actor of a server. The actor continues after Shutdown has
// been called on the server, since requests may still be in flight.
func addServer(group *run.Group, server *http.Server, lr net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := server.Serve(lr)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
		}
		return err
	}, func(error) {
		_ = server.Close()
		cancel()
	})
}
