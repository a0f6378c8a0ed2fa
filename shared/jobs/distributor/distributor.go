// Package distributor carries a scheduler's orders to the workers through the
// managers that keep the sessions with them. It has both ends of the connection
// between the scheduler and a keeper, and the codec of the messages. It performs
// no I/O and reads no clock.
//
// The scheduler alone decides: it paces the polls, grants the leases and numbers
// the attempts. A keeper sends what it is told while the permission is valid, and
// returns outcomes and changed reports. So the guarantees of package allocator
// rest on the same facts as without keepers; an order is only longer on its way.
package distributor

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// silenceTimeout is the time without a message after which a keeper is lost.
	// Keepers ask for permission every AskInterval.
	silenceTimeout = time.Second
	// maxAnswerDelay is how long the outcome of an order may take, beyond the wait
	// of a poll, before the keeper is lost.
	maxAnswerDelay = 3 * time.Second
	// workerRetention is how long a worker without orders stays assigned.
	workerRetention = 30 * time.Second
	// maxUnreachedPolls is the number of consecutive polls without an answer after
	// which another keeper polls the worker, and avoidanceInterval the minimum
	// time between two such changes.
	maxUnreachedPolls = 2
	avoidanceInterval = 5 * time.Second
	// tickInterval is the interval between searches for lost keepers.
	tickInterval = 100 * time.Millisecond
)

// Option is an option of New.
type Option func(*Distributor)

// WithPayloadRate limits the payloads that are sent to keepers to a number of
// bytes per second. Beyond it, keepers read them from the store.
func WithPayloadRate(bytesPerSecond float64) Option {
	return func(di *Distributor) { di.payloads.bytesPerSecond = bytesPerSecond }
}

// Distributor is the scheduler's end of the connections to all keepers. It is
// not safe for concurrent use.
type Distributor struct {
	assigner *assigner.Assigner
	links    map[assigner.KeeperID]*link
	workers  map[modeller.WorkerID]*workerState
	payloads budget
	tickedAt time.Time
	// backlogs are the figures of the time backlogsAt, which is zero without any.
	backlogs   map[string]admitter.Backlog
	backlogsAt time.Time
}

// workerState is what the distributor knows of a worker.
type workerState struct {
	usedAt time.Time
	// generation is the highest generation of the orders to the worker.
	generation int
	// unreached counts the consecutive polls without an answer.
	unreached int
	avoidedAt time.Time
}

// link is the connection to one keeper.
type link struct {
	keeper   assigner.Keeper
	heardAt  time.Time
	handles  map[modeller.WorkerID]Handle
	attended map[Handle]*attendedWorker
	last     Handle
	lastPoll uint64
	// orders are the orders without an outcome.
	orders map[orderKey]sentOrder
	// payloads are the jobs whose payloads the keeper holds or reads, and missing
	// those whose payloads it could not read. budget is that of all links.
	payloads, missing map[modeller.JobID]struct{}
	budget            *budget
	outgoing          []ToKeeper
}

// attendedWorker is a worker as the keeper knows it.
type attendedWorker struct {
	worker modeller.Worker
	// runs are those of the last report on this connection; they are valid if
	// hasReported is true.
	runs        []modeller.Run
	hasReported bool
	// poll is the poll in flight, or nil.
	poll *pollInFlight
}

// pollInFlight is a poll without an outcome.
type pollInFlight struct {
	number     uint64
	sentAt     time.Time
	wait       time.Duration
	generation int
}

// sentOrder is the time at which an order was sent last, and the generations of those
// without an outcome: it may be repeated before it has one.
type sentOrder struct {
	at          time.Time
	generations []int
}

// orderKind is the kind of an order other than a poll.
type orderKind int

const (
	startKind orderKind = iota
	stopKind
	paceKind
)

// orderKey identifies an order without an outcome.
type orderKey struct {
	kind    orderKind
	worker  modeller.WorkerID
	task    modeller.TaskName
	attempt int
	percent int
}

