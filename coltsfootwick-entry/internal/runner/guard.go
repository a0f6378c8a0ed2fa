package runner

import (
	"syscall"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/process/guard"
	"coltsfootwick.example/shared/process/server"
)

// callerLimits returns the limits of callers' requests. Those of bodies are the services'.
func callerLimits() guard.Limits {
	return guard.Limits{
		MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout:  readHeaderTimeout,
		IdleTimeout:    callerIdleTimeout,
	}
}

// operatorLimits returns the limits of requests to the operators' port.
func operatorLimits() guard.Limits { return guard.Limits{} }

// maxDescriptors returns the number of descriptors that the process may open.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return guard.DefaultMaxFDs
	}
	const unlimited = 1 << 20
	return int(min(limit.Cur, unlimited))
}

// reportRefusals returns a function that logs what a listener refuses.
func (rr *Runner) reportRefusals(listener string) server.ReportFunc {
	log := rr.logger.With(zap.String("listener", listener))
	return func(cause guard.Cause, count, total uint64) {
		log.Warn("requests refused or connections closed", zap.Stringer("cause", cause), zap.Uint64("count", count), zap.Uint64("total", total))
	}
}
