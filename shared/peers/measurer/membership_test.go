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
	lossless = carrier.Conditions{
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
	lossy = carrier.Conditions{
		Loss:     0.2,
		MinDelay: time.Millisecond,
		MaxDelay: 5 * time.Millisecond,
	}
	degraded = carrier.Conditions{
		Loss:        0.1,
		Duplication: 0.1,
		Reordering:  0.1,
		MinDelay:    time.Millisecond,
		MaxDelay:    50 * time.Millisecond,
	}
)

// seedCount returns the number of seeds to test; -short, as used with the race
// detector, reduces it.
func seedCount(full uint64) uint64 {
	if testing.Short() {
		return full / 20
	}
	return full
}

// TestNodeTrafficDoesNotGrowWithMembers also bounds the time until a killed
// member is declared dead.
func TestNodeTrafficDoesNotGrowWithMembers(t *testing.T) {
	sizes := []int{6, 12, 24, 48, 96}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, members := range sizes {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:    members,
			Seed:       1,
			Conditions: lossless,
		})
		t.Logf("%d members: %+v", members, figures)
		must.Less(t, 230, figures.BytesPerSecond)
		must.Less(t, 4.1, figures.MessagesPerSecond)
		must.EqOp(t, 0, figures.FalseSuspicionsPerMinute)
		must.EqOp(t, 0, figures.NotDetected)
		must.Less(t, 9*time.Second, figures.LastDetection)
	}
}

func TestNoFalsePositivesUnderLossAndPauses(t *testing.T) {
	suspicions := 0.0
	for seed := range seedCount(200) {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:    6,
			Seed:       seed,
			Conditions: lossy,
			HasPauses:  true,
		})
		must.EqOp(t, 0, figures.FalsePositives, must.Sprintf("seed %d", seed))
		must.EqOp(t, 0, figures.NotDetected, must.Sprintf("seed %d", seed))
		suspicions += figures.FalseSuspicionsPerMinute
	}
	t.Logf("%.1f suspicions a minute in the region", suspicions/float64(seedCount(200)))
}

func TestOneWayPartitionCausesNoFalsePositives(t *testing.T) {
	for seed := range seedCount(20) {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:            12,
			Seed:               seed,
			Conditions:         lossless,
			HasOneWayPartition: true,
		})
		must.EqOp(t, 0, figures.FalseSuspicionsPerMinute, must.Sprintf("seed %d", seed))
		must.EqOp(t, 0, figures.FalsePositives, must.Sprintf("seed %d", seed))
	}
}

// TestNodeThatCannotReceiveAffectsNoOtherNode drops all messages to node 0, which
// can still send.
func TestNodeThatCannotReceiveAffectsNoOtherNode(t *testing.T) {
	for seed := range seedCount(50) {
		rn := measurer.NewRegion(9, seed, lossless, gossiper.DefaultTuning())
		rn.Run(10 * time.Second)
		for _, zone := range []string{"a", "b", "c"} {
			rn.PartitionNode(zone, 0)
		}
		rn.Run(60 * time.Second)
		for number, nd := range rn.Nodes[1:] {
			must.EqOp(t, messenger.Dead, nd.Machine.State(rn.Member(0).Name), must.Sprintf("seed %d node %d", seed, number+1))
			for _, change := range nd.Changes {
				isOther := change.Update.Member.Name != rn.Member(0).Name
				must.False(t, isOther && change.Update.State != messenger.Alive, must.Sprintf("seed %d: %+v", seed, change))
			}
		}
	}
}

// checkAgreement checks that each running node has exactly the other running nodes
// in state alive.
func checkAgreement(t *testing.T, rn *measurer.Region, isDown map[int]bool, seed uint64) {
	t.Helper()
	for number, nd := range rn.Nodes {
		for other := range rn.Nodes {
			if isDown[number] || other == number {
				continue
			}
			state := nd.Machine.State(rn.Member(other).Name)
			must.EqOp(t, !isDown[other], state == messenger.Alive,
				must.Sprintf("seed %d: node %d has node %d in state %d", seed, number, other, state))
		}
	}
}

func TestPartitionedZoneRejoinsWithinFiveSeconds(t *testing.T) {
	for seed := range seedCount(50) {
		rn := measurer.NewRegion(12, seed, lossless, gossiper.DefaultTuning())
		rn.Run(10 * time.Second)
		for _, other := range []string{"a", "b"} {
			rn.PartitionZones("c", other)
			rn.PartitionZones(other, "c")
		}
		rn.Run(30 * time.Second)
		must.EqOp(t, messenger.Dead, rn.Nodes[0].Machine.State(rn.Member(2).Name))
		must.EqOp(t, messenger.Alive, rn.Nodes[2].Machine.State(rn.Member(5).Name))
		for _, other := range []string{"a", "b"} {
			rn.HealZones("c", other)
			rn.HealZones(other, "c")
		}
		rn.Run(5 * time.Second)
		checkAgreement(t, rn, nil, seed)
	}
}

func TestLeavingMemberIsRemovedWithinThreeSeconds(t *testing.T) {
	for seed := range seedCount(50) {
		rn := measurer.NewRegion(24, seed, lossless, gossiper.DefaultTuning())
		rn.Run(30 * time.Second)
		rn.Leave(7)
		rn.Run(3 * time.Second)
		for number, nd := range rn.Nodes {
			if number != 7 {
				must.EqOp(t, messenger.Left, nd.Machine.State(rn.Member(7).Name), must.Sprintf("seed %d node %d", seed, number))
			}
		}
	}
}

// TestMembersAgreeAfterFaults injects random kills, restarts, pauses and
// partitions under loss, duplication and reordering, then heals all faults and
// requires that the members agree.
func TestMembersAgreeAfterFaults(t *testing.T) {
	for seed := range seedCount(200) {
		rn := measurer.NewRegion(9, seed, degraded, gossiper.DefaultTuning())
		isDown := map[int]bool{}
		zones := []string{"a", "b", "c"}
		for step := range 15 {
			number := int(seed+uint64(step)*7) % len(rn.Nodes)
			switch (seed*31 + uint64(step)*17) % 5 {
			case 0:
				rn.Kill(number)
				isDown[number] = true
			case 1:
				rn.Kill(number)
				rn.Start(number)
				delete(isDown, number)
			case 2:
				rn.Pause(number, time.Duration(seed%7)*time.Second)
			case 3:
				rn.PartitionZones(zones[step%3], zones[(step+1)%3])
			case 4:
				rn.PartitionZones(zones[step%3], zones[(step+2)%3])
				rn.HealZones(zones[(step+1)%3], zones[step%3])
			}
			rn.Run(time.Duration(1+seed%5) * time.Second)
		}
		for _, from := range zones {
			for _, to := range zones {
				rn.HealZones(from, to)
			}
		}
		rn.Faults.SetConditions(lossless)
		rn.Run(60 * time.Second)
		checkAgreement(t, rn, isDown, seed)
	}
}
