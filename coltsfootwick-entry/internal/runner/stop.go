package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"
)

// journalFlushTime is the last part of the drain timeout, reserved for flushing the
// journal.
const journalFlushTime = 500 * time.Millisecond

// errStopped is returned by the stop actor after a graceful stop.
var errStopped = errors.New("stopped")

// addStopActor adds the actor that stops the entry gracefully after ctx has ended,
// before the other actors are interrupted.
func (rr *Runner) addStopActor(ctx context.Context, group *run.Group, callers *http.Server, withdraw func()) {
	waiting, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-waiting.Done()
		if ctx.Err() != nil {
			rr.stop(callers, withdraw)
		}
		return errStopped
	}, func(error) { cancel() })
}

// stop makes the entry not ready, withdraws its member record, accepts requests
// for another check interval of the load balancer, waits until no request is in
// flight, and flushes the journal.
func (rr *Runner) stop(callers *http.Server, withdraw func()) {
	deadline := time.Now().Add(rr.settings.DrainTimeout)
	rr.stopping.Store(true)
	rr.receiver.DisableKeepAlives()
	rr.logger.Info("entry stopping")
	withdraw()
	time.Sleep(rr.settings.CheckInterval)
	if err := rr.drain(callers, deadline.Add(-journalFlushTime)); err != nil {
		rr.logger.Error("requests in flight aborted at the drain timeout", zap.Error(err))
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := rr.journal.Flush(ctx); err != nil {
		rr.logger.Error("journal not flushed: outcomes of finished requests may be missing", zap.Error(err))
	}
	rr.logger.Info("entry stopped")
}

// drain closes the listener and waits until no request is in flight, including
// requests whose callers have disconnected.
func (rr *Runner) drain(callers *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return err
	}
	drained := make(chan struct{})
	go func() {
		rr.receiver.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
