package prover_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/assembler"
	"coltsfootwick.example/standin/internal/sampler"
	"coltsfootwick.example/standin/internal/target"
)

const (
	// settleIn is the time before the first stop.
	settleIn = 500 * time.Millisecond
	// checkInterval is what the entries allow for; the callers' balancer checks
	// ten times as often.
	checkInterval = time.Second
	// stopGrace is more than the entry's own drain timeout.
	stopGrace = time.Minute
)

// lastingWork has long work that is in flight for longer than the check interval.
var lastingWork = target.NewSampling(1,
	sampler.Exponential{Mean: 10 * time.Millisecond},
	sampler.Fixed{Value: 2 * checkInterval},
)

// TestGracefulStop proves the point gracefulStop: planned stops of one entry after
// the other under load break no request, refuse no connection and end with success.
func TestGracefulStop(t *testing.T) {
	ay := assemble(t,
		assembler.WithEntries(2),
		assembler.WithTargets(3, target.WithRunner(lastingWork)),
		assembler.WithCheckInterval(checkInterval),
	)
	for _, h2c := range []bool{false, true} {
		cg := loadConfig(ay, seed(t), 8*time.Second, 100)
		cg.H2C = h2c
		cg.Services[0].LongShare = 0.03
		lr := runLoad(t, cg, func() {
			sleep(t, settleIn)
			for _, ey := range ay.Entries() {
				must.NoError(t, ey.Process().Stop(stopGrace))
				must.NoError(t, ey.Restart(t.Context()))
			}
		})
		verdict := mustBeSound(t, lr, ay)
		must.Zero(t, verdict.BrokenAttempts, must.Sprintf("h2c %t", h2c))
		must.Zero(t, verdict.UnsentAttempts, must.Sprintf("h2c %t", h2c))
		must.Zero(t, verdict.TimedOutAttempts, must.Sprintf("h2c %t", h2c))
		must.Zero(t, verdict.Unreachable, must.Sprintf("h2c %t", h2c))
		must.Zero(t, verdict.Refused[classifier.EntryStopping], must.Sprintf("h2c %t", h2c))
		must.Positive(t, verdict.Answered)
	}
}

// TestKilledEntryLeavesTruth proves that the death of an entry under load breaks
// only what its callers see break: no answer is partial or crossed, no refusal
// false, and callers who repeat are answered by the other entry.
func TestKilledEntryLeavesTruth(t *testing.T) {
	ay := assemble(t,
		assembler.WithEntries(2),
		assembler.WithTargets(3, target.WithRunner(lastingWork)),
	)
	cg := loadConfig(ay, seed(t), 2*time.Second, 200)
	// Long work is in flight at the time of the kill with near certainty.
	cg.Services[0].LongShare = 0.1
	lr := runLoad(t, cg, func() {
		sleep(t, settleIn)
		ey := ay.Entries()[0]
		must.NoError(t, ey.Process().Kill())
		must.NoError(t, ey.Restart(t.Context()))
	})
	verdict := mustBeSound(t, lr, ay)
	must.Positive(t, verdict.BrokenAttempts)
	must.Positive(t, verdict.Answered)
}
