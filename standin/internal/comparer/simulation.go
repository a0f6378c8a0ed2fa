package comparer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// deadline is when a change has to be in force everywhere.
	deadline = 9 * time.Second
	// heartbeat is how often a node tells one peer its revision.
	heartbeat = time.Second
	// askAgain is when a node that asked for the settings asks again.
	askAgain = time.Second
)

// event is what happens at a time.
type event struct {
	at     time.Duration
	serial int
	happen func()
}

// events is a heap by time.
type events []event

func (es events) Len() int { return len(es) }

func (es events) Less(left, right int) bool {
	if es[left].at != es[right].at {
		return es[left].at < es[right].at
	}
	return es[left].serial < es[right].serial
}

func (es events) Swap(left, right int) { es[left], es[right] = es[right], es[left] }

// Push implements heap.Interface.
func (es *events) Push(value any) { *es = append(*es, value.(event)) }

// Pop implements heap.Interface.
func (es *events) Pop() any {
	last := (*es)[len(*es)-1]
	*es = (*es)[:len(*es)-1]
	return last
}

// simulation spreads one revision over a network in virtual time. A node sends
// its messages one after the other.
type simulation struct {
	network *network
	random  *rand.Rand
	way     way
	size    int

	now    time.Duration
	serial int
	queue  events
	// has tells who has the revision, and arrived since when.
	has     [nodes]bool
	arrived [nodes]time.Duration
	// free is when a node has sent what it began to send.
	free [nodes]time.Duration
	// asked is when a node last asked for the revision.
	asked [nodes]time.Duration
	// sent are the bytes of each node, regional those between regions.
	sent     [nodes]int
	regional int
}

// run spreads the revision from the source until the deadline.
func (sm *simulation) run(repairs bool) {
	if repairs {
		for node := range nodes {
			sm.schedule(time.Duration(sm.random.Int64N(int64(heartbeat))), func() { sm.beat(node) })
		}
	}
	sm.receive(sourceNode)
	for sm.queue.Len() > 0 {
		next := heap.Pop(&sm.queue).(event)
		if next.at > deadline {
			return
		}
		sm.now = next.at
		next.happen()
	}
}

func (sm *simulation) schedule(at time.Duration, happen func()) {
	sm.serial++
	heap.Push(&sm.queue, event{
		at:     at,
		serial: sm.serial,
		happen: happen,
	})
}

// send sends a message, which arrives unless the network is cut.
func (sm *simulation) send(from, to, bytes int, arrive func()) {
	if sm.network.dead[from] {
		return
	}
	sm.sent[from] += bytes
	if !sameRegion(zoneOf(from), zoneOf(to)) {
		sm.regional += bytes
	}
	width := sm.network.bandwidths[zoneOf(from)][zoneOf(to)]
	begin := max(sm.now, sm.free[from])
	sm.free[from] = begin + time.Duration(float64(bytes)/width*float64(time.Second))
	if sm.network.passes(from, to) {
		sm.schedule(sm.free[from]+sm.network.delay(from, to), arrive)
	}
}

// sendSettings sends the settings themselves.
func (sm *simulation) sendSettings(from, to int) {
	sm.send(from, to, sm.size, func() { sm.receive(to) })
}

// receive takes the settings up and relays them.
func (sm *simulation) receive(node int) {
	if sm.has[node] {
		return
	}
	sm.has[node] = true
	sm.arrived[node] = sm.now
	sm.way.relay(sm, node)
}

// offer tells a peer the revision; the peer asks for the settings if it lacks
// them.
func (sm *simulation) offer(from, to int) {
	sm.send(from, to, bytesOfOneDigest, func() { sm.ask(to, from) })
}

func (sm *simulation) ask(node, holder int) {
	if sm.has[node] || sm.asked[node] > 0 && sm.now-sm.asked[node] < askAgain {
		return
	}
	sm.asked[node] = sm.now
	sm.send(node, holder, bytesOfOneDigest, func() { sm.sendSettings(holder, node) })
}

// beat compares revisions with a random peer. Heartbeats go on at all times for
// other reasons, so their own bytes don't count.
func (sm *simulation) beat(node int) {
	peer := sm.random.IntN(nodes)
	if sm.network.passes(node, peer) {
		switch {
		case sm.has[node] && !sm.has[peer]:
			sm.ask(peer, node)
		case sm.has[peer] && !sm.has[node]:
			sm.ask(node, peer)
		}
	}
	sm.schedule(sm.now+heartbeat, func() { sm.beat(node) })
}
