package runner

import (
	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/guard"
	"coltsfootwick.example/shared/process/server"
)

// guard returns the option that bounds what clients of a listener take up, and logs what
// it refuses.
func (mg *manager) guard(listener string, capacity guard.Capacity, limits func() guard.Limits) server.Option {
	log := mg.logger.With(zap.String("listener", listener))
	return server.WithGuard(capacity, limits, func(cause guard.Cause, count, total uint64) {
		log.Warn("requests refused or connections closed", zap.Stringer("cause", cause), zap.Uint64("count", count), zap.Uint64("total", total))
	})
}

// callerLimits returns the limits of callers' requests that are in force.
func (mg *manager) callerLimits() guard.Limits {
	limits := mg.router.Limits()
	return guard.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		MaxBodyBytes:   limits.MaxBodyBytes,
		HeaderTimeout:  limits.HeaderTimeout,
		IdleTimeout:    limits.IdleTimeout,
	}
}

func defaultLimits() guard.Limits { return guard.Limits{} }
