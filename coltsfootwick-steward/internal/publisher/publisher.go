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

// channelCapacity is the capacity of the channels of lists and notices.
const channelCapacity = 1

// Duty is the name of the duty that a Publisher serves.
const Duty = "directory"

// Publisher serves the directory duty of one availability zone.
type Publisher struct {
	zone      string
	store     storer.Store
	lister    *lister.Lister
	onWritten func(dy registrar.Directory)
	logger    *zap.Logger
}

// New returns a Publisher for an availability zone. It calls onWritten with each
// directory that it has written.
func New(zone string, store storer.Store, lr *lister.Lister, onWritten func(dy registrar.Directory), logger *zap.Logger) *Publisher {
	return &Publisher{
		zone:      zone,
		store:     store,
		lister:    lr,
		onWritten: onWritten,
		logger:    logger,
	}
}

// Serve keeps the directory up to date while the duty is held. It returns nil when
// ctx is done, or the error of a failed write.
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
			pr.handleNotice(vw, nt)
		}
		if !vw.isReady() {
			continue
		}
		if err := pr.publish(ctx, hd, vw); err != nil {
			return err
		}
	}
}

// follow sends the notices about the fleet record to the channel.
func (pr *Publisher) follow(ctx context.Context, notices chan<- storer.Notice) {
	_ = storer.Follow(ctx, pr.store, storer.FleetPrefix+pr.zone, func(nt storer.Notice) {
		select {
		case notices <- nt:
		case <-ctx.Done():
		}
	})
}

// handleNotice updates the view from a notice about the fleet record.
func (pr *Publisher) handleNotice(vw *view, nt storer.Notice) {
	switch nt := nt.(type) {
	case storer.Changed:
		if nt.Event.Entry.Key != storer.FleetPrefix+pr.zone {
			return
		}
		if err := vw.applyRecordEvent(nt.Event); err != nil {
			pr.logger.Error("fleet record can't be decoded; keeping the previous one", zap.Error(err))
		}
	case storer.Synced:
		vw.isSynced = true
		vw.isDisconnected = false
	case storer.Disconnected:
		if !vw.isDisconnected {
			pr.logger.Warn("fleet record can't be watched; retrying", zap.Error(nt.Err))
		}
		vw.isDisconnected = true
	}
}

// publish writes the directory if its targets differ from those last written.
func (pr *Publisher) publish(ctx context.Context, hd leaser.HeldDuty, vw *view) error {
	if vw.isLastWritten(vw.targets()) {
		return nil
	}
	var written registrar.Directory
	_, err := hd.Write(ctx, storer.DirectoryPrefix+pr.zone, leaser.Change{
		EpochOf: epochOf,
		Apply: func(et storer.Entry, epoch uint64) ([]byte, error) {
			nextDirectory, err := pr.nextDirectory(vw, et, epoch)
			written = nextDirectory
			if err != nil {
				return nil, err
			}
			return registrar.Encode(nextDirectory)
		},
	})
	if classifier.CodeOf(err) == classifier.PlatformTooLarge {
		pr.logger.Error("directory not written: the platform's service rejects its size", zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	vw.setLastWritten(written.Targets)
	pr.onWritten(written)
	pr.logger.Info("directory written",
		zap.Uint64("epoch", written.Epoch),
		zap.Uint64("version", written.Version),
		zap.Int("targets", len(written.Targets)),
	)
	return nil
}

// nextDirectory returns the successor of the stored directory. The VMs of the
// stored directory are kept even if no list has contained them for this holder.
func (pr *Publisher) nextDirectory(vw *view, et storer.Entry, epoch uint64) (registrar.Directory, error) {
	var stored registrar.Directory
	if et.Revision != 0 {
		decoded, err := registrar.Decode(et.Value)
		if err != nil {
			return registrar.Directory{}, err
		}
		stored = decoded
	}
	vw.addKnown(stored)
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
