package prover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/standin/internal/assembler"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/target"
)

// TestAtMostOnceWithProcesses proves a part of the point atMostOnce: callers
// repeat keyed requests through another entry while entries are killed and
// frozen, targets fail and the platform loses its answers, and each key runs at
// most once.
func TestAtMostOnceWithProcesses(t *testing.T) {
	total := ledger.Verdict{}
	for schedule := range uint64(4) {
		verdict := runKeyedSchedule(t, seed(t)*1000+schedule)
		total.Answered += verdict.Answered
		total.Attempts += verdict.Attempts
		total.Requests += verdict.Requests
		total.Unresolved += verdict.Unresolved
	}
	t.Logf("requests %d, attempts %d, answered %d, unknown %d", total.Requests, total.Attempts, total.Answered, total.Unresolved)
	must.Positive(t, total.Answered)
	must.Positive(t, total.Attempts-total.Requests)
}

func runKeyedSchedule(t *testing.T, seed uint64) ledger.Verdict {
	t.Helper()
	ay := assemble(t,
		assembler.WithEntries(3),
		assembler.WithTargets(3, target.WithRunner(shortWork)),
		assembler.WithCheckInterval(100*time.Millisecond),
	)
	defer ay.Close()
	cg := loadConfig(ay, seed, 3*time.Second, 100)
	cg.Services[0].KeyedShare = 1
	cg.Services[0].Timeout = 2 * time.Second
	cg.H2C = seed%2 == 1
	rng := rand.New(rand.NewPCG(seed, 1))
	lr := runLoad(t, cg, func() { disturbAll(t, ay, rng) })
	settle(t, ay)
	verdict := lr.Judge(ay.Reports())
	for _, vn := range verdict.Violations {
		// A caller whose every attempt broke or ran into its timeout knows
		// nothing, which is no false promise.
		must.Eq(t, ledger.Lost, vn.Kind, must.Sprintf("seed %d: %+v", seed, vn))
	}
	return verdict
}

// disturbAll disturbs entries, targets and the platform in turn.
func disturbAll(t *testing.T, ay *assembler.Assembly, rng *rand.Rand) {
	t.Helper()
	for range 8 {
		sleep(t, time.Duration(rng.IntN(200))*time.Millisecond)
		ey := ay.Entries()[rng.IntN(len(ay.Entries()))]
		switch rng.IntN(4) {
		case 0:
			must.NoError(t, ey.Process().Kill())
			must.NoError(t, ey.Restart(t.Context()))
		case 1:
			must.NoError(t, ey.Process().Freeze())
			sleep(t, time.Duration(rng.IntN(1000))*time.Millisecond)
			must.NoError(t, ey.Process().Thaw())
		case 2:
			tt := ay.Targets()[rng.IntN(len(ay.Targets()))]
			must.NoError(t, tt.SetFault(target.Crash{}, 0))
			sleep(t, time.Duration(rng.IntN(100))*time.Millisecond)
			must.NoError(t, tt.SetFault(target.None{}, 0))
		case 3:
			loseAnswers(t, ay.Platform().Keeper(), rng)
		}
	}
}

// loseAnswers makes the platform lose the answers to some writes for a while.
func loseAnswers(t *testing.T, kr *keeper.Keeper, rng *rand.Rand) {
	t.Helper()
	must.NoError(t, kr.SetFaults(keeper.AnswerLost{
		Scope: keeper.Scope{
			Zone:  assembler.Zone,
			Share: 0.5,
			Seed:  rng.Uint64(),
		},
	}))
	sleep(t, time.Duration(rng.IntN(500))*time.Millisecond)
	must.NoError(t, kr.SetFaults())
}

// settle ends the entries, so that no request of an abandoned attempt runs
// after the records are read.
func settle(t *testing.T, ay *assembler.Assembly) {
	t.Helper()
	for _, ey := range ay.Entries() {
		must.NoError(t, ey.Process().Stop(stopGrace))
	}
}
