// Package runner assembles the steward from its duties and runs them.
package runner

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/initialiser"
	"coltsfootwick.example/coltsfootwick-steward/internal/lister"
	"coltsfootwick.example/coltsfootwick-steward/internal/maintainer"
	"coltsfootwick.example/coltsfootwick-steward/internal/meter"
	"coltsfootwick.example/coltsfootwick-steward/internal/observer"
	"coltsfootwick.example/coltsfootwick-steward/internal/publisher"
	"coltsfootwick.example/coltsfootwick-steward/internal/reporter"
	"coltsfootwick.example/coltsfootwick-steward/internal/watcher"
	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/peers/announcer"
	"coltsfootwick.example/shared/peers/connector"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
	sharedreporter "coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/store/storer"
)

// Runner is one steward process.
type Runner struct {
	settings  initialiser.Settings
	logger    *zap.Logger
	meter     *meter.Meter
	operators *server.Server
	watched   *watcher.Settings
	entries   *watcher.Entries
	store     storer.Store
	duties    []*duty
	// followStore is the store from which records are followed: the relay of the
	// peers, or the platform's service without peers.
	followStore storer.Store
	// peers is nil if no peers are configured.
	peers *connector.Connector
}

// New returns a steward that listens on its operators' port. Run starts its
// duties.
func New(se initialiser.Settings, store storer.Store, fleet storer.Fleet, logger *zap.Logger) (*Runner, error) {
	rr := &Runner{
		settings: se,
		logger:   logger,
		meter:    meter.New(),
	}
	store = storer.Observe(store, rr.meter.ObserveCall)
	fleet = lister.NewCachingFleet(storer.ObserveFleet(fleet, rr.meter.ObserveCall), se.ListInterval)
	rr.store = store
	rr.watched = watcher.NewSettings(logger)
	rr.entries = watcher.NewEntries(se.Zone, logger)
	rr.duties = []*duty{
		rr.newDuty(store, publisher.Duty, rr.newPublisher(store, fleet).Serve),
		rr.newDuty(store, maintainer.Duty, rr.newMaintainer(store, fleet).Serve),
	}
	operators, err := server.New(se.Operators, reporter.New(rr, rr.meter.Registry()),
		server.WithGuard(guard.NewOperatorsCapacity(), func() guard.Limits { return guard.Limits{} }, rr.reportRefusals))
	if err != nil {
		return nil, err
	}
	rr.operators = operators
	if err := rr.connectPeers(); err != nil {
		operators.Interrupt(err)
		return nil, err
	}
	return rr, nil
}

// reportRefusals logs what the operators' port refuses.
func (rr *Runner) reportRefusals(cause guard.Cause, count, total uint64) {
	rr.logger.Warn("requests refused or connections closed", zap.String("listener", "operators"),
		zap.Stringer("cause", cause), zap.Uint64("count", count), zap.Uint64("total", total))
}

func (rr *Runner) newPublisher(store storer.Store, fleet storer.Fleet) *publisher.Publisher {
	list := lister.New(fleet, rr.settings.ListInterval, rr.logger)
	return publisher.New(rr.settings.Zone, store, list, rr.meter.ObserveDirectory, rr.logger)
}

func (rr *Runner) newMaintainer(store storer.Store, fleet storer.Fleet) *maintainer.Maintainer {
	return maintainer.New(rr.settings.Zone,
		recorder.NewRepository(store, recorder.WithAuthor(rr.settings.Name)),
		planner.NewRepository(store),
		fleet,
		observer.New(rr.entries),
		rr.watched,
		rr.logger,
		maintainer.WithFollow(store),
	)
}

// member returns the membership record that the steward announces.
func (rr *Runner) member() sharedreporter.Member {
	return sharedreporter.Member{
		Name:             rr.settings.Name,
		Role:             sharedreporter.Steward,
		Zone:             rr.settings.Zone,
		Incarnation:      uuid.NewString(),
		OperatorsAddress: rr.OperatorsAddress(),
		PeerAddress:      rr.peerAddress(),
	}
}

// OperatorsAddress returns the address of the operators' port.
func (rr *Runner) OperatorsAddress() netip.AddrPort { return rr.operators.Address() }

// Status implements reporter.Source.
func (rr *Runner) Status() reporter.Status {
	ss := reporter.Status{
		Name:     rr.settings.Name,
		Zone:     rr.settings.Zone,
		Revision: rr.watched.Revision(),
		Duties:   make([]reporter.DutyStatus, 0, len(rr.duties)),
	}
	for _, dt := range rr.duties {
		ss.Duties = append(ss.Duties, dt.status())
	}
	return ss
}

// Ready implements reporter.Source.
func (rr *Runner) Ready() error {
	for _, dt := range rr.duties {
		if dt.status().State == reporter.Waiting {
			return classifier.New(classifier.PlatformUnavailable, "duty %s: the platform's service has not confirmed a holder", dt.name)
		}
	}
	return nil
}

// Run runs the steward until ctx is done, then releases its duties.
func (rr *Runner) Run(ctx context.Context) error {
	var group run.Group
	group.Add(run.ContextHandler(ctx))
	group.Add(rr.operators.Execute, rr.operators.Interrupt)
	actors := []func(ctx context.Context) error{
		func(ctx context.Context) error { return rr.watched.Run(ctx, rr.followStore) },
		func(ctx context.Context) error { return rr.entries.Run(ctx, rr.followStore) },
		announcer.New(rr.store, rr.member(), rr.logger).Run,
	}
	if rr.peers != nil {
		actors = append(actors, rr.peers.Run)
	}
	for _, dt := range rr.duties {
		actors = append(actors, dt.run)
	}
	for _, actor := range actors {
		actorCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	rr.logger.Info("steward started",
		zap.String("name", rr.settings.Name),
		zap.String("zone", rr.settings.Zone),
		zap.Stringer("operatorsAddress", rr.OperatorsAddress()),
	)
	err := group.Run()
	rr.logger.Info("steward stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
