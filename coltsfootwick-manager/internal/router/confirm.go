package router

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// maxConfirmTime is how long the confirmation of a configuration is repeated while
// reads are answered and transactions are not. It is longer than the usual outages of
// the store. After it the process serves by its last read, since otherwise a store that
// never answers such a transaction would keep every process from serving.
const maxConfirmTime = 6 * time.Second

// confirm returns the newest entry of the configuration's key, given one that was
// read. A read may be answered by a replica of the store that lags behind. A
// transaction is decided by the current state: one without writes succeeds if the
// entry is the newest, and its conflict has the newest otherwise. The error is that of
// the context.
func (ro *Router) confirm(ctx context.Context, et storer.Entry) (storer.Entry, error) {
	backoff := storer.NewBackoff(minBackoff, maxBackoff)
	startedAt := time.Now()
	for {
		sentAt := time.Now()
		newest, err := ro.checkNewest(ctx, et)
		if err == nil {
			ro.watch.noteSynced(time.Now(), time.Since(sentAt))
			return newest, nil
		}
		if !isTransient(err) {
			ro.logger.Error("the store refuses to confirm the configuration; using the one that was read", zap.Error(err))
			return et, nil
		}
		ro.logger.Warn("the configuration is not confirmed yet", zap.Error(err))
		if err := backoff.Pause(ctx); err != nil {
			return storer.Entry{}, err
		}
		read, err := ro.store.Get(ctx, adapter.ConfigurationKey)
		switch {
		case err != nil:
			// The store can't be reached, and how long that takes says nothing.
			startedAt = time.Now()
		case read.Revision > et.Revision:
			et = read
		}
		if time.Since(startedAt) > maxConfirmTime {
			ro.logger.Error("the store answers no transactions; using the configuration that was read last")
			return et, nil
		}
	}
}

// checkNewest returns the newest entry of the configuration's key according to a
// transaction.
func (ro *Router) checkNewest(ctx context.Context, et storer.Entry) (storer.Entry, error) {
	_, err := ro.store.Commit(ctx, storer.Transaction{
		Preconditions: []storer.Precondition{{Key: adapter.ConfigurationKey, Revision: et.Revision}},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		if newest := conflict.Entries[adapter.ConfigurationKey]; len(newest.Value) > 0 {
			return newest, nil
		}
	}
	return et, err
}

// isTransient reports whether a transaction with this error may succeed later.
func isTransient(err error) bool {
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable, classifier.PlatformAmbiguous, classifier.PlatformRateLimited, classifier.PlatformConflict:
		return true
	}
	return false
}
