// Package publisher writes the directory of targets of one availability zone,
// from the fleet record and the platform's lagging list of VMs.
package publisher

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/lister"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// channelCapacity bounds the lists and notices that wait for the publisher.
const channelCapacity = 1

// Duty is the name of the duty that a Publisher serves.
const Duty = "directory"

// Publisher serves the duty of the directory of one availability zone.
type Publisher struct {
	zone   string
	store  storer.Store
	lister *lister.Lister
	wrote  func(dy registrar.Directory)
	logger *zap.Logger
}

// New returns a Publisher for an availability zone. It calls wrote with each
// directory that it has written.
func New(zone string, store storer.Store, lr *lister.Lister, wrote func(dy registrar.Directory), logger *zap.Logger) *Publisher {
	return &Publisher{
		zone:   zone,
		store:  store,
		lister: lr,
		wrote:  wrote,
		logger: logger,
	}
}

// Serve keeps the directory up to date while the duty is held. It returns when
// ctx ends, or with the error of a write that can't be repeated.
func (pr *Publisher) Serve(ctx context.Context, hd leaser.HeldDuty) error {
	ctx, cancel := context.WithCancel(ctx)
	lists := make(chan []storer.VM, channelCapacity)
	notices := make(chan storer.Notice, channelCapacity)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { pr.lister.Run(ctx, lists) })
	group.Go(func() { pr.follow(ctx, notices) })
	vw := newView(pr.zone)
	for {
		select {
		case <-ctx.Done():
			return nil
		case vms := <-lists:
			vw.addList(vms)
		case nt := <-notices:
			pr.take(vw, nt)
		}
		if !vw.isReady() {
			continue
		}
		if err := pr.publish(ctx, hd, vw); err != nil {
			return err
		}
	}
}

// follow sends the notices of the fleet record.
func (pr *Publisher) follow(ctx context.Context, notices chan<- storer.Notice) {
	_ = storer.Follow(ctx, pr.store, storer.FleetPrefix+pr.zone, func(nt storer.Notice) {
		select {
		case notices <- nt:
		case <-ctx.Done():
		}
	})
}

// take takes in a notice of the fleet record.
func (pr *Publisher) take(vw *view, nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		if nt.Event.Entry.Key != storer.FleetPrefix+pr.zone {
			return
		}
		if err := vw.addRecord(nt.Event); err != nil {
			pr.logger.Error("fleet record can't be used", zap.Error(err))
		}
	case storer.Synced:
		vw.isSynced = true
		vw.isOutOfTouch = false
	case storer.Disconnected:
		if !vw.isOutOfTouch {
			pr.logger.Warn("fleet record can't be followed", zap.Error(nt.Err))
		}
		vw.isOutOfTouch = true
	}
}

// publish writes the directory if it differs from the one written last.
func (pr *Publisher) publish(ctx context.Context, hd leaser.HeldDuty, vw *view) error {
	if vw.isWritten(vw.targets()) {
		return nil
	}
	var written registrar.Directory
	_, err := hd.Write(ctx, storer.DirectoryPrefix+pr.zone, leaser.Change{
		EpochOf: epochOf,
		Apply: func(et storer.Entry, epoch uint64) ([]byte, error) {
			next, err := pr.next(vw, et, epoch)
			written = next
			if err != nil {
				return nil, err
			}
			return registrar.Encode(next)
		},
	})
	if classifier.CodeOf(err) == classifier.PlatformTooLarge {
		pr.logger.Error("directory is too large", zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	vw.setWritten(written.Targets)
	pr.wrote(written)
	pr.logger.Info("directory written",
		zap.Uint64("epoch", written.Epoch),
		zap.Uint64("version", written.Version),
		zap.Int("targets", len(written.Targets)),
	)
	return nil
}

// next returns the directory that follows the stored one. The VMs of the
// stored one are known, even if no list has shown them to this holder.
func (pr *Publisher) next(vw *view, et storer.Entry, epoch uint64) (registrar.Directory, error) {
	var stored registrar.Directory
	if et.Revision != 0 {
		decoded, err := registrar.Decode(et.Value)
		if err != nil {
			return registrar.Directory{}, err
		}
		stored = decoded
	}
	vw.assume(stored)
	targets := vw.targets()
	if stored.Epoch == epoch && slices.Equal(stored.Targets, targets) {
		return stored, storer.ErrUnchanged
	}
	return registrar.Directory{
		Zone:    pr.zone,
		Epoch:   epoch,
		Version: stored.Version + 1,
		Written: time.Now().UTC(),
		Targets: targets,
	}, nil
}

func epochOf(value []byte) (uint64, error) {
	dy, err := registrar.Decode(value)
	return dy.Epoch, err
}
