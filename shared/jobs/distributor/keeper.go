package distributor

import (
	"time"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// AskInterval is the interval at which a keeper asks for permission.
	AskInterval = 250 * time.Millisecond
	// OrderValidity is the time from an Ask to the end of the permission that
	// answers it, and so the greatest age at which an order is sent.
	OrderValidity = time.Second
	// maxAsksInFlight bounds the asks that are remembered while none is answered.
	maxAsksInFlight = 64
)

// Keeper is the keeper's end of a connection: it translates the scheduler's
// messages into orders and the outcomes of these into messages.
//
// Orders and permissions arrive in the order in which they were sent, so an order
// is younger than the Ask of the last permission before it. An order is valid for
// OrderValidity from that Ask by the keeper's own clock, which goes on while the
// keeper is suspended.
type Keeper struct {
	handles    map[modeller.WorkerID]Handle
	workers    map[Handle]modeller.Worker
	payloads   map[modeller.JobID]*payload
	lastRuns   map[Handle][]modeller.Run
	polls      map[modeller.WorkerID]Poll
	askedAt    map[uint64]time.Time
	lastAsk    uint64
	validUntil time.Time
	// permittedAskAt is when the Ask of the last Permit was sent, or zero if that isn't
	// known.
	permittedAskAt time.Time
	// backlogs are the last figures, and backlogsAt when they were published at the latest.
	backlogs   map[string]admitter.Backlog
	backlogsAt time.Time
}

// NewKeeper returns the Keeper of a new connection.
func NewKeeper() *Keeper {
	return &Keeper{
		handles:  map[modeller.WorkerID]Handle{},
		workers:  map[Handle]modeller.Worker{},
		payloads: map[modeller.JobID]*payload{},
		lastRuns: map[Handle][]modeller.Run{},
		polls:    map[modeller.WorkerID]Poll{},
		askedAt:  map[uint64]time.Time{},
	}
}

// payload is the payload of a job. While it is being read from the store, the
// starts of the job wait.
type payload struct {
	text    string
	isKnown bool
	waiting []TimedOrder
}

// TimedOrder is an order with the time until which it may be sent.
type TimedOrder struct {
	// Order is the order.
	Order allocator.Order
	// ValidUntil is the time, by the keeper's clock.
	ValidUntil time.Time
}

// Ask returns a request for permission.
func (kp *Keeper) Ask(now time.Time) Ask {
	kp.lastAsk++
	if len(kp.askedAt) >= maxAsksInFlight {
		delete(kp.askedAt, kp.lastAsk-maxAsksInFlight)
	}
	kp.askedAt[kp.lastAsk] = now
	return Ask{
		Number: kp.lastAsk,
	}
}

// Worker returns the worker of a handle, or false if the handle has none.
func (kp *Keeper) Worker(handle Handle) (modeller.WorkerID, bool) {
	wk, ok := kp.workers[handle]
	return wk.ID, ok
}

// Receive applies a message of the scheduler. It returns the orders that can be
// sent and the answers for the scheduler. After a Fetch, Fetched or Failed has to
// be called. After an error the connection cannot be used any more.
func (kp *Keeper) Receive(msg ToKeeper) (orders []TimedOrder, answers []ToScheduler, err error) {
	switch msg := msg.(type) {
	case Permit:
		kp.permit(msg)
	case Backlog:
		kp.receiveBacklog(msg)
	case Attend:
		kp.attend(msg)
	case Leave:
		kp.leave(msg.Handle)
	case Payload:
		kp.expectPayload(msg.Job)
		orders = kp.Fetched(msg.Job, msg.Text)
	case Fetch:
		kp.expectPayload(msg.Job)
	case Forget:
		answers = kp.discard(msg.Job)
	default:
		orders, answers, err = kp.receiveOrder(msg)
	}
	return orders, answers, err
}

// receiveOrder returns an order, unless it waits for a payload. A start whose
// payload could not be read is not sent; the scheduler will know when it receives
// the Missing.
func (kp *Keeper) receiveOrder(msg ToKeeper) ([]TimedOrder, []ToScheduler, error) {
	order, err := kp.order(msg)
	if err != nil {
		return nil, nil, err
	}
	to := TimedOrder{
		Order:      order,
		ValidUntil: kp.validUntil,
	}
	start, isStart := order.(allocator.StartOrder)
	if !isStart || start.HasPayload {
		return []TimedOrder{to}, nil, nil
	}
	if pl := kp.payloads[start.Task.Job]; pl != nil {
		pl.waiting = append(pl.waiting, to)
		return nil, nil, nil
	}
	return nil, kp.notSent(start), nil
}

