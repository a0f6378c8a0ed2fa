// Package runner assembles a manager's components, runs them and shuts them
// down in order.
package runner

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/attendant"
	"coltsfootwick.example/coltsfootwick-manager/internal/conductor"
	"coltsfootwick.example/coltsfootwick-manager/internal/elector"
	"coltsfootwick.example/coltsfootwick-manager/internal/peer"
	"coltsfootwick.example/coltsfootwick-manager/internal/router"
	"coltsfootwick.example/coltsfootwick-manager/internal/submitter"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/guard"
	"coltsfootwick.example/shared/process/logger"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/prober"
	"coltsfootwick.example/shared/store/storer"
)

// Durations that govern a manager.
const (
	// dutyTTL is the TTL of the duty's lease, after which a dead holder is
	// replaced. It is some renewals long, so that a lost one doesn't end the lease.
	dutyTTL = time.Second
	// dutyRenewalInterval is the interval between renewals of the lease. Jobs that are
	// accepted after the last one before an outage of the store wait for its end. A renewal
	// is a tenth of a read of the store, and only the holder renews.
	dutyRenewalInterval = 150 * time.Millisecond
	// dutyWatchTimeout bounds the time until a dead connection to the store is
	// detected.
	dutyWatchTimeout = 2 * time.Second
	// dutyOverrun is how long a holder continues after its lease may have expired
	// while the store is unavailable.
	dutyOverrun = 6 * time.Second
	// runLease is how long the runs on a worker continue without a renewal by the
	// holder. It is longer than a takeover after a kill, so that runs survive one.
	runLease = 5 * time.Second
	// pollWait is how long a worker may delay its response to a poll until a run
	// ends.
	pollWait = time.Second
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = guard.DefaultHeaderTimeout
	idleTimeout   = guard.DefaultIdleTimeout
	// failureGrace bounds the wait for requests in progress when the manager ends
	// because one of its components has failed.
	failureGrace = 3 * time.Second
)

const (
	// dutyName is the name of the scheduler's duty.
	dutyName = "scheduler"
	// memoryLimitPercent is the Go runtime's soft memory limit as a percentage of
	// the process's memory limit.
	memoryLimitPercent = 60
	// heldPart is the part of the memory, as 1/n, for the jobs that the scheduler holds.
	heldPart = 4
)

