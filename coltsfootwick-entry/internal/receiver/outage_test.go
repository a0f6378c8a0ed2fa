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

// inTestRegion runs a test in virtual time in a region with the given number of
// targets.
func inTestRegion(t *testing.T, targets int, test func(ctx context.Context, rn *testRegion)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, newTestRegion(ctx, targets))
		cancel()
		time.Sleep(time.Minute)
	})
}

// partitionZone separates the zone of the entries from the platform.
func partitionZone(t *testing.T, rn *testRegion) {
	t.Helper()
	must.NoError(t, rn.keeper.SetFaults(keeper.Partition{Scope: keeper.Scope{Zone: "a", Share: 1}}))
}

// TestPartitionedZoneKeepsServing separates an entry from the platform for an
// hour. Requests without a key and duplicates of a finished key must still be
// answered; requests with a new key are refused as notRun.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	inTestRegion(t, 1, func(ctx context.Context, rn *testRegion) {
		ey := rn.startEntry("e1", "a")
		time.Sleep(time.Second)
		must.EqOp(t, http.StatusCreated, ey.send(ctx, "r1", "k1", "body").status)
		time.Sleep(time.Second)
		partitionZone(t, rn)
		for minute := range 60 {
			must.EqOp(t, http.StatusCreated, ey.send(ctx, fmt.Sprint(minute), "", "body").status)
			must.EqOp(t, http.StatusCreated, ey.send(ctx, "again", "k1", "body").status)
			must.True(t, ey.send(ctx, "new", "k2", "body").contains(`"code":206,"codeName":"journalUnavailable","outcome":"notRun"`))
			time.Sleep(time.Minute)
		}
		must.EqOp(t, 0, rn.requestRuns("new"))
		must.EqOp(t, 1, rn.keyRuns("k1"))
		must.NoError(t, rn.keeper.SetFaults())
		time.Sleep(5 * time.Second)
		must.EqOp(t, http.StatusCreated, ey.send(ctx, "healed", "k2", "body").status)
	})
}

// TestStartDuringPartition starts an entry without access to the platform. It must
// refuse requests while it has no settings, and serve soon after the partition
// has healed.
func TestStartDuringPartition(t *testing.T) {
	inTestRegion(t, 1, func(ctx context.Context, rn *testRegion) {
		partitionZone(t, rn)
		ey := rn.startEntry("e1", "a")
		time.Sleep(time.Minute)
		must.True(t, ey.send(ctx, "r1", "", "body").contains(`"code":205,"codeName":"entryNotReady","outcome":"notRun"`))
		must.NoError(t, rn.keeper.SetFaults())
		time.Sleep(5 * time.Second)
		must.EqOp(t, http.StatusCreated, ey.send(ctx, "r2", "", "body").status)
	})
}

// TestLeavingTargetGetsNoNewWork marks a target as leaving in the directory, or
// has it refuse requests as draining while the zone is partitioned. Either way
// it must get no further requests.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		inTestRegion(t, 2, func(ctx context.Context, rn *testRegion) {
			ey := rn.startEntry("e1", "a")
			time.Sleep(time.Second)
			leaving := rn.targets[0]
			if cutOff {
				partitionZone(t, rn)
				for range 1000 {
					leaving.next = append(leaving.next, refuseDraining)
				}
			} else {
				rn.directory.Version++
				rn.directory.Targets[0].State = registrar.Leaving
				rn.putDirectory()
			}
			for number := range 100 {
				must.EqOp(t, http.StatusCreated, ey.send(ctx, fmt.Sprint("first", number), "", "body").status)
			}
			time.Sleep(3 * time.Second)
			before := leaving.served()
			for number := range 100 {
				must.EqOp(t, http.StatusCreated, ey.send(ctx, fmt.Sprint("later", number), "", "body").status)
			}
			must.EqOp(t, before, leaving.served())
		})
	}
}
