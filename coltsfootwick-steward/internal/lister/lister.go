// Package lister polls the platform's list of VMs, which lags behind their state.
package lister

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/store/storer"
)

// Lister polls the list of VMs.
type Lister struct {
	fleet    storer.Fleet
	interval time.Duration
	logger   *zap.Logger
}

// New returns a Lister that reads the list once per interval.
func New(fleet storer.Fleet, interval time.Duration, logger *zap.Logger) *Lister {
	return &Lister{
		fleet:    fleet,
		interval: interval,
		logger:   logger,
	}
}

// Run sends each list that it reads to lists, until ctx is done. It logs the
// first of successive failures.
func (lr *Lister) Run(ctx context.Context, lists chan<- []storer.VM) {
	ticker := time.NewTicker(lr.interval)
	defer ticker.Stop()
	failing := false
	for {
		vms, err := lr.fleet.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			lr.logger.Warn("platform's VM list can't be read", zap.Error(err))
		}
		failing = err != nil
		if err == nil {
			select {
			case lists <- vms:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
