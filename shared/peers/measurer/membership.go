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

// Scenario configures a measurement.
type Scenario struct {
	// Members is the number of nodes, at least 3.
	Members int
	// Seed is the seed of all random numbers.
	Seed uint64
	// Conditions are the faults and delays of the network.
	Conditions carrier.Conditions
	// HasPauses pauses a random node for 500 ms every 2 s.
	HasPauses bool
	// HasOneWayPartition drops all messages from zone a to zone b.
	HasOneWayPartition bool
}

// Membership is the result of a measurement.
type Membership struct {
	// BytesPerSecond is the average number of bytes that a node sends, without
	// the headers of QUIC and UDP.
	BytesPerSecond float64
	// MessagesPerSecond is the average number of messages that a node sends.
	MessagesPerSecond float64
	// FalseSuspicionsPerMinute is the number of distinct suspicions of
	// running members, in the whole region.
	FalseSuspicionsPerMinute float64
	// FalsePositives is how often a node declared a running member dead.
	FalsePositives int
	// FirstDetection and LastDetection are the times until the first and the last
	// node declared a killed node dead.
	FirstDetection, LastDetection time.Duration
	// NotDetected is the number of nodes that had not declared it dead after
	// detectionTime.
	NotDetected int
}

// MeasureMembership starts a region, measures it for observationTime after the
// warm-up, kills the last node and measures when the others declare it dead.
func MeasureMembership(so Scenario) Membership {
	rn := NewRegion(so.Members, so.Seed, so.Conditions, gossiper.DefaultTuning())
	rn.Run(warmUpTime)
	if so.HasOneWayPartition {
		rn.PartitionZones("a", "b")
	}
	before := rn.traffic()
	from := rn.now
	rn.observe(so.HasPauses)
	after := rn.traffic()
	perNode := float64(so.Members) * observationTime.Seconds()
	ms := Membership{
		BytesPerSecond:    float64(after.Bytes-before.Bytes) / perNode,
		MessagesPerSecond: float64(after.Messages-before.Messages) / perNode,
	}
	suspicions, falsePositives := rn.countFalsePositives(from)
	ms.FalseSuspicionsPerMinute = float64(suspicions) * perMinute
	ms.FalsePositives = falsePositives
	rn.measureDetection(&ms)
	return ms
}

func (rn *Region) traffic() carrier.Traffic {
	var total carrier.Traffic
	for _, nd := range rn.Nodes {
		total.Messages += nd.Sent.Messages
		total.Bytes += nd.Sent.Bytes
	}
	return total
}

func (rn *Region) observe(hasPauses bool) {
	for range observationTime / pauseInterval {
		if hasPauses {
			rn.Pause(rn.random.IntN(len(rn.Nodes)), pauseDuration)
		}
		rn.Run(pauseInterval)
	}
}

// countFalsePositives counts the distinct suspicions of running members since a
// time, and how often a node declared one dead.
func (rn *Region) countFalsePositives(from time.Time) (suspicions, falsePositives int) {
	type suspicion struct {
		name        string
		incarnation uint64
	}
	suspected := map[suspicion]bool{}
	for _, nd := range rn.Nodes {
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
				falsePositives++
			}
		}
	}
	return len(suspected), falsePositives
}

// measureDetection kills the last node and measures when the others declare it
// dead.
func (rn *Region) measureDetection(ms *Membership) {
	victim := len(rn.Nodes) - 1
	name := rn.Member(victim).Name
	killed := rn.now
	rn.Kill(victim)
	rn.Run(detectionTime)
	for _, nd := range rn.Nodes[:victim] {
		if nd.Machine.State(name) != messenger.Dead {
			ms.NotDetected++
			continue
		}
		elapsed := nd.declaredDeadAt(name).Sub(killed)
		ms.LastDetection = max(ms.LastDetection, elapsed)
		if ms.FirstDetection == 0 || elapsed < ms.FirstDetection {
			ms.FirstDetection = elapsed
		}
	}
}

// declaredDeadAt returns when the node last declared a member dead.
func (nd *Node) declaredDeadAt(name string) time.Time {
	var at time.Time
	for _, change := range nd.Changes {
		if change.Update.Member.Name == name && change.Update.State == messenger.Dead {
			at = change.Time
		}
	}
	return at
}
