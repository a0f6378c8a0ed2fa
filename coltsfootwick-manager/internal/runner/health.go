package runner

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
)

// failureThreshold is the number of consecutive failed calls after which the
// store is considered unavailable; a single lost response is not significant.
const failureThreshold = 2

// storeHealth derives the availability of the store from the outcomes of calls.
type storeHealth struct {
	failures atomic.Int64
	logger   *zap.Logger
}

// observe records the outcome of a call.
func (sh *storeHealth) observe(call string, err error) {
	if errors.Is(err, context.Canceled) {
		// The manager cancelled the call, so its error says nothing about the
		// store.
		return
	}
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable, classifier.PlatformAmbiguous, classifier.PlatformRateLimited:
		if sh.failures.Add(1) == failureThreshold {
			sh.logger.Warn("store unavailable", zap.String("call", call), zap.Error(err))
		}
	default:
		if sh.failures.Swap(0) >= failureThreshold {
			sh.logger.Info("store available again", zap.String("call", call))
		}
	}
}

// IsUnavailable implements submitter.StoreHealth.
func (sh *storeHealth) IsUnavailable() bool { return sh.failures.Load() >= failureThreshold }
