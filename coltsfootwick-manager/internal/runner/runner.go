// Package runner runs a manager: it joins its parts and ends them in order.
package runner

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/conductor"
	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-manager/internal/peer"
	"coltsfootwick.example/coltsfootwick-manager/internal/router"
	"coltsfootwick.example/coltsfootwick-manager/internal/submitter"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/logger"
	"coltsfootwick.example/shared/process/server"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// Times of a manager.
const (
	// dutyTTL is how long a dead holder's duty stays taken: longer than the
	// store's least, so that one lost renewal doesn't end it.
	dutyTTL = 1500 * time.Millisecond
	// dutyWait bounds how late a silent connection to the store is noticed.
	dutyWait = 2 * time.Second
	// dutyOverrun is how long a holder goes on while the store doesn't answer.
	dutyOverrun = 6 * time.Second
	// runLease is how long runs outlive the holder's last word: longer than a
	// takeover takes after a kill.
	runLease = 5 * time.Second
	// pollWait is how long a worker waits for an end before it reports.
	pollWait = time.Second
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// leaveTime is from SIGTERM to when no more calls come: the platform asks
	// each second whether callers may come, and two misses end it.
	leaveTime = 2200 * time.Millisecond
	// drainGrace is how long calls in progress are waited for after that.
	drainGrace = 2 * time.Second
)

const (
	// dutyName is the duty that the scheduler holds.
	dutyName = "scheduler"
	// memoryShare is the share of the memory limit at which the collector
	// works harder, in percent.
	memoryShare = 60
)

// Run runs a manager until SIGTERM or SIGINT.
func Run(level string) error {
	ring := logger.NewRing(os.Stdout)
	defer ring.Close()
	log, err := logger.NewRingLogger(level, ring)
	if err != nil {
		return err
	}
	settings, err := adapter.LoadSettings()
	if err != nil {
		log.Error("settings refused", zap.Error(err))
		return err
	}
	if !settings.TakesOrdersByCall {
		return classifier.New(classifier.SettingsRange, "orders: workers that take orders with their heartbeats are not served")
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryShare / 100)
	mg, err := newManager(settings, log.With(zap.String("node", settings.Node)))
	if err != nil {
		log.Error("manager not started", zap.Error(err))
		return err
	}
	err = mg.run()
	log.Info("log ends", zap.Uint64("droppedLines", ring.Dropped()))
	return err
}

// manager is a running manager.
type manager struct {
	settings  adapter.Settings
	logger    *zap.Logger
	health    *health
	router    *router.Router
	locator   *peer.Locator
	submitter *submitter.Submitter
	conductor *conductor.Conductor
	leaser    *leaser.Leaser
	servers   []*server.Server
	isLeaving atomic.Bool
}

func newManager(settings adapter.Settings, log *zap.Logger) (*manager, error) {
	he := &health{
		logger: log,
	}
	store := storer.ObserveTransactions(adapter.NewStore(settings.Store), he.observe)
	ttl := max(dutyTTL, settings.Bounds.MinLeaseTTL)
	duty := leaser.New(store, settings.Region, dutyName, settings.Internal.String(),
		leaser.WithTTL(ttl), leaser.WithWait(dutyWait), leaser.WithOverrun(dutyOverrun),
		leaser.WithClock(timekeeper.Now), leaser.WithNotify(func(nt leaser.Notice) { logDuty(log, nt) }))
	locator := peer.NewLocator(store, duty.Key(), log)
	mg := &manager{
		settings:  settings,
		logger:    log,
		health:    he,
		router:    router.New(store, log),
		locator:   locator,
		submitter: submitter.New(store, peer.NewClient(), locator, he, log),
		leaser:    duty,
		conductor: conductor.New(conductor.Settings{
			Store:   store,
			DutyKey: duty.Key(),
			Region:  settings.Region,
			Node:    settings.Node,
			Bounds: allocator.Bounds{
				RunLease:        min(runLease, settings.Bounds.MaxRunLease),
				MaxOverrun:      dutyOverrun,
				PollWait:        pollWait,
				DutyLease:       ttl,
				StopGrace:       settings.Bounds.StopGrace,
				StatusRetention: settings.Bounds.StatusRetention,
				MaintenanceTime: settings.Bounds.MaintenanceTime,
			},
			Platform: dispatcher.Platform{
				Workers: adapter.NewWorkers(),
				VMs:     adapter.NewVMs(settings.VMs),
				Adviser: adapter.NewAdviser(settings.Advice),
			},
			WaveStatus: waveStatus,
			Logger:     log,
		}),
	}
	return mg, mg.listen()
}

