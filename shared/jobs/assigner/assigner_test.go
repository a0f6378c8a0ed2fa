package assigner

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func keeperName(zone string, number int) KeeperID {
	return KeeperID(fmt.Sprintf("edge-%s-%d", zone, number))
}

func workerName(number int) modeller.WorkerID {
	return modeller.WorkerID(fmt.Sprintf("i-%08x", number*2654435761%(1<<32)))
}

// newFleet returns an Assigner with 6 zones of 16 keepers, of which 3 have four
// times the capacity of the others, and 540 workers.
func newFleet() (as *Assigner, workers []modeller.WorkerID) {
	as = New()
	for zone := range 6 {
		for number := range 16 {
			capacity := 1.0
			if number < 3 {
				capacity = 4
			}
			as.AddKeeper(Keeper{ID: keeperName(string(rune('a'+zone)), number), Zone: string(rune('a' + zone)), Capacity: capacity})
		}
	}
	for number := range 540 {
		workers = append(workers, workerName(number))
		as.AddWorker(workerName(number), string(rune('a'+number%6)))
	}
	return as, workers
}

func assignments(as *Assigner, workers []modeller.WorkerID) map[modeller.WorkerID]KeeperID {
	assigned := map[modeller.WorkerID]KeeperID{}
	for _, id := range workers {
		assigned[id], _ = as.KeeperOf(id)
	}
	return assigned
}

func countMoved(before, after map[modeller.WorkerID]KeeperID) int {
	moved := 0
	for id, keeper := range before {
		if after[id] != keeper {
			moved++
		}
	}
	return moved
}

func TestWorkersAreKeptInTheirZoneByCapacity(t *testing.T) {
	as, workers := newFleet()
	loads := map[KeeperID]int{}
	for _, id := range workers {
		keeper, ok := as.KeeperOf(id)
		must.True(t, ok)
		must.Eq(t, as.workers[id].zone, as.keepers[keeper].Zone)
		loads[keeper]++
	}
	// A zone has 90 workers and 25 units of capacity.
	for id, ks := range as.keepers {
		share := 90.0 / 25 * ks.Capacity
		must.LessEq(t, int(maxOverload*share)+1, loads[id], must.Sprint(id))
	}
}

func TestKeeperThatLeavesAndReturnsMovesItsShareOnly(t *testing.T) {
	as, workers := newFleet()
	before := assignments(as, workers)
	lost := keeperName("c", 1)
	share := 0
	for _, keeper := range before {
		if keeper == lost {
			share++
		}
	}
	as.RemoveKeeper(lost)
	without := assignments(as, workers)
	must.Eq(t, share, countMoved(before, without), must.Sprint("workers moved by a loss"))
	as.AddKeeper(Keeper{ID: lost, Zone: "c", Capacity: 4})
	must.LessEq(t, 2*share, countMoved(without, assignments(as, workers)), must.Sprint("workers moved by the return"))
}

func TestOtherZonesKeepTheWorkersOfAZoneWithoutKeepers(t *testing.T) {
	as, workers := newFleet()
	for number := range 16 {
		as.RemoveKeeper(keeperName("a", number))
	}
	for _, id := range workers {
		keeper, ok := as.KeeperOf(id)
		must.True(t, ok)
		must.NotEq(t, "a", as.keepers[keeper].Zone)
	}
	for number := range 8 {
		as.AddKeeper(Keeper{ID: keeperName("a", number), Zone: "a", Capacity: 4})
	}
	for _, id := range workers {
		if as.workers[id].zone == "a" {
			keeper, _ := as.KeeperOf(id)
			must.Eq(t, "a", as.keepers[keeper].Zone, must.Sprint("the zone has keepers again"))
		}
	}
}

func TestZoneWithTooFewKeepersIsHelpedByOthers(t *testing.T) {
	as, workers := newFleet()
	for number := range 15 {
		as.RemoveKeeper(keeperName("a", number))
	}
	loads := map[KeeperID]int{}
	for _, id := range workers {
		keeper, _ := as.KeeperOf(id)
		loads[keeper]++
	}
	must.LessEq(t, 10, loads[keeperName("a", 15)], must.Sprint("workers of the zone's only keeper, which is a small one"))
}

func TestOneKeeperIsEnough(t *testing.T) {
	as := New()
	as.AddWorker("w", "a")
	_, ok := as.KeeperOf("w")
	must.False(t, ok)
	as.AddKeeper(Keeper{ID: "k", Zone: "b", Capacity: 1})
	keeper, ok := as.KeeperOf("w")
	must.True(t, ok)
	must.Eq(t, "k", keeper)
	as.Avoid("w")
	keeper, _ = as.KeeperOf("w")
	must.Eq(t, "k", keeper, must.Sprint("there is no other"))
	as.RemoveWorker("w")
	_, ok = as.KeeperOf("w")
	must.False(t, ok)
}

func TestUnreachedWorkerMovesToAnotherKeeper(t *testing.T) {
	as, workers := newFleet()
	first, _ := as.KeeperOf(workers[0])
	as.Avoid(workers[0])
	second, _ := as.KeeperOf(workers[0])
	must.NotEq(t, first, second)
	as.Avoid(workers[0])
	third, _ := as.KeeperOf(workers[0])
	must.NotEq(t, second, third)
}
