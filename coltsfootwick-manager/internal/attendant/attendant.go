// Package attendant runs the keeper of a manager: it connects to the holder of the
// scheduler's duty and carries out the holder's orders to the workers that the
// manager keeps.
package attendant

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/store/storer"
)

// minBackoff and maxBackoff bound the pauses between attempts to connect.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Locator locates the holder of the scheduler's duty.
type Locator interface {
	// Holder returns the holder's address, or false if none is known.
	Holder() (netip.AddrPort, bool)
	// Changed returns a channel that is closed when the holder changes.
	Changed() <-chan struct{}
}

// Attendant runs the keeper of a manager.
type Attendant struct {
	keeper   assigner.Keeper
	locator  Locator
	workers  *adapter.Workers
	store    storer.Store
	logger   *zap.Logger
	backlogs backlogs
}

// Settings holds the dependencies and parameters of an Attendant.
type Settings struct {
	// Keeper describes this manager.
	Keeper assigner.Keeper
	// Locator locates the holder of the scheduler's duty.
	Locator Locator
	// Workers is the client of the workers.
	Workers *adapter.Workers
	// Store is the platform's store.
	Store storer.Store
	// Logger logs each order.
	Logger *zap.Logger
}

// New returns an Attendant.
func New(st Settings) *Attendant {
	return &Attendant{
		keeper:  st.Keeper,
		locator: st.Locator,
		workers: st.Workers,
		store:   st.Store,
		logger:  st.Logger,
	}
}

// Run keeps the manager connected to the holder until the context is done.
func (at *Attendant) Run(ctx context.Context) error {
	backoff := storer.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		changed := at.locator.Changed()
		holder, ok := at.locator.Holder()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if at.attend(ctx, holder, changed) {
			backoff.Reset()
		}
		_ = backoff.Pause(ctx)
	}
	return ctx.Err()
}

// attend serves a holder until the connection ends or another manager holds the
// duty. It reports whether there was a connection.
func (at *Attendant) attend(ctx context.Context, holder netip.AddrPort, changed <-chan struct{}) bool {
	conn, epoch, err := linker.Dial(ctx, adapter.NewDialer(), holder, at.keeper)
	if err != nil {
		at.logger.Debug("cannot connect to the scheduler", zap.Stringer("holder", holder), zap.Error(err))
		return false
	}
	defer conn.Close()
	at.logger.Info("connected to the scheduler", zap.Stringer("holder", holder), zap.Uint64("epoch", epoch))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ss := newSession(conn, at.store, &at.backlogs, at.logger)
	ss.dispatcher = dispatcher.New(at.workers, epoch, ss.answer, at.logger)
	ended := make(chan error, 1)
	go func() { ended <- ss.receive(ctx) }()
	go ss.send(ctx)
	select {
	case err = <-ended:
	case <-changed:
	case <-ctx.Done():
	}
	at.logger.Info("connection to the scheduler ended", zap.Stringer("holder", holder), zap.Uint64("epoch", epoch), zap.Error(err))
	return true
}