// New returns a Distributor without keepers.
func New(opts ...Option) *Distributor {
	di := &Distributor{
		assigner: assigner.New(),
		links:    map[assigner.KeeperID]*link{},
		workers:  map[modeller.WorkerID]*workerState{},
	}
	for _, opt := range opts {
		opt(di)
	}
	return di
}

// Join adds the keeper of a new connection. If the keeper had another connection,
// that one is lost, and the events are those of Leave.
func (di *Distributor) Join(now time.Time, kp assigner.Keeper) []allocator.Event {
	events := di.Leave(kp.ID)
	di.links[kp.ID] = &link{
		keeper:   kp,
		heardAt:  now,
		handles:  map[modeller.WorkerID]Handle{},
		attended: map[Handle]*attendedWorker{},
		orders:   map[orderKey]sentOrder{},
		payloads: map[modeller.JobID]struct{}{},
		missing:  map[modeller.JobID]struct{}{},
		budget:   &di.payloads,
	}
	di.assigner.AddKeeper(kp)
	return events
}

// Leave removes the keeper of a connection that has ended. The events are the
// outcomes of the orders that had none: they may have been sent.
func (di *Distributor) Leave(id assigner.KeeperID) []allocator.Event {
	li := di.links[id]
	if li == nil {
		return nil
	}
	delete(di.links, id)
	di.assigner.RemoveKeeper(id)
	var events []allocator.Event
	for _, handle := range slices.Sorted(keysOf(li.attended)) {
		aw := li.attended[handle]
		if aw.poll != nil {
			events = append(events, allocator.PollFailed{
				Worker:  aw.worker.ID,
				SentAt:  aw.poll.sentAt,
				Outcome: allocator.KeeperLost,
			})
		}
	}
	for _, key := range slices.SortedFunc(keysOf(li.orders), orderKey.compare) {
		events = append(events, key.result(allocator.Unanswered, 0))
	}
	return events
}

// Keepers returns the number of connected keepers.
func (di *Distributor) Keepers() int { return len(di.links) }

// Dispatch queues orders to workers for their keepers. The events are the
// outcomes of the orders that cannot be sent. Other orders are ignored.
func (di *Distributor) Dispatch(now time.Time, orders []allocator.Order) []allocator.Event {
	var events []allocator.Event
	for _, od := range orders {
		wk, ok := workerOf(od)
		if !ok {
			continue
		}
		li := di.linkOf(now, wk)
		if li == nil {
			events = append(events, notSent(od, now))
			continue
		}
		li.send(now, wk, od)
	}
	return events
}

// workerOf returns the worker that receives an order, or false if none does.
func workerOf(od allocator.Order) (modeller.Worker, bool) {
	switch od := od.(type) {
	case allocator.PollOrder:
		return od.Worker, true
	case allocator.StartOrder:
		return od.Worker, true
	case allocator.StopOrder:
		return od.Worker, true
	case allocator.PaceOrder:
		return od.Worker, true
	}
	return modeller.Worker{}, false
}

// notSent returns the outcome of an order to a worker that has no keeper.
func notSent(od allocator.Order, now time.Time) allocator.Event {
	switch od := od.(type) {
	case allocator.PollOrder:
		return allocator.PollFailed{
			Worker:  od.Worker.ID,
			SentAt:  now,
			Outcome: allocator.KeeperLost,
		}
	case allocator.StartOrder:
		return startKey(od).result(allocator.NotSent, 0)
	case allocator.StopOrder:
		return stopKey(od).result(allocator.NotSent, 0)
	case allocator.PaceOrder:
		return paceKey(od).result(allocator.NotSent, 0)
	}
	return nil
}