// waveStatus implements archiver.Status.
func waveStatus(number int64, isCompleted bool) (string, []byte, error) {
	value, err := adapter.EncodeWaveStatus(number, isCompleted)
	return adapter.WaveStatusKey(number), value, err
}

// listen opens the manager's addresses.
func (mg *manager) listen() error {
	front := adapter.NewFront(mg.submitter, mg.router, time.Now)
	opts := []server.Option{server.WithTimeouts(headerTimeout, idleTimeout), server.WithGrace(drainGrace), server.WithDrainFirst()}
	ready, err := server.New(mg.settings.Ready, http.HandlerFunc(mg.answerReady), opts...)
	if err != nil {
		return err
	}
	callers, err := server.New(mg.settings.Front, mg.closing(front), opts...)
	if err != nil {
		return err
	}
	peers, err := server.New(mg.settings.Internal, peer.NewHandler(mg.conductor, mg.logger), opts...)
	if err != nil {
		return err
	}
	mg.servers = []*server.Server{ready, callers, peers}
	return nil
}

// answerReady tells the platform whether callers may come.
func (mg *manager) answerReady(rw http.ResponseWriter, _ *http.Request) {
	if mg.isLeaving.Load() || !mg.router.IsReady() || mg.health.IsOut() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// closing has callers go elsewhere once the manager is leaving.
func (mg *manager) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if mg.isLeaving.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, rq)
	})
}

// run runs the manager's parts and ends them when a signal comes.
func (mg *manager) run() error {
	var group run.Group
	for _, sr := range mg.servers {
		group.Add(sr.Execute, sr.Interrupt)
	}
	// The duty is given up as soon as the signal comes; all else goes on while
	// calls may still come.
	dutyContext, leaveDuty := context.WithCancel(context.Background())
	for _, actor := range []func(ctx context.Context) error{mg.router.Run, mg.locator.Run, mg.submitter.Run} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	group.Add(func() error {
		err := mg.leaser.Run(dutyContext, mg.conductor.Serve)
		<-dutyContext.Done()
		if mg.isLeaving.Load() {
			time.Sleep(leaveTime)
			return nil
		}
		return err
	}, func(error) { leaveDuty() })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go mg.awaitSignal(signals, leaveDuty)
	mg.logger.Info("manager started", zap.String("zone", mg.settings.Zone), zap.Stringer("front", mg.settings.Front), zap.Stringer("internal", mg.settings.Internal))
	err := group.Run()
	mg.logger.Info("manager ended", zap.Error(err))
	return err
}

// awaitSignal begins the end at the first SIGTERM or SIGINT.
func (mg *manager) awaitSignal(signals <-chan os.Signal, leaveDuty func()) {
	for sg := range signals {
		mg.logger.Info("signal", zap.Stringer("signal", sg))
		if sg == syscall.SIGHUP {
			continue
		}
		mg.isLeaving.Store(true)
		leaveDuty()
	}
}

// logDuty logs what happens to the duty.
func logDuty(log *zap.Logger, nt leaser.Notice) {
	switch nt := nt.(type) {
	case leaser.Acquired:
		log.Info("scheduler's duty acquired", zap.Uint64("epoch", nt.Epoch))
	case leaser.Lost:
		log.Info("scheduler's duty lost", zap.Uint64("epoch", nt.Epoch), zap.Error(nt.Err))
	case leaser.Waiting:
		if nt.Err != nil {
			log.Debug("scheduler's duty not acquired", zap.Error(nt.Err))
		}
	case leaser.StandingBy:
	}
}
