package recorder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

const seeds = 200

// TestRacingMovesKeepOnePool runs concurrent writers that move VMs between the
// same pools while the platform's service is slow, fails, and loses responses.
// No VM may be lost, duplicated or without a pool, the number of moves reported
// to the writers must equal the number in the audit trail, and no budget may be
// exceeded.
func TestRacingMovesKeepOnePool(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { runRacingMoves(t, seed) })
	}
}

func runRacingMoves(t *testing.T, seed uint64) {
	const (
		writers = 4
		moves   = 6
		members = 6
	)
	kr := keeper.New(keeper.WithRates(0, 0))
	createRecord(t, kr, members)
	must.NoError(t, kr.SetFaults(
		keeper.AnswerLost{Scope: keeper.Scope{Share: 0.3, Seed: seed}},
		keeper.Slow{Scope: keeper.Scope{Share: 0.5, Seed: seed + 1}, Delay: 200 * time.Millisecond},
		keeper.Outage{Scope: keeper.Scope{Share: 0.1, Seed: seed + 2}},
	))
	done := make(chan int, writers)
	for i := range writers {
		go func() { done <- moveRandomly(t, kr, fmt.Sprintf("writer%d", i), seed*writers+uint64(i), moves) }()
	}
	moved := 0
	for range writers {
		moved += <-done
	}
	must.NoError(t, kr.SetFaults())
	ze, err := recorder.NewRepository(kr.Zone("a")).Zone(t.Context(), "a")
	must.NoError(t, err, must.Sprintf("seed %d", seed))
	must.Len(t, 2*members, ze.VMs, must.Sprintf("seed %d", seed))
	must.EqOp(t, moved, countAuditedMoves(ze), must.Sprintf("seed %d", seed))
	for _, pool := range []string{"claims", "checks"} {
		must.GreaterEq(t, 0, ze.Free(pool), must.Sprintf("seed %d", seed))
	}
}

func createRecord(t *testing.T, kr *keeper.Keeper, members int) {
	ry := recorder.NewRepository(kr.Zone("a"))
	ze := newZone(t, map[string]int{"claims": members, "checks": members}, nil)
	changes := []recorder.Change{recorder.SetFloors{
		Revision: 1,
		Floors: map[string]recorder.Floor{
			"claims": {Share: 0.5, MaxDraining: 1},
			"checks": {Share: 0.5, MaxDraining: 1},
		},
	}}
	for _, vm := range ze.VMs {
		changes = append(changes, recorder.Register{VM: vm})
	}
	_, err := ry.Change(t.Context(), "a", "set up", changes...)
	must.NoError(t, err)
}

// moveRandomly tries all steps of a move on random VMs and returns the number
// of move events that were reported as successful. A step that is rejected is
// skipped; another writer may complete the move.
func moveRandomly(t *testing.T, kr *keeper.Keeper, author string, seed uint64, moves int) int {
	rd := rand.New(rand.NewPCG(seed, 1))
	ry := recorder.NewRepository(kr.Zone("a"), recorder.WithAuthor(author))
	moved := 0
	for range moves {
		pools := []string{"claims", "checks"}
		from := rd.IntN(2)
		vm := fmt.Sprintf("%s-%02d", pools[rd.IntN(2)], rd.IntN(6))
		steps := []recorder.Change{
			recorder.Drain{VM: vm, Purpose: recorder.MovePurpose, MoveTo: pools[1-from]},
			recorder.Advance{VM: vm, Event: recorder.DrainedEvent},
			recorder.Advance{VM: vm, Event: recorder.MoveEvent},
			recorder.Advance{VM: vm, Event: recorder.PassedEvent},
			recorder.Advance{VM: vm, Event: recorder.ReturnedEvent},
		}
		for _, step := range steps {
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			_, err := ry.Change(ctx, "a", "race", step)
			cancel()
			if err != nil {
				must.SliceContains(t, []classifier.Code{classifier.VMBusy, classifier.BudgetExceeded}, classifier.CodeOf(err))
				continue
			}
			if ad, ok := step.(recorder.Advance); ok && ad.Event == recorder.MoveEvent {
				moved++
			}
		}
	}
	return moved
}

func countAuditedMoves(ze recorder.Zone) int {
	moves := 0
	for _, ae := range ze.Audit {
		if len(ae.Change) > 4 && ae.Change[:5] == "move " {
			moves++
		}
	}
	return moves
}
