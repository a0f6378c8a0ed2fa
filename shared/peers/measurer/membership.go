package measurer

import (
	"time"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/gossiper"
	"coltsfootwick.example/shared/peers/messenger"
)

const (
	settleTime  = 45 * time.Second
	observeTime = 60 * time.Second
	dropTime    = 30 * time.Second
	freezeTime  = 500 * time.Millisecond
	freezeEvery = 2 * time.Second
	minuteRatio = float64(time.Minute) / float64(observeTime)
)

// Scenario is what a region goes through while it is measured.
type Scenario struct {
	// Members is the number of nodes, at least 3.
	Members int
	// Seed makes the figures repeat.
	Seed uint64
	// Conditions is what the network does.
	Conditions carrier.Conditions
	// Freezes pauses a random node for 500 ms every 2 s.
	Freezes bool
	// OneWayCut loses all messages from zone a to zone b.
	OneWayCut bool
}

// Membership are the figures of a scenario.
type Membership struct {
	// BytesPerSecond is what a node sends, on average, without the headers of
	// QUIC and UDP.
	BytesPerSecond float64
	// MessagesPerSecond is how many messages a node sends, on average.
	MessagesPerSecond float64
	// SuspicionsPerMinute counts members that any node suspected though they
	// lived, for the whole region.
	SuspicionsPerMinute float64
	// FalseDrops counts times that a node dropped a member that lived.
	FalseDrops int
	// FirstDrop and LastDetection are after what time the first and the last node
	// dropped a node that was killed.
	FirstDrop, LastDetection time.Duration
	// NotDropped counts the nodes that hadn't dropped it after half a minute.
	NotDropped int
}

// MeasureMembership lets a region settle, observes it for a minute, kills its
// last node and observes until all others have dropped it.
func MeasureMembership(so Scenario) Membership {
	ft := NewFleet(so.Members, so.Seed, so.Conditions, gossiper.DefaultTuning())
	ft.Run(settleTime)
	if so.OneWayCut {
		ft.CutZones("a", "b")
	}
	before := ft.traffic()
	from := ft.now
	ft.observe(so.Freezes)
	after := ft.traffic()
	perNode := float64(so.Members) * observeTime.Seconds()
	ms := Membership{
		BytesPerSecond:    float64(after.Bytes-before.Bytes) / perNode,
		MessagesPerSecond: float64(after.Messages-before.Messages) / perNode,
	}
	suspicions, drops := ft.falseWord(from)
	ms.SuspicionsPerMinute = float64(suspicions) * minuteRatio
	ms.FalseDrops = drops
	ft.measureDrop(&ms)
	return ms
}

func (ft *Fleet) traffic() carrier.Traffic {
	var total carrier.Traffic
	for _, nd := range ft.Nodes {
		total.Messages += nd.Sent.Messages
		total.Bytes += nd.Sent.Bytes
	}
	return total
}

func (ft *Fleet) observe(hasFreezes bool) {
	for range observeTime / freezeEvery {
		if hasFreezes {
			ft.Freeze(ft.random.IntN(len(ft.Nodes)), freezeTime)
		}
		ft.Run(freezeEvery)
	}
}

// falseWord counts the distinct suspicions of living members since a time, and
// the times that any node dropped one.
func (ft *Fleet) falseWord(from time.Time) (suspicions, drops int) {
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

// measureDrop kills the last node and finds out when the others drop it.
func (ft *Fleet) measureDrop(ms *Membership) {
	victim := len(ft.Nodes) - 1
	name := ft.Member(victim).Name
	killed := ft.now
	ft.Kill(victim)
	ft.Run(dropTime)
	for _, nd := range ft.Nodes[:victim] {
		if nd.Machine.State(name) != messenger.Dead {
			ms.NotDropped++
			continue
		}
		taken := nd.droppedAt(name).Sub(killed)
		ms.LastDetection = max(ms.LastDetection, taken)
		if ms.FirstDrop == 0 || taken < ms.FirstDrop {
			ms.FirstDrop = taken
		}
	}
}

// droppedAt returns when the node last took a member for dead.
func (nd *Node) droppedAt(name string) time.Time {
	var at time.Time
	for _, change := range nd.Changes {
		if change.Update.Member.Name == name && change.Update.State == messenger.Dead {
			at = change.Time
		}
	}
	return at
}