// expectPayload prepares for the payload of a job.
func (kp *Keeper) expectPayload(job modeller.JobID) {
	if kp.payloads[job] == nil {
		kp.payloads[job] = &payload{}
	}
}

// Fetched records the payload of a job, and returns the starts that have waited
// for it. It has no effect if the payload is no longer needed.
func (kp *Keeper) Fetched(job modeller.JobID, text string) []TimedOrder {
	pl := kp.payloads[job]
	if pl == nil {
		return nil
	}
	pl.text = text
	pl.isKnown = true
	waiting := pl.waiting
	pl.waiting = nil
	for idx := range waiting {
		if start, ok := waiting[idx].Order.(allocator.StartOrder); ok {
			start.Payload = text
			start.HasPayload = true
			waiting[idx].Order = start
		}
	}
	return waiting
}

// Failed discards a payload that cannot be read, and returns the answers for the
// scheduler.
func (kp *Keeper) Failed(job modeller.JobID) []ToScheduler {
	if kp.payloads[job] == nil {
		return nil
	}
	return append([]ToScheduler{Missing{
		Job: job,
	}}, kp.discard(job)...)
}

// discard discards a payload. The starts that have waited for it are not sent.
func (kp *Keeper) discard(job modeller.JobID) []ToScheduler {
	pl := kp.payloads[job]
	if pl == nil {
		return nil
	}
	delete(kp.payloads, job)
	var answers []ToScheduler
	for _, to := range pl.waiting {
		if start, ok := to.Order.(allocator.StartOrder); ok {
			answers = append(answers, kp.notSent(start)...)
		}
	}
	return answers
}

// notSent returns the answer for a start that is not sent.
func (kp *Keeper) notSent(start allocator.StartOrder) []ToScheduler {
	answer, ok := kp.Answer(allocator.StartResult{
		Worker:  start.Worker.ID,
		Task:    start.Task,
		Attempt: start.Attempt,
		Outcome: allocator.NotSent,
	})
	if !ok {
		return nil
	}
	return []ToScheduler{answer}
}

// permit extends the permission.
func (kp *Keeper) permit(msg Permit) {
	askedAt, ok := kp.askedAt[msg.Number]
	kp.permittedAskAt = askedAt
	if !ok {
		return
	}
	for number := range kp.askedAt {
		if number <= msg.Number {
			delete(kp.askedAt, number)
		}
	}
	kp.validUntil = askedAt.Add(OrderValidity)
}

func (kp *Keeper) leave(handle Handle) {
	delete(kp.handles, kp.workers[handle].ID)
	delete(kp.polls, kp.workers[handle].ID)
	delete(kp.workers, handle)
	delete(kp.lastRuns, handle)
}

func (kp *Keeper) attend(msg Attend) {
	if old, ok := kp.workers[msg.Handle]; ok && old.ID != msg.Worker {
		delete(kp.handles, old.ID)
		delete(kp.lastRuns, msg.Handle)
	}
	kp.handles[msg.Worker] = msg.Handle
	kp.workers[msg.Handle] = modeller.Worker{
		ID:          msg.Worker,
		Address:     msg.Address,
		StartedAtMS: msg.StartedAtMS,
		Generation:  msg.Generation,
	}
}

// order translates an order.
func (kp *Keeper) order(msg ToKeeper) (allocator.Order, error) {
	switch msg := msg.(type) {
	case Poll:
		return kp.pollOrder(msg)
	case Start:
		return kp.startOrder(msg)
	case Stop:
		wk, err := kp.worker(msg.Handle)
		return allocator.StopOrder{
			Worker:  wk,
			Task:    msg.Task,
			Attempt: msg.Attempt,
		}, err
	case Pace:
		wk, err := kp.worker(msg.Handle)
		return allocator.PaceOrder{
			Worker:  wk,
			Task:    msg.Task,
			Attempt: msg.Attempt,
			Percent: msg.Percent,
		}, err
	}
	return nil, errors.Errorf("message %T is not an order", msg)
}

