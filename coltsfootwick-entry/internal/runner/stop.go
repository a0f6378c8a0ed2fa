package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"
)

// journalFlushTime is the end of the drain timeout that is kept for the journal.
const journalFlushTime = 500 * time.Millisecond

// errStopped is what the stop actor returns after a planned stop.
var errStopped = errors.New("stopped")

// addStopActor adds the actor that waits for ctx to end and then stops the entry
// gracefully, before the other actors are interrupted.
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

// stop makes the entry not ready, withdraws its member record, takes requests
// for the balancer's check interval, and waits until what is in flight is over.
func (rr *Runner) stop(callers *http.Server, withdraw func()) {
	deadline := time.Now().Add(rr.settings.DrainTimeout)
	rr.stopping.Store(true)
	rr.receiver.DisableKeepAlives()
	rr.logger.Info("entry stopping")
	withdraw()
	time.Sleep(rr.settings.CheckInterval)
	if err := rr.drain(callers, deadline.Add(-journalFlushTime)); err != nil {
		rr.logger.Error("requests cut off at the drain timeout", zap.Error(err))
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := rr.journal.Flush(ctx); err != nil {
		rr.logger.Error("requests that ended are not in the journal", zap.Error(err))
	}
	rr.logger.Info("entry stopped")
}

// drain takes no more connections and waits until all requests are over, those
// of callers that went away among them.
func (rr *Runner) drain(callers *http.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return err
	}
	over := make(chan struct{})
	go func() {
		rr.receiver.Wait()
		close(over)
	}()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
