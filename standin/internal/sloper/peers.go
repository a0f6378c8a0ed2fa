package sloper

import (
	"context"
	"time"

	"coltsfootwick.example/shared/peers/carrier"
	"coltsfootwick.example/shared/peers/measurer"
)

// peerDelays are the least and the greatest delay of a message one way.
var peerDelays = carrier.Conditions{
	MinDelay: time.Millisecond,
	MaxDelay: 5 * time.Millisecond,
}

// peerSizes double four times.
var peerSizes = []int{8, 16, 32, 64, 128}

// measurePeers measures the messages of the membership as nodes grow, in virtual
// time: at rest, and until the last node has dropped one that was killed.
func measurePeers(context.Context) ([]*series, error) {
	var (
		messages = &series{name: "peerMessages", unit: "messages/s", per: "node"}
		traffic  = &series{name: "peerTraffic", unit: "B/s", per: "node"}
		dropped  = &series{name: "peerDropTime", unit: "ms", per: "node"}
	)
	for _, size := range peerSizes {
		figures := measurer.MeasureMembership(measurer.Scenario{
			Members:    size,
			Seed:       1,
			Conditions: peerDelays,
		})
		at := float64(size)
		messages.add(at, figures.MessagesPerSecond)
		traffic.add(at, figures.BytesPerSecond)
		dropped.add(at, float64(figures.LastDetection.Milliseconds()))
	}
	return []*series{messages, traffic, dropped}, nil
}
