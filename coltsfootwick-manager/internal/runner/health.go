package runner

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/classifier"
)

// outAfter is how many calls in a row fail before the store counts as out; one
// lost answer says nothing.
const outAfter = 2

// health judges by its calls whether the store answers.
type health struct {
	failures atomic.Int64
	logger   *zap.Logger
}

// observe takes in the outcome of a call.
func (he *health) observe(call string, err error) {
	if errors.Is(err, context.Canceled) {
		// The manager has given the call up itself.
		return
	}
	switch classifier.CodeOf(err) {
	case classifier.PlatformUnavailable, classifier.PlatformAmbiguous, classifier.PlatformRateLimited:
		if he.failures.Add(1) == outAfter {
			he.logger.Warn("store lost", zap.String("call", call), zap.Error(err))
		}
	default:
		if he.failures.Swap(0) >= outAfter {
			he.logger.Info("store regained", zap.String("call", call))
		}
	}
}

// IsOut implements submitter.Health.
func (he *health) IsOut() bool { return he.failures.Load() >= outAfter }
