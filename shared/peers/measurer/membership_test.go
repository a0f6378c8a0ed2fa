package measurer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/measurer"
	"coltsfootwick.example/shared/peers/messenger"
)

var (
	calm = carrier.Conditions{
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
	rough = carrier.Conditions{
		Loss:     0.2,
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
	foul = carrier.Conditions{
		Loss:        0.1,
		Duplication: 0.1,
		Reordering:  0.1,
		MinDelay:    time.Millisecond,
		MaxDelay:    50 * time.Millisecond,
	}
)

// seeds returns how many seeds to try; fewer under the race detector's -short.
func seeds(full uint64) uint64 {
	if testing.Short() {
		return full / 20
	}
	return full
}

// TestTrafficOfANodeDoesNotGrowWithMembers also bounds the time until a killed
// member is dropped.
func TestTrafficOfANodeDoesNotGrowWithMembers(t *testing.T) {
	sizes := []int{6, 12, 24, 48, 96}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, members := range sizes {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:    members,
			Seed:       1,
			Conditions: calm,
		})
		t.Logf("%d members: %+v", members, figures)
		must.Less(t, 230, figures.BytesPerSecond)
		must.Less(t, 4.1, figures.MessagesPerSecond)
		must.EqOp(t, 0, figures.FalseSuspicionsPerMinute)
		must.EqOp(t, 0, figures.NotDetected)
		must.Less(t, 9*time.Second, figures.LastDetection)
	}
}

func TestNoMemberIsDroppedUnderLossAndFreezes(t *testing.T) {
	suspicions := 0.0
	for seed := range seeds(200) {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:    6,
			Seed:       seed,
			Conditions: rough,
			HasPauses:  true,
		})
		must.EqOp(t, 0, figures.FalsePositives, must.Sprintf("seed %d", seed))
		must.EqOp(t, 0, figures.NotDetected, must.Sprintf("seed %d", seed))
		suspicions += figures.FalseSuspicionsPerMinute
	}
	t.Logf("%.1f suspicions a minute in the region", suspicions/float64(seeds(200)))
}

func TestOneWayCutBetweenZonesDropsNobody(t *testing.T) {
	for seed := range seeds(20) {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:            12,
			Seed:               seed,
			Conditions:         calm,
			HasOneWayPartition: true,
		})
		must.EqOp(t, 0, figures.FalseSuspicionsPerMinute, must.Sprintf("seed %d", seed))
		must.EqOp(t, 0, figures.FalsePositives, must.Sprintf("seed %d", seed))
	}
}

// TestDeafNodeHarmsNobody lets node 0 send but not receive.
func TestDeafNodeHarmsNobody(t *testing.T) {
	for seed := range seeds(50) {
		ft := measurer.NewRegion(9, seed, calm, gossiper.DefaultTuning())
		ft.Run(10 * time.Second)
		for _, zone := range []string{"a", "b", "c"} {
			ft.PartitionNode(zone, 0)
		}
		ft.Run(60 * time.Second)
		for number, nd := range ft.Nodes[1:] {
			must.EqOp(t, messenger.Dead, nd.Machine.State(ft.Member(0).Name), must.Sprintf("seed %d node %d", seed, number+1))
			for _, change := range nd.Changes {
				isOther := change.Update.Member.Name != ft.Member(0).Name
				must.False(t, isOther && change.Update.State != messenger.Alive, must.Sprintf("seed %d: %+v", seed, change))
			}
		}
	}
}

// agree checks that all running nodes believe just the others that run alive.
func agree(t *testing.T, ft *measurer.Region, isDown map[int]bool, seed uint64) {
	t.Helper()
	for number, nd := range ft.Nodes {
		for other := range ft.Nodes {
			if isDown[number] || other == number {
				continue
			}
			state := nd.Machine.State(ft.Member(other).Name)
			must.EqOp(t, !isDown[other], state == messenger.Alive,
				must.Sprintf("seed %d: node %d believes node %d to be in state %d", seed, number, other, state))
		}
	}
}

func TestCutOffZoneJoinsWithinFiveSecondsAfterHealing(t *testing.T) {
	for seed := range seeds(50) {
		ft := measurer.NewRegion(12, seed, calm, gossiper.DefaultTuning())
		ft.Run(10 * time.Second)
		for _, other := range []string{"a", "b"} {
			ft.PartitionZones("c", other)
			ft.PartitionZones(other, "c")
		}
		ft.Run(30 * time.Second)
		must.EqOp(t, messenger.Dead, ft.Nodes[0].Machine.State(ft.Member(2).Name))
		must.EqOp(t, messenger.Alive, ft.Nodes[2].Machine.State(ft.Member(5).Name))
		for _, other := range []string{"a", "b"} {
			ft.HealZones("c", other)
			ft.HealZones(other, "c")
		}
		ft.Run(5 * time.Second)
		agree(t, ft, nil, seed)
	}
}

func TestLeavingMemberIsDroppedWithinThreeSeconds(t *testing.T) {
	for seed := range seeds(50) {
		ft := measurer.NewRegion(24, seed, calm, gossiper.DefaultTuning())
		ft.Run(30 * time.Second)
		ft.Leave(7)
		ft.Run(3 * time.Second)
		for number, nd := range ft.Nodes {
			if number != 7 {
				must.EqOp(t, messenger.Left, nd.Machine.State(ft.Member(7).Name), must.Sprintf("seed %d node %d", seed, number))
			}
		}
	}
}

// TestMembersAgreeAfterFaults kills, starts, freezes and cuts at random under
// loss, doubling and reordering, then lets all heal.
func TestMembersAgreeAfterFaults(t *testing.T) {
	for seed := range seeds(200) {
		ft := measurer.NewRegion(9, seed, foul, gossiper.DefaultTuning())
		isDown := map[int]bool{}
		zones := []string{"a", "b", "c"}
		for step := range 15 {
			number := int(seed+uint64(step)*7) % len(ft.Nodes)
			switch (seed*31 + uint64(step)*17) % 5 {
			case 0:
				ft.Kill(number)
				isDown[number] = true
			case 1:
				ft.Kill(number)
				ft.Start(number)
				delete(isDown, number)
			case 2:
				ft.Pause(number, time.Duration(seed%7)*time.Second)
			case 3:
				ft.PartitionZones(zones[step%3], zones[(step+1)%3])
			case 4:
				ft.PartitionZones(zones[step%3], zones[(step+2)%3])
				ft.HealZones(zones[(step+1)%3], zones[step%3])
			}
			ft.Run(time.Duration(1+seed%5) * time.Second)
		}
		for _, from := range zones {
			for _, to := range zones {
				ft.HealZones(from, to)
			}
		}
		ft.Faults.SetConditions(calm)
		ft.Run(60 * time.Second)
		agree(t, ft, isDown, seed)
	}
}