// pollOrder translates a poll. A worker has one poll in flight, so that each
// report is matched to its poll.
func (kp *Keeper) pollOrder(msg Poll) (allocator.Order, error) {
	wk, err := kp.worker(msg.Handle)
	if err != nil {
		return nil, err
	}
	if earlier, ok := kp.polls[wk.ID]; ok {
		return nil, errors.Errorf("poll %d of worker %s while poll %d is in flight", msg.Number, wk.ID, earlier.Number)
	}
	kp.polls[wk.ID] = msg
	return allocator.PollOrder{
		Worker:           wk,
		LeaseEnd:         msg.LeaseEnd,
		AcknowledgedEnds: msg.AcknowledgedEnds,
		ProcessedEnds:    msg.ProcessedEnds,
		Wait:             msg.Wait,
	}, nil
}

func (kp *Keeper) startOrder(msg Start) (allocator.Order, error) {
	wk, err := kp.worker(msg.Handle)
	if err != nil {
		return nil, err
	}
	var text string
	pl := kp.payloads[msg.Task.Job]
	isKnown := pl != nil && pl.isKnown
	if isKnown {
		text = pl.text
	}
	return allocator.StartOrder{
		Worker:         wk,
		Task:           msg.Task,
		Attempt:        msg.Attempt,
		Payload:        text,
		HasPayload:     isKnown,
		Checkpoint:     msg.Checkpoint,
		Ticket:         msg.Ticket,
		LeaseEnd:       msg.LeaseEnd,
		ReportAge:      msg.ReportAge,
		FreeMilliCores: msg.FreeMilliCores,
	}, nil
}

func (kp *Keeper) worker(handle Handle) (modeller.Worker, error) {
	wk, ok := kp.workers[handle]
	if !ok {
		return modeller.Worker{}, errors.Errorf("order for handle %d, which has no worker", handle)
	}
	return wk, nil
}

// Answer returns the message with the outcome of an order, or false if the
// scheduler no longer expects one for the worker.
func (kp *Keeper) Answer(ev allocator.Event) (ToScheduler, bool) {
	switch ev := ev.(type) {
	case allocator.ReportReceived:
		return kp.report(ev)
	case allocator.PollFailed:
		handle, ok := kp.handles[ev.Worker]
		poll := kp.polls[ev.Worker]
		delete(kp.polls, ev.Worker)
		return PollFailure{
			Handle:  handle,
			Number:  poll.Number,
			Outcome: ev.Outcome,
		}, ok
	case allocator.StartResult:
		handle, ok := kp.handles[ev.Worker]
		return StartAnswer{
			Handle:  handle,
			Task:    ev.Task,
			Attempt: ev.Attempt,
			Outcome: ev.Outcome,
			Clock:   ev.Clock,
		}, ok
	case allocator.StopResult:
		handle, ok := kp.handles[ev.Worker]
		return StopAnswer{
			Handle:  handle,
			Task:    ev.Task,
			Attempt: ev.Attempt,
			Outcome: ev.Outcome,
		}, ok
	case allocator.PaceResult:
		handle, ok := kp.handles[ev.Worker]
		return PaceAnswer{
			Handle:  handle,
			Task:    ev.Task,
			Attempt: ev.Attempt,
			Percent: ev.Percent,
			Outcome: ev.Outcome,
		}, ok
	}
	return nil, false
}

// report returns a worker's report as changes since the last one.
func (kp *Keeper) report(ev allocator.ReportReceived) (ToScheduler, bool) {
	handle, ok := kp.handles[ev.Worker]
	poll, isExpected := kp.polls[ev.Worker]
	if !ok || !isExpected {
		return nil, false
	}
	delete(kp.polls, ev.Worker)
	if poll.IsFull {
		delete(kp.lastRuns, handle)
	}
	rp := Report{
		Handle:      handle,
		Number:      poll.Number,
		StartedAtMS: ev.Report.StartedAtMS,
		Clock:       ev.Report.Clock,
		HasMoreEnds: ev.Report.HasMoreEnds,
	}
	rp.Changes, rp.Added = compareRuns(kp.lastRuns[handle], ev.Report.Running)
	present, err := applyChanges(kp.lastRuns[handle], rp.Changes, rp.Added)
	if err != nil {
		// The changes were made from the same runs.
		return nil, false
	}
	kp.lastRuns[handle] = present
	for _, end := range ev.Report.Ended {
		if end.Number > poll.ProcessedEnds {
			rp.Ended = append(rp.Ended, end)
		}
	}
	return rp, true
}
