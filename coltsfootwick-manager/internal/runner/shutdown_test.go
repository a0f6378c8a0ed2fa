package runner

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a SIGTERM that is dropped while a SIGHUP waits to be handled.
func TestStopIsNoticedAmongHangups(t *testing.T) {
	sg := newSignals()
	const hangups = 20
	for range hangups {
		must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	}
	must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	select {
	case stop := <-sg.stops:
		must.Eq(t, syscall.SIGTERM, stop.(syscall.Signal))
	case <-time.After(10 * time.Second):
		t.Fatal("SIGTERM was dropped")
	}
}

// Guards against shutdowns that outlast the grace period or leave requests no time in it.
func TestShutdownLeavesTimeForAnswers(t *testing.T) {
	now := time.Now()
	for _, grace := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, time.Hour} {
		sd := newSchedule(now, grace)
		end := now.Add(grace)
		must.True(t, sd.deregisteredAt.After(now), must.Sprint(grace))
		must.GreaterEq(t, grace/5, sd.closeBy.Sub(sd.deregisteredAt), must.Sprint(grace))
		must.GreaterEq(t, min(exitTime, grace/10), end.Sub(sd.closeBy), must.Sprint(grace))
		must.Less(t, grace, part(releaseTimeout, grace, maxReleasePart), must.Sprint(grace))
	}
}