// Run runs a manager until SIGTERM or SIGINT.
func Run(level string) error {
	ring := logger.NewAsyncWriter(os.Stdout)
	defer ring.Close()
	log, err := logger.NewAsyncLogger(level, ring)
	if err != nil {
		return err
	}
	log.Info("manager starting")
	settings, err := adapter.LoadSettings()
	if err != nil {
		log.Error("cannot load the settings", zap.Error(err))
		return err
	}
	if !settings.OrdersByRPC {
		return classifier.New(classifier.SettingsRange, "orders: workers that receive orders in heartbeat responses are not supported")
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	mg, err := newManager(settings, log.With(zap.String("node", settings.Node)))
	if err != nil {
		log.Error("cannot start the manager", zap.Error(err))
		return err
	}
	err = mg.run()
	log.Info("closing the log", zap.Uint64("droppedLines", ring.Dropped()))
	return err
}

// manager is a running manager.
type manager struct {
	settings    adapter.Settings
	logger      *zap.Logger
	storeHealth *prober.Prober
	router      *router.Router
	locator     *peer.Locator
	elector     *elector.Elector
	submitter   *submitter.Submitter
	conductor   *conductor.Conductor
	attendant   *attendant.Attendant
	leaser      *leaser.Leaser
	refusals    *refusalLog
	tracker     *requestTracker
	callers     *server.Server
	servers     []*server.Server
	// schedule is the schedule of the shutdown, or nil before one has started.
	schedule atomic.Pointer[schedule]
}

func newManager(settings adapter.Settings, log *zap.Logger) (*manager, error) {
	storeDialer, vmDialer := adapter.NewDialer(), adapter.NewDialer()
	// Probes have connections of their own, since calls into an outage can take up all others.
	probed := adapter.NewStore(settings.Store, storeDialer)
	health := prober.New(func(ctx context.Context) error {
		_, err := probed.Get(ctx, storer.DutyPrefix+settings.Region+"/"+dutyName)
		return err
	}, log)
	store := health.Observe(adapter.NewStore(settings.Store, storeDialer))
	ttl := max(dutyTTL, settings.Bounds.MinLeaseTTL)
	var mg *manager
	duty := leaser.New(store, settings.Region, dutyName, settings.Internal.String(),
		leaser.WithTTL(ttl), leaser.WithRenewalInterval(dutyRenewalInterval), leaser.WithWait(dutyWatchTimeout), leaser.WithOverrun(dutyOverrun),
		leaser.WithReleaseTimeout(part(releaseTimeout, settings.Bounds.ShutdownGrace, maxReleasePart)),
		leaser.WithClock(timekeeper.Now), leaser.WithNotify(func(nt leaser.Notice) { logDutyNotice(log, nt) }),
		leaser.WithPrecedence(func(ctx context.Context) time.Duration { return mg.elector.Delay(ctx) }))
	locator := peer.NewLocator(store, duty.Key(), log)
	client := peer.NewClient()
	queues := router.New(store, log)
	keeper := attendant.New(attendant.Settings{
		Keeper: assigner.Keeper{
			ID:       assigner.KeeperID(settings.Node),
			Zone:     settings.Zone,
			Capacity: float64(elector.NewCapacity(settings.Cores, settings.LinkMbps)),
		},
		Locator: locator,
		Workers: adapter.NewWorkers(adapter.NewDialer()),
		Store:   store,
		Logger:  log,
	})
	refusals := newRefusalLog(log)
	submitterOptions := []submitter.Option{submitter.WithRetention(settings.Bounds.StatusRetention)}
	if settings.HasPressure {
		submitterOptions = append(submitterOptions, submitter.WithBacklogs(keeper, func(queue string) { refusals.add(refusedForBacklog, queue) }))
	}
	mg = &manager{
		settings:    settings,
		logger:      log,
		storeHealth: health,
		refusals:    refusals,
		tracker:     newRequestTracker(log),
		router:      queues,
		locator:     locator,
		attendant:   keeper,
		submitter:   submitter.New(store, client, locator, queues, health, log, submitterOptions...),
		leaser:      duty,
		elector: elector.New(elector.Settings{
			Store:      store,
			Region:     settings.Region,
			Node:       settings.Node,
			Address:    settings.Internal,
			Capacity:   elector.NewCapacity(settings.Cores, settings.LinkMbps),
			Locator:    locator,
			Peer:       client,
			IsEligible: func() bool { return !mg.isShuttingDown() && !health.IsUnavailable() },
			Logger:     log,
		}),
		conductor: conductor.New(conductor.Settings{
			Store:   store,
			DutyKey: duty.Key(),
			Region:  settings.Region,
			Node:    settings.Node,
			Bounds: allocator.Bounds{
				RunLease:        min(runLease, settings.Bounds.MaxRunLease),
				MaxRunLease:     settings.Bounds.MaxRunLease,
				MaxOverrun:      dutyOverrun,
				PollWait:        pollWait,
				DutyLease:       ttl,
				StopGrace:       settings.Bounds.StopGrace,
				StatusRetention: settings.Bounds.StatusRetention,
				MaintenanceTime: settings.Bounds.MaintenanceTime,
				VMOrderRate:     settings.Bounds.VMOrderRate,
			},
			HasPressure:  settings.HasPressure,
			MaxHeldBytes: int64(settings.MemoryMB) << 20 / heldPart,
			LinkMbps:     settings.LinkMbps,
			VMs:          adapter.NewVMs(settings.VMs, vmDialer),
			Adviser:      adapter.NewAdviser(settings.Advice, adapter.NewDialer()),
			WaveStatus:   waveStatus,
			Links: []conductor.Link{
				{Name: "store", Traffic: storeDialer.Traffic},
				{Name: "vmInterface", Traffic: vmDialer.Traffic},
			},
			Logger: log,
		}),
	}
	return mg, mg.listen()
}

// waveStatus encodes the status record of a wave. It implements archiver.Status.
func waveStatus(number int64, isCompleted bool) (string, []byte, error) {
	value, err := adapter.EncodeWaveStatus(number, isCompleted)
	return adapter.WaveStatusKey(number), value, err
}

// listen opens the listeners for readiness checks, callers and peers.
func (mg *manager) listen() error {
	callerHandler := adapter.NewCallerHandler(mg.submitter, mg.router, time.Now, adapter.WithRefusalFunc(mg.refusals.add))
	opts := slices.Clip([]server.Option{server.WithTimeouts(headerTimeout, idleTimeout), server.WithDrainFirst(),
		server.WithGrace(failureGrace), server.WithDeadline(mg.closeDeadline)})
	capacities := guard.NewCapacities(mg.settings.MemoryMB, mg.settings.MaxFDs)
	ready, err := server.New(mg.settings.Ready, http.HandlerFunc(mg.serveReadiness),
		append(opts, mg.guard("readiness", capacities.Readiness, defaultLimits))...)
	if err != nil {
		return err
	}
	callers, err := server.New(mg.settings.Front, mg.tracker.track(mg.closeOnShutdown(callerHandler)),
		append(opts, server.WithCloseNotify(mg.tracker.logUnanswered), mg.guard("callers", capacities.Callers, mg.callerLimits))...)
	if err != nil {
		return err
	}
	mg.callers = callers
	peers, err := server.New(mg.settings.Internal, peer.NewHandler(mg.conductor, mg.logger),
		append(opts, mg.guard("internal", capacities.Internal, peer.Limits))...)
	if err != nil {
		return err
	}
	mg.servers = []*server.Server{ready, peers}
	return nil
}

// serveReadiness answers the platform's readiness checks.
func (mg *manager) serveReadiness(rw http.ResponseWriter, _ *http.Request) {
	if mg.isShuttingDown() || !mg.router.IsReady() || mg.storeHealth.IsUnavailable() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// closeOnShutdown returns a handler that closes callers' connections during
// shutdown, so that their next requests go to another manager.
func (mg *manager) closeOnShutdown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if mg.isShuttingDown() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, rq)
	})
}

