package attendant

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/storer"
)

const (
	// urgentDelay is how long reports and refusals wait for others, and
	// acceptanceDelay how long acceptances do, which change little.
	urgentDelay     = time.Millisecond
	acceptanceDelay = 50 * time.Millisecond
	// fetchTimeout bounds the time to read a payload, for which starts wait. It is as
	// long as the store's client waits: a payload that arrives after the permission
	// for the starts has run out is there for the next ones.
	fetchTimeout = time.Second
)

// session is the service of one connection to a holder.
type session struct {
	conn       *linker.Conn
	store      storer.Store
	logger     *zap.Logger
	dispatcher *dispatcher.Dispatcher
	backlogs   *backlogs

	mutex  sync.Mutex
	keeper *distributor.Keeper
	// frame holds the encoded messages that wait to be sent.
	frame []byte
	// wake has an element once messages wait, and urgent once they are urgent.
	wake, urgent chan struct{}
}

func newSession(conn *linker.Conn, store storer.Store, figures *backlogs, logger *zap.Logger) *session {
	return &session{
		conn:     conn,
		store:    store,
		logger:   logger,
		backlogs: figures,
		keeper:   distributor.NewKeeper(),
		wake:     make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
	}
}

// receive dispatches the holder's orders until the connection ends.
func (ss *session) receive(ctx context.Context) error {
	for {
		frame, err := ss.conn.Receive()
		if err != nil {
			return err
		}
		messages, err := distributor.DecodeToKeeper(frame)
		if err != nil {
			return err
		}
		for _, msg := range messages {
			ss.mutex.Lock()
			ss.forgetWorker(msg)
			orders, answers, err := ss.keeper.Receive(msg)
			ss.dispatch(ctx, orders)
			ss.queueAll(answers)
			if _, isBacklog := msg.(distributor.Backlog); isBacklog {
				ss.backlogs.set(ss.keeper.Backlogs())
			}
			ss.mutex.Unlock()
			if err != nil {
				return err
			}
			if fetch, ok := msg.(distributor.Fetch); ok {
				go ss.fetch(ctx, fetch)
			}
		}
	}
}

// forgetWorker ends the queue of a worker that the scheduler takes back. The
// mutex has to be held.
func (ss *session) forgetWorker(msg distributor.ToKeeper) {
	if leave, ok := msg.(distributor.Leave); ok {
		if id, ok := ss.keeper.Worker(leave.Handle); ok {
			ss.dispatcher.Forget(id)
		}
	}
}

// dispatch sends orders. The mutex has to be held.
func (ss *session) dispatch(ctx context.Context, orders []distributor.TimedOrder) {
	for _, to := range orders {
		ss.dispatcher.Dispatch(ctx, to)
	}
}

// fetch reads the payload of a job from the store.
func (ss *session) fetch(ctx context.Context, fetch distributor.Fetch) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	et, err := ss.store.Get(limited, archiver.PayloadKey(fetch.Queue, fetch.Job))
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	if err == nil {
		ss.dispatch(ctx, ss.keeper.Fetched(fetch.Job, string(et.Value)))
		return
	}
	ss.logger.Info("cannot read the payload of a job", zap.String("job", string(fetch.Job)), zap.Error(err))
	ss.queueAll(ss.keeper.Failed(fetch.Job))
}

// queueAll encodes urgent messages. The mutex has to be held.
func (ss *session) queueAll(messages []distributor.ToScheduler) {
	for _, msg := range messages {
		ss.queue(msg, true)
	}
}

// answer queues the outcome of an order.
func (ss *session) answer(ev allocator.Event) {
	ss.mutex.Lock()
	defer ss.mutex.Unlock()
	msg, ok := ss.keeper.Answer(ev)
	if ok {
		ss.queue(msg, !isAcceptance(ev))
	}
}

// isAcceptance reports whether an outcome is the acceptance of an order.
func isAcceptance(ev allocator.Event) bool {
	switch ev := ev.(type) {
	case allocator.StartResult:
		return ev.Outcome == allocator.Accepted
	case allocator.PaceResult:
		return ev.Outcome == allocator.Accepted
	default:
		return false
	}
}

// queue encodes a message. The mutex has to be held.
func (ss *session) queue(msg distributor.ToScheduler, isUrgent bool) {
	ss.frame = distributor.AppendToScheduler(ss.frame, msg)
	signal(ss.wake)
	if isUrgent {
		signal(ss.urgent)
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// send sends the queued messages and asks for permission until the context is
// done.
func (ss *session) send(ctx context.Context) {
	ticker := time.NewTicker(distributor.AskInterval)
	defer ticker.Stop()
	ss.ask()
	for {
		select {
		case <-ss.wake:
			ss.awaitMore(ctx)
			ss.flush()
		case <-ticker.C:
			ss.ask()
		case <-ctx.Done():
			return
		}
	}
}

// awaitMore waits for further messages that can be sent with those that wait.
func (ss *session) awaitMore(ctx context.Context) {
	timer := time.NewTimer(acceptanceDelay)
	defer timer.Stop()
	select {
	case <-ss.urgent:
		timer.Reset(urgentDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask queues a request for permission and sends it at once, since its answer's
// validity counts from now.
func (ss *session) ask() {
	ss.mutex.Lock()
	ss.frame = distributor.AppendToScheduler(ss.frame, ss.keeper.Ask(timekeeper.Now()))
	ss.mutex.Unlock()
	ss.flush()
}

func (ss *session) flush() {
	ss.mutex.Lock()
	frame := ss.frame
	ss.frame = nil
	ss.mutex.Unlock()
	if len(frame) > 0 {
		ss.conn.Send(frame)
	}
}
