package runner

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/meter"
	"coltsfootwick.example/coltsfootwick-steward/internal/reporter"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// serveFunc serves a duty while it is held.
type serveFunc func(ctx context.Context, hd leaser.HeldDuty) error

// duty campaigns for one duty and keeps its state.
type duty struct {
	name   string
	serve  serveFunc
	leaser *leaser.Leaser
	meter  *meter.Meter
	logger *zap.Logger

	mutex sync.Mutex
	state reporter.DutyState
	epoch uint64
}

// newDuty returns the named duty of the runner's availability zone.
func (rr *Runner) newDuty(store storer.Store, name string, serve serveFunc) *duty {
	dt := &duty{
		name:   name,
		serve:  serve,
		meter:  rr.meter,
		logger: rr.logger.With(zap.String("duty", name)),
		state:  reporter.Waiting,
	}
	dt.leaser = leaser.New(store, rr.settings.Zone, name, rr.settings.Name,
		leaser.WithTTL(rr.settings.LeaseTTL),
		leaser.WithNotify(dt.handleNotice),
	)
	return dt
}

// run campaigns for the duty until ctx is done.
func (dt *duty) run(ctx context.Context) error { return dt.leaser.Run(ctx, dt.serve) }

// status returns the duty's state.
func (dt *duty) status() reporter.DutyStatus {
	dt.mutex.Lock()
	defer dt.mutex.Unlock()
	return reporter.DutyStatus{
		Duty:  dt.name,
		State: dt.state,
		Epoch: dt.epoch,
	}
}

// handleNotice updates the state and the metrics from a notice of the leaser.
func (dt *duty) handleNotice(nt leaser.Notice) {
	dt.mutex.Lock()
	defer dt.mutex.Unlock()
	previous := dt.state
	switch nt := nt.(type) {
	case leaser.Acquired:
		dt.state = reporter.Held
		dt.epoch = nt.Epoch
		dt.meter.ObserveAcquired(dt.name, nt.Epoch)
		dt.logger.Info("duty acquired", zap.Uint64("epoch", nt.Epoch))
	case leaser.Lost:
		dt.state = reporter.Waiting
		dt.meter.ObserveLost(dt.name)
		dt.logger.Info("duty lost", zap.Uint64("epoch", nt.Epoch), zap.Error(nt.Err))
	case leaser.StandingBy:
		dt.state = reporter.StandingBy
		if previous != dt.state {
			dt.logger.Info("another steward holds the duty; standing by")
		}
	case leaser.Retrying:
		dt.state = reporter.Waiting
		if previous != dt.state && nt.Err != nil {
			dt.logger.Warn("duty can't be acquired; retrying", zap.Error(nt.Err))
		}
	}
}
