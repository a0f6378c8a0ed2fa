package receiver_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/store/keeper"
)

// onStage runs a test in virtual time on a stage with targets.
func onStage(t *testing.T, targets int, test func(ctx context.Context, sg *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, newStage(ctx, targets))
		cancel()
		time.Sleep(time.Minute)
	})
}

// cut cuts the zone of the entries off from the platform.
func cut(t *testing.T, sg *stage) {
	t.Helper()
	must.NoError(t, sg.keeper.SetFaults(keeper.Partition{Scope: keeper.Scope{Zone: "a", Share: 1}}))
}

// TestCutOffZoneGoesOnServing cuts an entry off for an hour.
func TestCutOffZoneGoesOnServing(t *testing.T) {
	onStage(t, 1, func(ctx context.Context, sg *stage) {
		ey := sg.start("e1", "a")
		time.Sleep(time.Second)
		must.EqOp(t, http.StatusCreated, ey.ask(ctx, "r1", "k1", "body").status)
		time.Sleep(time.Second)
		cut(t, sg)
		for minute := range 60 {
			must.EqOp(t, http.StatusCreated, ey.ask(ctx, fmt.Sprint(minute), "", "body").status)
			must.EqOp(t, http.StatusCreated, ey.ask(ctx, "again", "k1", "body").status)
			must.True(t, ey.ask(ctx, "new", "k2", "body").says(`"code":206,"codeName":"journalUnavailable","outcome":"notRun"`))
			time.Sleep(time.Minute)
		}
		must.EqOp(t, 0, sg.requestRan("new"))
		must.EqOp(t, 1, sg.ran("k1"))
		must.NoError(t, sg.keeper.SetFaults())
		time.Sleep(5 * time.Second)
		must.EqOp(t, http.StatusCreated, ey.ask(ctx, "healed", "k2", "body").status)
	})
}

// TestStartWhileCutOff takes no request without settings, and serves soon after
// the cut has healed.
func TestStartWhileCutOff(t *testing.T) {
	onStage(t, 1, func(ctx context.Context, sg *stage) {
		cut(t, sg)
		ey := sg.start("e1", "a")
		time.Sleep(time.Minute)
		must.True(t, ey.ask(ctx, "r1", "", "body").says(`"code":205,"codeName":"entryNotReady","outcome":"notRun"`))
		must.NoError(t, sg.keeper.SetFaults())
		time.Sleep(5 * time.Second)
		must.EqOp(t, http.StatusCreated, ey.ask(ctx, "r2", "", "body").status)
	})
}

// TestLeavingTargetGetsNoNewWork hears of a leaving target from the directory,
// and from the target's own refusals while the zone is cut off.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		onStage(t, 2, func(ctx context.Context, sg *stage) {
			ey := sg.start("e1", "a")
			time.Sleep(time.Second)
			leaving := sg.targets[0]
			if cutOff {
				cut(t, sg)
				for range 1000 {
					leaving.next = append(leaving.next, drain)
				}
			} else {
				sg.directory.Version++
				sg.directory.Targets[0].State = registrar.Leaving
				sg.putDirectory()
			}
			for number := range 100 {
				must.EqOp(t, http.StatusCreated, ey.ask(ctx, fmt.Sprint("first", number), "", "body").status)
			}
			time.Sleep(3 * time.Second)
			before := leaving.served()
			for number := range 100 {
				must.EqOp(t, http.StatusCreated, ey.ask(ctx, fmt.Sprint("later", number), "", "body").status)
			}
			must.EqOp(t, before, leaving.served())
		})
	}
}