// run runs the manager's components until a signal starts the shutdown or a
// component fails.
func (mg *manager) run() error {
	var group run.Group
	group.Add(mg.callers.Execute, func(err error) {
		mg.logger.Info("closing callers' connections", zap.Int("requestsInProgress", mg.tracker.count()))
		mg.callers.Interrupt(err)
	})
	for _, sr := range mg.servers {
		group.Add(sr.Execute, sr.Interrupt)
	}
	// The duty is released as soon as a signal arrives; all other components
	// continue while requests may still arrive.
	dutyContext, releaseDuty := context.WithCancel(context.Background())
	runContext, interrupt := context.WithCancel(context.Background())
	for _, actor := range []func(ctx context.Context) error{mg.router.Run, mg.locator.Run, mg.submitter.Run, mg.elector.Run, mg.attendant.Run, mg.storeHealth.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	group.Add(func() error {
		err := mg.leaser.Run(dutyContext, mg.conductor.Serve)
		<-runContext.Done()
		return err
	}, func(error) { releaseDuty() })
	sg := newSignals()
	group.Add(func() error { return mg.handleSignals(runContext, sg, releaseDuty) }, func(error) { interrupt() })
	mg.logger.Info("manager started", zap.String("zone", mg.settings.Zone), zap.Stringer("front", mg.settings.Front), zap.Stringer("internal", mg.settings.Internal))
	err := group.Run()
	mg.logger.Info("manager stopped", zap.Error(err))
	return err
}

// logDutyNotice logs the acquisition or loss of the scheduler's duty.
func logDutyNotice(log *zap.Logger, nt leaser.Notice) {
	switch nt := nt.(type) {
	case leaser.Acquired:
		log.Info("scheduler's duty acquired", zap.Uint64("epoch", nt.Epoch))
	case leaser.Lost:
		log.Info("scheduler's duty lost", zap.Uint64("epoch", nt.Epoch), zap.Error(nt.Err))
	case leaser.Retrying:
		if nt.Err != nil {
			log.Debug("scheduler's duty not acquired", zap.Error(nt.Err))
		}
	case leaser.StandingBy:
	}
}
