package emulator

import (
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// The restarts of WithRestartsUnderTheSameID.
const (
	maxRestarts = 4
	// maxRestartedNodes bounds the nodes that restart together.
	maxRestartedNodes = 6
	// maxDownTime bounds the time from a crash to the restart, maxUptime that from the
	// restart until the node is unreachable, and maxUnreachableTime how long it is.
	maxDownTime        = time.Second
	maxUptime          = 2500 * time.Millisecond
	maxUnreachableTime = 9 * time.Second
	// maxClockOffset bounds the reading of the clock of an incarnation at its start.
	maxClockOffset = 2 * time.Minute
	// longShare is the share of tasks that take longFactor times as long, if they are
	// started in the first half of a day. Later ones might not be done by its end.
	longShare  = 0.3
	longFactor = 6
	// longSettleTime replaces settleTime, since such a task takes up to 55 s on a slow
	// worker.
	longSettleTime = 60 * time.Second
)

// WithRestartsUnderTheSameID lets workers crash and be back under their IDs before
// they are missed, with clocks that begin anew at any reading, and cuts them off soon
// after. Some tasks take longer than a lease.
func WithRestartsUnderTheSameID() Option {
	return func(sm *Simulation) {
		sm.settleTime = longSettleTime
		sm.clockRandom = rand.New(rand.NewPCG(sm.seed, 6))
		sm.drawRestarts(rand.New(rand.NewPCG(sm.seed, 5)))
	}
}

// WithConnectionsThatOutliveWorkers lets connections lead on to the next incarnation of a
// worker that is back under its ID. It carries out the calls that the one before hasn't
// answered, and those that were sent while none ran.
func WithConnectionsThatOutliveWorkers() Option {
	return func(sm *Simulation) { sm.keepsConnections = true }
}

// WithLateOrdersThatOutliveWorkers delays orders that are carried out late first on the
// network, where they outlive a worker: the next incarnation carries them out as it
// receives them. What an incarnation has received and not carried out is lost when it
// ends, as the platform's protocol says.
func WithLateOrdersThatOutliveWorkers() Option {
	return func(sm *Simulation) { sm.networkRandom = rand.New(rand.NewPCG(sm.seed, 7)) }
}

// maxNetworkDelay is how late the next incarnation of a worker may carry out an order.
const maxNetworkDelay = 2 * time.Second

// sendLate schedules an order without an answer that is carried out late, after a delay on
// the network and, by the incarnation that it was sent to, at the worker.
func (sm *Simulation) sendLate(cn *connection, id modeller.WorkerID, lateness time.Duration, carryOut func(nd *node) allocator.Outcome) {
	incarnation := sm.nodes[id].incarnation
	lostAt := sm.now.Add(maxNetworkDelay)
	carriedOutAt := sm.now.Add(lateness)
	receive := func() {
		nd := sm.nodes[id]
		switch {
		case sm.now.After(lostAt) || !sm.canReach(cn.manager, nd) || nd.incarnation != incarnation && !sm.keepsConnections:
		case nd.incarnation != incarnation:
			carryOut(nd)
		default:
			sm.timers.add(carriedOutAt, func() {
				if nd.isUp && nd.incarnation == incarnation {
					carryOut(nd)
				}
			})
		}
	}
	sm.timers.add(sm.now.Add(time.Duration(sm.networkRandom.Int64N(int64(maxNetworkDelay)))), func() {
		sm.hold(cn, id, receive, func() {})
	})
}

// keepsCalls reports whether the next incarnation of a node carries out the calls of
// the one before.
func (sm *Simulation) keepsCalls(nd *node) bool { return sm.keepsConnections && nd.keepsID }

// hold calls deliver, or lets it wait for the next incarnation of a worker that is to
// carry out the calls of the one before. fail is called once the caller waits no longer.
func (sm *Simulation) hold(cn *connection, id modeller.WorkerID, deliver, fail func()) {
	nd := sm.nodes[id]
	if nd == nil || nd.isUp || !sm.keepsCalls(nd) || sm.now.Before(nd.unreachableUntil) || !sm.isSameSide(cn.manager.side, nd.side) {
		deliver()
		return
	}
	nd.held = append(nd.held, deliver)
	sm.timers.add(sm.now.Add(orderTimeout), fail)
}

// continuePoll lets the poll of an earlier incarnation extend the lease and acknowledge
// ends as long as it waits.
func (sm *Simulation) continuePoll(nd *node) {
	pol := nd.poll
	if pol == nil || pol.incarnation == nd.incarnation {
		return
	}
	sm.checkAcknowledged(nd, pol.order)
	if _, _, ok := nd.ex.Poll(sm.now, fenceOf(pol.conn.term, pol.order.Worker), pol.order.LeaseEnd, pol.order.AcknowledgedEnds); !ok {
		nd.poll = nil
		sm.failPoll(pol.conn, messageDelay, nd.info.ID, allocator.Fenced)
	}
}

// drawRestarts draws the restarts and the partitions that follow them.
func (sm *Simulation) drawRestarts(random *rand.Rand) {
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for range 1 + random.IntN(maxRestarts) {
		crashAt := sm.begin.Add(time.Second + upTo(submissionTime-time.Second))
		restartAt := crashAt.Add(upTo(maxDownTime))
		cutAt := restartAt.Add(upTo(maxUptime))
		healAt := cutAt.Add(upTo(maxUnreachableTime))
		count := 1 + random.IntN(maxRestartedNodes)
		var affected []*node
		sm.timers.add(crashAt, func() {
			affected = sm.pickNodes(count)
			for _, nd := range affected {
				sm.tracef("%s restarts under its ID", nd.info.ID)
				nd.keepsID = true
			}
			sm.crash(affected, restartAt)
		})
		sm.timers.add(cutAt, func() {
			for _, nd := range affected {
				sm.tracef("%s is cut off", nd.info.ID)
				nd.unreachableUntil = healAt
			}
		})
	}
}

// drawClockOffset draws the reading of a worker's clock at its start: that of the
// incarnation before may be lower or higher.
func (sm *Simulation) drawClockOffset() time.Duration {
	if sm.clockRandom == nil || sm.clockRandom.IntN(2) == 0 {
		return 0
	}
	return time.Duration(sm.clockRandom.Int64N(int64(maxClockOffset)))
}

// slowness returns the factor by which a task takes longer than estimated.
func (sm *Simulation) slowness(name modeller.TaskName) float64 {
	if sm.clockRandom == nil || sm.now.Sub(sm.begin) > submissionTime/2 || fraction(name) >= longShare {
		return 1
	}
	return longFactor
}
