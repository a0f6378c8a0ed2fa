// Package lister reads the platform's lagging list of VMs at intervals.
package lister

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/store/storer"
)

// Lister reads the list of VMs.
type Lister struct {
	fleet    storer.Fleet
	interval time.Duration
	logger   *zap.Logger
}

// New returns a Lister that reads the list once in each interval.
func New(fleet storer.Fleet, interval time.Duration, logger *zap.Logger) *Lister {
	return &Lister{
		fleet:    fleet,
		interval: interval,
		logger:   logger,
	}
}

// Run sends each list that could be read, until ctx ends.
func (lr *Lister) Run(ctx context.Context, lists chan<- []storer.VM) {
	ticker := time.NewTicker(lr.interval)
	defer ticker.Stop()
	isFailing := false
	for {
		vms, err := lr.fleet.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !isFailing {
			lr.logger.Warn("platform's VM list can't be read", zap.Error(err))
		}
		isFailing = err != nil
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
