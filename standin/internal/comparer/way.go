package comparer

import "time"

// way is a way to relay: relay is called once for each node that got the
// settings, the source first.
type way interface {
	relay(sm *simulation, node int)
}

// star sends everything from the source.
type star struct{}

func (star) relay(sm *simulation, node int) {
	if node != sourceNode {
		return
	}
	for peer := range nodes {
		if peer != sourceNode {
			sm.sendSettings(sourceNode, peer)
		}
	}
}

// tree relays along the zones' spanning tree of the greatest bandwidths, and
// along a tree of bounded degree within a zone. The first node of a zone is its
// relay.
type tree struct {
	children [nodes][]int
}

// treeDegree is the number of nodes that one serves within its zone.
const treeDegree = 4

func newTree(nk *network) *tree {
	te := &tree{}
	var joined [zones]bool
	joined[zoneOf(sourceNode)] = true
	for range zones - 1 {
		from, to := widest(nk, joined)
		joined[to] = true
		head := from * nodesPerZone
		te.children[head] = append(te.children[head], to*nodesPerZone)
	}
	for node := range nodes {
		first := zoneOf(node) * nodesPerZone
		for child := range treeDegree {
			index := (node-first)*treeDegree + child + 1
			if index < nodesPerZone {
				te.children[node] = append(te.children[node], first+index)
			}
		}
	}
	return te
}

// widest returns the link of the greatest bandwidth from a zone that has joined
// to one that has not.
func widest(nk *network, joined [zones]bool) (from, to int) {
	best := 0.0
	for left := range zones {
		for right := range zones {
			if joined[left] && !joined[right] && nk.bandwidths[left][right] > best {
				best = nk.bandwidths[left][right]
				from, to = left, right
			}
		}
	}
	return from, to
}

func (te *tree) relay(sm *simulation, node int) {
	for _, child := range te.children[node] {
		sm.sendSettings(node, child)
	}
}

// gossip offers the revision to random peers in some rounds: two of the zone and
// one of any.
type gossip struct{}

const (
	gossipRounds   = 3
	gossipInterval = 200 * time.Millisecond
)

func (gossip) relay(sm *simulation, node int) {
	for round := range gossipRounds {
		sm.schedule(sm.now+time.Duration(round)*gossipInterval, func() {
			first := zoneOf(node) * nodesPerZone
			sm.offer(node, first+sm.random.IntN(nodesPerZone))
			sm.offer(node, first+sm.random.IntN(nodesPerZone))
			sm.offer(node, sm.random.IntN(nodes))
		})
	}
}
