package attendant

import (
	"context"
	"sync"
	"time"

	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/process/timekeeper"
)

const (
	// urgentDelay is how long reports and refusals wait for others, and
	// acceptanceDelay how long acceptances do, which change little.
	urgentDelay     = time.Millisecond
	acceptanceDelay = 50 * time.Millisecond
)

// session is the service of one connection to a holder.
type session struct {
	conn       *linker.Conn
	dispatcher *dispatcher.Dispatcher

	mutex  sync.Mutex
	keeper *distributor.Keeper
	// frame holds the encoded messages that wait to be sent, and isUrgent is true
	// if they include more than acceptances.
	frame    []byte
	isUrgent bool
	// wake has an element once messages wait, and urgent once they are urgent.
	wake, urgent chan struct{}
}

func newSession(conn *linker.Conn) *session {
	return &session{
		conn:   conn,
		keeper: distributor.NewKeeper(),
		wake:   make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
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
			order, isOrder, err := ss.keeper.Receive(msg)
			ss.mutex.Unlock()
			if err != nil {
				return err
			}
			if isOrder {
				ss.dispatcher.Dispatch(ctx, order)
			}
		}
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