// linkOf returns the connection to the keeper of a worker, or nil if there is no
// keeper.
func (di *Distributor) linkOf(now time.Time, wk modeller.Worker) *link {
	ws := di.workers[wk.ID]
	if ws == nil {
		ws = &workerState{}
		di.workers[wk.ID] = ws
		di.assigner.AddWorker(wk.ID, wk.Zone)
	}
	ws.usedAt = now
	ws.generation = max(ws.generation, wk.Generation)
	keeper, ok := di.assigner.KeeperOf(wk.ID)
	if !ok {
		return nil
	}
	return di.links[keeper]
}

// Receive applies a message of a keeper and returns the outcomes in it. isHeld is
// true if the duty is held, so that a permission may be given. After an error the
// connection cannot be used any more.
func (di *Distributor) Receive(now time.Time, id assigner.KeeperID, msg ToScheduler, isHeld bool) ([]allocator.Event, error) {
	li := di.links[id]
	if li == nil {
		return nil, nil
	}
	li.heardAt = now
	switch msg := msg.(type) {
	case Ask:
		if isHeld {
			di.permit(now, li, msg)
		}
		return nil, nil
	case Missing:
		delete(li.payloads, msg.Job)
		li.missing[msg.Job] = struct{}{}
		return nil, nil
	case Report:
		return di.report(now, li, msg)
	case PollFailure:
		return di.pollFailure(now, li, msg)
	case StartAnswer:
		return di.answer(li, msg.Handle, orderKey{kind: startKind, task: msg.Task, attempt: msg.Attempt}, msg.Outcome, msg.Clock)
	case StopAnswer:
		return di.answer(li, msg.Handle, orderKey{kind: stopKind, task: msg.Task, attempt: msg.Attempt}, msg.Outcome, 0)
	case PaceAnswer:
		return di.answer(li, msg.Handle, orderKey{kind: paceKind, task: msg.Task, attempt: msg.Attempt, percent: msg.Percent}, msg.Outcome, 0)
	}
	return nil, errors.Errorf("unexpected message %T of keeper %s", msg, id)
}

// takePoll returns the worker of a handle and its poll in flight.
func (li *link) takePoll(handle Handle, number uint64) (*attendedWorker, pollInFlight, error) {
	aw := li.attended[handle]
	if aw == nil || aw.poll == nil || aw.poll.number != number {
		return nil, pollInFlight{}, errors.Errorf("outcome of poll %d of handle %d, which is not in flight", number, handle)
	}
	poll := *aw.poll
	aw.poll = nil
	return aw, poll, nil
}

func (di *Distributor) report(now time.Time, li *link, msg Report) ([]allocator.Event, error) {
	aw, poll, err := li.takePoll(msg.Handle, msg.Number)
	if err != nil {
		return nil, err
	}
	var last []modeller.Run
	if aw.hasReported {
		last = aw.runs
	}
	aw.runs, err = applyChanges(last, msg.Changes, msg.Added)
	if err != nil {
		return nil, err
	}
	aw.hasReported = true
	if ws := di.workers[aw.worker.ID]; ws != nil {
		ws.unreached = 0
	}
	return []allocator.Event{allocator.ReportReceived{
		Worker:     aw.worker.ID,
		SentAt:     poll.sentAt,
		ReceivedAt: now,
		Report: modeller.Report{
			StartedAtMS: msg.StartedAtMS,
			Clock:       msg.Clock,
			Running:     aw.runs,
			Ended:       msg.Ended,
			HasMoreEnds: msg.HasMoreEnds,
		},
	}}, nil
}

func (di *Distributor) pollFailure(now time.Time, li *link, msg PollFailure) ([]allocator.Event, error) {
	aw, poll, err := li.takePoll(msg.Handle, msg.Number)
	if err != nil {
		return nil, err
	}
	if ws := di.workers[aw.worker.ID]; ws != nil && (msg.Outcome == allocator.Unanswered || msg.Outcome == allocator.NotSent) {
		ws.unreached++
		if ws.unreached >= maxUnreachedPolls && now.Sub(ws.avoidedAt) >= avoidanceInterval {
			ws.unreached = 0
			ws.avoidedAt = now
			di.assigner.Avoid(aw.worker.ID)
		}
	}
	return []allocator.Event{allocator.PollFailed{
		Worker:  aw.worker.ID,
		SentAt:  poll.sentAt,
		Outcome: di.supersede(aw.worker.ID, poll.generation, msg.Outcome),
	}}, nil
}

