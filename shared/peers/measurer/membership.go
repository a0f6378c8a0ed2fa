package measurer

import (
	"time"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
)

const (
	warmUpTime      = 45 * time.Second
	observationTime = 60 * time.Second
	detectionTime   = 30 * time.Second
	pauseDuration   = 500 * time.Millisecond
	pauseInterval   = 2 * time.Second
	perMinute       = float64(time.Minute) / float64(observationTime)
)

// Scenario is what a region goes through while it is measured.
type Scenario struct {
	// Members is the number of nodes, at least 3.
	Members int
	// Seed makes the figures repeat.
	Seed uint64
	// Conditions is what the network does.
	Conditions carrier.Conditions
	// HasPauses pauses a random node for 500 ms every 2 s.
	HasPauses bool
	// HasOneWayPartition loses all messages from zone a to zone b.
	HasOneWayPartition bool
}

// Membership are the figures of a scenario.
type Membership struct {
	// BytesPerSecond is what a node sends, on average, without the headers of
	// QUIC and UDP.
	BytesPerSecond float64
	// MessagesPerSecond is how many messages a node sends, on average.
	MessagesPerSecond float64
	// FalseSuspicionsPerMinute counts members that any node suspected though they
	// lived, for the whole region.
	FalseSuspicionsPerMinute float64
	// FalsePositives counts times that a node dropped a member that lived.
	FalsePositives int
	// FirstDetection and LastDetection are after what time the first and the last node
	// dropped a node that was killed.
	FirstDetection, LastDetection time.Duration
	// NotDetected counts the nodes that hadn't dropped it after half a minute.
	NotDetected int
}

// MeasureMembership lets a region settle, observes it for a minute, kills its
// last node and observes until all others have dropped it.
func MeasureMembership(so Scenario) Membership {
	ft := NewRegion(so.Members, so.Seed, so.Conditions, gossiper.DefaultTuning())
	ft.Run(warmUpTime)
	if so.HasOneWayPartition {
		ft.PartitionZones("a", "b")
	}
	before := ft.traffic()
	from := ft.now
	ft.observe(so.HasPauses)
	after := ft.traffic()
	perNode := float64(so.Members) * observationTime.Seconds()
	ms := Membership{
		BytesPerSecond:    float64(after.Bytes-before.Bytes) / perNode,
		MessagesPerSecond: float64(after.Messages-before.Messages) / perNode,
	}
	suspicions, drops := ft.countFalsePositives(from)
	ms.FalseSuspicionsPerMinute = float64(suspicions) * perMinute
	ms.FalsePositives = drops
	ft.measureDetection(&ms)
	return ms
}

func (ft *Region) traffic() carrier.Traffic {
	var total carrier.Traffic
	for _, nd := range ft.Nodes {
		total.Messages += nd.Sent.Messages
		total.Bytes += nd.Sent.Bytes
	}
	return total
}

func (ft *Region) observe(hasFreezes bool) {
	for range observationTime / pauseInterval {
		if hasFreezes {
			ft.Pause(ft.random.IntN(len(ft.Nodes)), pauseDuration)
		}
		ft.Run(pauseInterval)
	}
}

// countFalsePositives counts the distinct suspicions of living members since a time, and
// the times that any node dropped one.
func (ft *Region) countFalsePositives(from time.Time) (suspicions, drops int) {
	type suspicion struct {
		name        string
		incarnation uint64
	}
	suspected := map[suspicion]bool{}
	for _, nd := range ft.Nodes {
		for _, change := range nd.Changes {
			if change.Time.Before(from) {
				continue
			}
			switch change.Update.State {
			case messenger.Suspect:
				suspected[suspicion{
					name:        change.Update.Member.Name,
					incarnation: change.Update.Member.Incarnation,
				}] = true
			case messenger.Dead:
				drops++
			}
		}
	}
	return len(suspected), drops
}

// measureDetection kills the last node and finds out when the others drop it.
func (ft *Region) measureDetection(ms *Membership) {
	victim := len(ft.Nodes) - 1
	name := ft.Member(victim).Name
	killed := ft.now
	ft.Kill(victim)
	ft.Run(detectionTime)
	for _, nd := range ft.Nodes[:victim] {
		if nd.Machine.State(name) != messenger.Dead {
			ms.NotDetected++
			continue
		}
		taken := nd.declaredDeadAt(name).Sub(killed)
		ms.LastDetection = max(ms.LastDetection, taken)
		if ms.FirstDetection == 0 || taken < ms.FirstDetection {
			ms.FirstDetection = taken
		}
	}
}

// declaredDeadAt returns when the node last took a member for dead.
func (nd *Node) declaredDeadAt(name string) time.Time {
	var at time.Time
	for _, change := range nd.Changes {
		if change.Update.Member.Name == name && change.Update.State == messenger.Dead {
			at = change.Time
		}
	}
	return at
}
