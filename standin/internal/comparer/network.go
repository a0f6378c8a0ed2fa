package comparer

import (
	"math/rand/v2"
	"time"
)

// The fleet of the trial: the letter's regions and zones, with seven entry VMs
// for each 50 workers as today.
const (
	zonesOfFirstRegion = 4
	zones              = 7
	nodesPerZone       = 16
	nodes              = zones * nodesPerZone
)

// The delays one way.
const (
	delayInZone  = 250 * time.Microsecond
	delayZones   = 1400 * time.Microsecond
	delayRegions = 40 * time.Millisecond
)

// The bandwidths in bytes a second.
const (
	bandwidthInZone  = 12.5e6
	leastZones       = 2e6
	greatestZones    = 10e6
	leastRegions     = 0.25e6
	greatestRegions  = 1e6
	deadShare        = 0.05
	sourceNode       = 0
	bytesOfOneDigest = 64
)

// network is which nodes live, which zones reach each other, and how fast.
type network struct {
	bandwidths [zones][zones]float64
	cut        [zones][zones]bool
	dead       [nodes]bool
}

func zoneOf(node int) int { return node / nodesPerZone }

func sameRegion(left, right int) bool {
	return (left < zonesOfFirstRegion) == (right < zonesOfFirstRegion)
}

// newNetwork returns a sound network with random bandwidths.
func newNetwork(random *rand.Rand) *network {
	nk := &network{}
	for left := range zones {
		nk.bandwidths[left][left] = bandwidthInZone
		for right := range left {
			least, greatest := leastRegions, greatestRegions
			if sameRegion(left, right) {
				least, greatest = leastZones, greatestZones
			}
			width := least + random.Float64()*(greatest-least)
			nk.bandwidths[left][right] = width
			nk.bandwidths[right][left] = width
		}
	}
	return nk
}

// cutSource cuts the source's zone from one other.
func (nk *network) cutSource(random *rand.Rand) {
	other := 1 + random.IntN(zones-1)
	nk.cut[zoneOf(sourceNode)][other] = true
	nk.cut[other][zoneOf(sourceNode)] = true
}

// kill ends some nodes other than the source.
func (nk *network) kill(random *rand.Rand) {
	for node := 1; node < nodes; node++ {
		nk.dead[node] = random.Float64() < deadShare
	}
}

func (nk *network) delay(from, to int) time.Duration {
	switch left, right := zoneOf(from), zoneOf(to); {
	case left == right:
		return delayInZone
	case sameRegion(left, right):
		return delayZones
	default:
		return delayRegions
	}
}

// passes reports whether a message gets through.
func (nk *network) passes(from, to int) bool {
	return !nk.dead[from] && !nk.dead[to] && !nk.cut[zoneOf(from)][zoneOf(to)]
}
