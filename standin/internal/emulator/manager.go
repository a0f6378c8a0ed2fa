package emulator

import (
	"fmt"
	"time"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// zones and managersPerZone define the managers.
	zones           = 3
	managersPerZone = 2
	// awarenessTime bounds the time until a manager knows of a new holder.
	awarenessTime = 60 * time.Millisecond
	// reconnectTime is the pause between attempts to connect.
	reconnectTime = 100 * time.Millisecond
)

// manager is a VM of the system, which keeps sessions with workers.
type manager struct {
	info assigner.Keeper
	// isUp is false from a crash until restartAt.
	isUp      bool
	restartAt time.Time
	// frozenUntil is the time until which the manager is suspended. What arrives
	// meanwhile is handled afterwards.
	frozenUntil time.Time
	// side is the side of a partition that the manager is on.
	side int
	conn *connection
	// connectAt is the time of the next attempt to connect.
	connectAt time.Time
	askedAt   time.Time
}

// connection joins a manager to a holder.
type connection struct {
	term    *term
	manager *manager
	keeper  *distributor.Keeper
	// isClosed is true once one end has closed the connection. isAbandoned is
	// true once the manager has, or has crashed: then it handles no message that
	// has arrived before.
	isClosed, isAbandoned bool
	// cutUntil is the time until which messages are held up.
	cutUntil time.Time
	// inbox holds the frames that the manager has not handled, in their order.
	inbox [][]byte
	// toKeeperAt and toSchedulerAt are the arrival times of the last message in
	// each direction; no message overtakes another one.
	toKeeperAt, toSchedulerAt time.Time
}

func (sm *Simulation) addManagers() {
	for number := range zones * managersPerZone {
		sm.managers = append(sm.managers, &manager{
			info: assigner.Keeper{
				ID:       assigner.KeeperID(fmt.Sprintf("k%d", number)),
				Zone:     zoneName(number),
				Capacity: 1 + float64(number%managersPerZone),
			},
			isUp: true,
		})
	}
}

// zoneName returns the zone of a manager or node with a number.
func zoneName(number int) string { return string(rune('a' + number%zones)) }

// isFrozen reports whether a manager is suspended.
func (sm *Simulation) isFrozen(mg *manager) bool { return sm.now.Before(mg.frozenUntil) }

// runManagers restarts managers, connects them to the holder and lets them ask for
// permission.
func (sm *Simulation) runManagers() {
	for _, mg := range sm.managers {
		if !mg.isUp && !sm.now.Before(mg.restartAt) {
			mg.isUp = true
		}
		if !mg.isUp || sm.isFrozen(mg) {
			continue
		}
		if mg.conn != nil && mg.conn.isClosed {
			mg.conn = nil
		}
		sm.connect(mg)
		if mg.conn != nil && sm.now.Sub(mg.askedAt) >= distributor.AskInterval {
			mg.askedAt = sm.now
			sm.sendToScheduler(mg.conn, mg.conn.keeper.Ask(sm.now))
		}
	}
}

// connect connects a manager to the latest holder that it knows and can reach.
func (sm *Simulation) connect(mg *manager) {
	holder := sm.knownHolder(mg)
	if holder == nil || mg.conn != nil && mg.conn.term == holder || sm.now.Before(mg.connectAt) {
		return
	}
	sm.closeConnection(mg.conn)
	mg.connectAt = sm.now.Add(reconnectTime)
	mg.askedAt = time.Time{}
	mg.conn = &connection{
		term:    holder,
		manager: mg,
		keeper:  distributor.NewKeeper(),
	}
	sm.applyEvents(holder, holder.distributor.Join(sm.now, mg.info))
	holder.conns[mg.info.ID] = mg.conn
}

// knownHolder returns the latest holder that a manager knows and can reach, or nil.
func (sm *Simulation) knownHolder(mg *manager) *term {
	var known *term
	for _, tm := range sm.terms {
		isKnown := sm.now.Sub(tm.electedAt) >= tm.awareness[mg.info.ID] && !tm.isOver
		if isKnown && sm.isSameSide(tm.side, mg.side) && (known == nil || tm.fence > known.fence) {
			known = tm
		}
	}
	return known
}

// isSameSide reports whether no partition separates two sides.
func (sm *Simulation) isSameSide(side, other int) bool {
	return side == other || !sm.now.Before(sm.partitionedUntil)
}

// closeConnection closes a connection. The holder notices it a little later.
func (sm *Simulation) closeConnection(cn *connection) {
	if cn == nil || cn.isClosed {
		return
	}
	cn.isClosed = true
	cn.isAbandoned = true
	sm.timers.add(sm.now.Add(messageDelay), func() { sm.removeConnection(cn) })
}

// removeConnection removes a connection at the holder.
func (sm *Simulation) removeConnection(cn *connection) {
	id := cn.manager.info.ID
	if cn.term.conns[id] != cn || cn.term.isOver {
		return
	}
	delete(cn.term.conns, id)
	sm.applyEvents(cn.term, cn.term.distributor.Leave(id))
}