// supersede returns the outcome of an order. A fencing token that is stale since orders
// of a later generation have been sent doesn't mean that there is a later holder.
func (di *Distributor) supersede(id modeller.WorkerID, generation int, outcome allocator.Outcome) allocator.Outcome {
	if ws := di.workers[id]; outcome == allocator.Fenced && ws != nil && generation < ws.generation {
		return allocator.NotSent
	}
	return outcome
}

// answer returns the outcome of an order, or nothing if the order is not known.
func (di *Distributor) answer(li *link, handle Handle, key orderKey, outcome allocator.Outcome, clock time.Duration) ([]allocator.Event, error) {
	aw := li.attended[handle]
	if aw == nil {
		return nil, errors.Errorf("outcome of an order for handle %d, which has no worker", handle)
	}
	key.worker = aw.worker.ID
	if so, ok := li.orders[key]; ok {
		outcome = di.supersede(key.worker, so.generations[0], outcome)
		so.generations = so.generations[1:]
		li.orders[key] = so
		if len(so.generations) == 0 {
			delete(li.orders, key)
		}
	}
	return []allocator.Event{key.result(outcome, clock)}, nil
}

// Tick finds keepers that are lost and workers that are gone. It returns the lost
// keepers, whose connections are to be closed, and the events of Leave.
func (di *Distributor) Tick(now time.Time) (lost []assigner.KeeperID, events []allocator.Event) {
	if now.Sub(di.tickedAt) < tickInterval {
		return nil, nil
	}
	di.tickedAt = now
	for _, id := range slices.Sorted(keysOf(di.links)) {
		if di.links[id].isLost(now) {
			lost = append(lost, id)
			events = append(events, di.Leave(id)...)
		}
	}
	for id, ws := range di.workers {
		if now.Sub(ws.usedAt) >= workerRetention {
			di.removeWorker(id)
		}
	}
	return lost, events
}

// isLost reports whether a keeper is silent or doesn't answer.
func (li *link) isLost(now time.Time) bool {
	if now.Sub(li.heardAt) >= silenceTimeout {
		return true
	}
	for _, aw := range li.attended {
		if aw.poll != nil && now.Sub(aw.poll.sentAt) >= aw.poll.wait+maxAnswerDelay {
			return true
		}
	}
	for _, so := range li.orders {
		if now.Sub(so.at) >= maxAnswerDelay {
			return true
		}
	}
	return false
}

func (di *Distributor) removeWorker(id modeller.WorkerID) {
	delete(di.workers, id)
	di.assigner.RemoveWorker(id)
	for _, li := range di.links {
		if handle, ok := li.handles[id]; ok {
			delete(li.handles, id)
			delete(li.attended, handle)
			li.outgoing = append(li.outgoing, Leave{
				Handle: handle,
			})
		}
	}
}

// Forget lets the keepers discard the payload of a job that has ended.
func (di *Distributor) Forget(job modeller.JobID) {
	for _, li := range di.links {
		li.forget(job)
	}
}

// Outgoing returns the messages to be sent to each keeper since the last call, in
// their order.
func (di *Distributor) Outgoing() map[assigner.KeeperID][]ToKeeper {
	var outgoing map[assigner.KeeperID][]ToKeeper
	for id, li := range di.links {
		if len(li.outgoing) == 0 {
			continue
		}
		if outgoing == nil {
			outgoing = map[assigner.KeeperID][]ToKeeper{}
		}
		outgoing[id] = li.outgoing
		li.outgoing = nil
	}
	return outgoing
}
