package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// deregistrationDelay is how long callers' requests may still arrive after
	// SIGTERM: the platform checks readiness every second and stops sending
	// callers after two failed checks.
	deregistrationDelay = 2200 * time.Millisecond
	// exitTime is the part of the platform's grace period in which the process ends
	// after all callers' connections have been closed.
	exitTime = 500 * time.Millisecond
	// releaseTimeout bounds the call that releases the scheduler's duty.
	releaseTimeout = time.Second
)

// The greatest parts of the grace period that the steps of a shutdown may take.
const (
	maxDeregistrationPart = 0.4
	maxExitPart           = 0.15
	maxReleasePart        = 0.5
)

// part returns a duration, or a part of the grace period if that is less.
func part(duration, grace time.Duration, maxPart float64) time.Duration {
	return min(duration, time.Duration(float64(grace)*maxPart))
}

// schedule holds the times of a graceful shutdown.
type schedule struct {
	// deregisteredAt is when no more callers' requests are expected, and listeners
	// and idle connections are closed.
	deregisteredAt time.Time
	// closeBy is when all connections have been closed.
	closeBy time.Time
}

// newSchedule returns the schedule of a shutdown that starts now and has to end within
// the grace period.
func newSchedule(now time.Time, grace time.Duration) schedule {
	return schedule{
		deregisteredAt: now.Add(part(deregistrationDelay, grace, maxDeregistrationPart)),
		closeBy:        now.Add(grace - part(exitTime, grace, maxExitPart)),
	}
}

// signals are the signals that a manager handles. Those that stop it have a channel of
// their own, since a signal is dropped while its channel is full.
type signals struct {
	stops, hangups chan os.Signal
}

func newSignals() signals {
	sg := signals{
		stops:   make(chan os.Signal, 1),
		hangups: make(chan os.Signal, 1),
	}
	signal.Notify(sg.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(sg.hangups, syscall.SIGHUP)
	return sg
}

// handleSignals starts the shutdown at the first SIGTERM or SIGINT, and returns once
// no more callers' requests are expected. SIGHUP is only logged.
func (mg *manager) handleSignals(ctx context.Context, sg signals, releaseDuty func()) error {
	var deregistered <-chan time.Time
	for {
		select {
		case stop := <-sg.stops:
			mg.logger.Info("signal", zap.Stringer("signal", stop))
			if deregistered != nil {
				continue
			}
			sd := newSchedule(time.Now(), mg.settings.Bounds.ShutdownGrace)
			mg.schedule.Store(&sd)
			releaseDuty()
			deregistered = time.After(time.Until(sd.deregisteredAt))
		case hangup := <-sg.hangups:
			mg.logger.Info("signal", zap.Stringer("signal", hangup))
		case <-deregistered:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isShuttingDown reports whether a signal has started a shutdown.
func (mg *manager) isShuttingDown() bool { return mg.schedule.Load() != nil }

// closeDeadline returns the time by which the servers have closed their connections,
// or the zero time if no signal has started a shutdown.
func (mg *manager) closeDeadline() time.Time {
	sd := mg.schedule.Load()
	if sd == nil {
		return time.Time{}
	}
	return sd.closeBy
}