// arrival returns when a message that is sent now arrives, and updates the time of
// the last arrival.
func (sm *Simulation) arrival(cn *connection, last *time.Time) time.Time {
	at := sm.now.Add(messageDelay)
	for _, earliest := range []time.Time{*last, cn.cutUntil.Add(messageDelay)} {
		if earliest.After(at) {
			at = earliest
		}
	}
	*last = at
	return at
}

// sendToKeepers sends a holder's messages.
func (sm *Simulation) sendToKeepers(tm *term) {
	outgoing := tm.distributor.Outgoing()
	for _, mg := range sm.managers {
		cn := tm.conns[mg.info.ID]
		if cn == nil || len(outgoing[mg.info.ID]) == 0 {
			continue
		}
		var frame []byte
		for _, msg := range outgoing[mg.info.ID] {
			frame = distributor.AppendToKeeper(frame, msg)
		}
		cn.inbox = append(cn.inbox, frame)
		sm.atManager(cn, sm.arrival(cn, &cn.toKeeperAt), func() { sm.receiveFrame(cn) })
	}
}

// atManager calls a function at the manager of a connection at a time, unless the
// connection is closed by then.
func (sm *Simulation) atManager(cn *connection, at time.Time, handle func()) {
	sm.timers.add(at, func() {
		if !cn.isClosed {
			sm.onceThawed(cn, handle)
		}
	})
}

// onceThawed calls a function when the manager of a connection is not frozen. A
// manager handles what has arrived while it was frozen, also if the holder has
// closed the connection since.
func (sm *Simulation) onceThawed(cn *connection, handle func()) {
	switch {
	case cn.isAbandoned:
	case sm.isFrozen(cn.manager):
		sm.timers.add(cn.manager.frozenUntil, func() { sm.onceThawed(cn, handle) })
	default:
		handle()
	}
}

// receiveFrame handles the next frame of a connection at its manager.
func (sm *Simulation) receiveFrame(cn *connection) {
	messages, err := distributor.DecodeToKeeper(cn.inbox[0])
	cn.inbox = cn.inbox[1:]
	for _, msg := range messages {
		var orders []distributor.TimedOrder
		var answers []distributor.ToScheduler
		orders, answers, err = cn.keeper.Receive(msg)
		if err != nil {
			break
		}
		for _, to := range orders {
			sm.carryOut(cn, to)
		}
		for _, answer := range answers {
			sm.sendToScheduler(cn, answer)
		}
		if fetch, ok := msg.(distributor.Fetch); ok {
			sm.atManager(cn, sm.now.Add(storeDelay), func() { sm.readPayload(cn, fetch.Job) })
		}
	}
	if err != nil {
		sm.recordViolation("PROTOCOL", "keeper %s cannot handle a message: %s", cn.manager.info.ID, err)
	}
}

// readPayload reads the payload of a job from the store, which has that of each
// live job.
func (sm *Simulation) readPayload(cn *connection, job modeller.JobID) {
	if sm.store.isDown {
		for _, answer := range cn.keeper.Failed(job) {
			sm.sendToScheduler(cn, answer)
		}
		return
	}
	for _, to := range cn.keeper.Fetched(job, string(job)) {
		sm.carryOut(cn, to)
	}
}

// answer sends the outcome of an order to the holder.
func (sm *Simulation) answer(cn *connection, ev allocator.Event) {
	if msg, ok := cn.keeper.Answer(ev); ok {
		sm.sendToScheduler(cn, msg)
	}
}

func (sm *Simulation) sendToScheduler(cn *connection, msg distributor.ToScheduler) {
	frame := distributor.AppendToScheduler(nil, msg)
	sm.timers.add(sm.arrival(cn, &cn.toSchedulerAt), func() {
		if cn.term.isOver || cn.term.conns[cn.manager.info.ID] != cn {
			return
		}
		messages, err := distributor.DecodeToScheduler(frame)
		for _, msg := range messages {
			var events []allocator.Event
			events, err = cn.term.distributor.Receive(sm.now, cn.manager.info.ID, msg, true)
			sm.applyEvents(cn.term, events)
		}
		if err != nil {
			sm.recordViolation("PROTOCOL", "the scheduler cannot handle a message of keeper %s: %s", cn.manager.info.ID, err)
		}
	})
}

// applyEvents applies events to a holder's allocator. A holder whose orders are
// refused because its fencing token is stale ends.
func (sm *Simulation) applyEvents(tm *term, events []allocator.Event) {
	for _, ev := range events {
		if tm.isOver {
			return
		}
		tm.hasChanges = true
		tm.al.Apply(sm.now, ev)
		tm.isOver = isFenced(ev)
	}
}

// isFenced reports whether an outcome shows a stale fencing token.
func isFenced(ev allocator.Event) bool {
	switch ev := ev.(type) {
	case allocator.StartResult:
		return ev.Outcome == allocator.Fenced
	case allocator.StopResult:
		return ev.Outcome == allocator.Fenced
	case allocator.PaceResult:
		return ev.Outcome == allocator.Fenced
	case allocator.PollFailed:
		return ev.Outcome == allocator.Fenced
	}
	return false
}
