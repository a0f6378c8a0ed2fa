package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/timekeeper"
)

// workerQueue holds the pending orders of one worker. Polls have a queue of
// their own, so that they do not wait behind other orders.
type workerQueue struct {
	polls  chan allocator.PollOrder
	orders chan timedOrder
}

// queueOf returns the queue of a worker. It creates the queue and starts its
// goroutines on the first call for that worker.
func (di *Dispatcher) queueOf(ctx context.Context, id modeller.WorkerID) *workerQueue {
	wq, ok := di.queues[id]
	if ok {
		return wq
	}
	wq = &workerQueue{
		polls:  make(chan allocator.PollOrder, 1),
		orders: make(chan timedOrder, orderQueueSize),
	}
	di.queues[id] = wq
	go di.runPolls(ctx, wq)
	for range sendersPerWorker {
		go di.runOrders(ctx, wq)
	}
	return wq
}

// timedOrder is an order with the time of its decision.
type timedOrder struct {
	order     allocator.Order
	decidedAt time.Time
}

func (di *Dispatcher) enqueue(ctx context.Context, now time.Time, id modeller.WorkerID, od allocator.Order) {
	select {
	case di.queueOf(ctx, id).orders <- timedOrder{order: od, decidedAt: now}:
	default:
		di.logger.Error("order dropped: the worker's order queue is full", zap.String("worker", string(id)), zap.Int("waiting", orderQueueSize))
		go di.emitNotSent(od)
	}
}

func (di *Dispatcher) runPolls(ctx context.Context, wq *workerQueue) {
	for {
		select {
		case po := <-wq.polls:
			di.poll(ctx, po)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) poll(ctx context.Context, po allocator.PollOrder) {
	if !di.isHeld() {
		di.emitNotSent(po)
		return
	}
	sentAt := timekeeper.Now()
	report, err := di.platform.Workers.Poll(ctx, endpointOf(po.Worker), adapter.PollRequest{
		FencingToken:        di.fencingToken,
		LeaseEnd:            po.LeaseEnd,
		LastAcknowledgedEnd: po.AcknowledgedEnds,
		Wait:                po.Wait,
	})
	if err != nil {
		di.logger.Info("poll of a worker failed", zap.String("worker", string(po.Worker.ID)), zap.Error(err))
		di.emit(allocator.PollFailed{
			Worker:  po.Worker.ID,
			SentAt:  sentAt,
			Outcome: outcomeOf(err),
		})
		return
	}
	di.emit(allocator.ReportReceived{
		Worker:     po.Worker.ID,
		SentAt:     sentAt,
		ReceivedAt: timekeeper.Now(),
		Report:     report,
	})
}

func (di *Dispatcher) runOrders(ctx context.Context, wq *workerQueue) {
	for {
		select {
		case to := <-wq.orders:
			di.execute(ctx, to)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) execute(ctx context.Context, to timedOrder) {
	if !di.isHeld() || timekeeper.Now().Sub(to.decidedAt) > maxOrderAge {
		di.emitNotSent(to.order)
		return
	}
	switch od := to.order.(type) {
	case allocator.StartOrder:
		clock, err := di.platform.Workers.Start(ctx, endpointOf(od.Worker), adapter.StartOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			Payload:      od.Payload,
			Checkpoint:   od.Checkpoint,
			Ticket:       od.Ticket,
			LeaseEnd:     od.LeaseEnd,
			FencingToken: di.fencingToken,
		})
		di.logOrder("start", od.Worker.ID, od.Task, od.Attempt, err, zap.Duration("reportAge", od.ReportAge), zap.Int("freeMilliCores", od.FreeMilliCores))
		di.emit(allocator.StartResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: outcomeOf(err),
			Clock:   clock,
		})
	case allocator.StopOrder:
		err := di.platform.Workers.Stop(ctx, endpointOf(od.Worker), adapter.StopOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			FencingToken: di.fencingToken,
		})
		di.logOrder("stop", od.Worker.ID, od.Task, od.Attempt, err)
		di.emit(allocator.StopResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: outcomeOf(err),
		})
	case allocator.PaceOrder:
		err := di.platform.Workers.Pace(ctx, endpointOf(od.Worker), adapter.PaceOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			Percent:      od.Percent,
			FencingToken: di.fencingToken,
		})
		di.logOrder("pace", od.Worker.ID, od.Task, od.Attempt, err)
		di.emit(allocator.PaceResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: outcomeOf(err),
		})
	}
}

func (di *Dispatcher) logOrder(order string, worker modeller.WorkerID, task modeller.TaskName, attempt int, err error, extra ...zap.Field) {
	fields := append([]zap.Field{zap.String("worker", string(worker)), zap.Stringer("task", task), zap.Int("attempt", attempt), zap.Uint64("fence", di.fencingToken)}, extra...)
	if err != nil {
		di.logger.Warn(order+" order rejected or its outcome is unknown", append(fields, zap.Error(err))...)
		return
	}
	di.logger.Info(order, fields...)
}

func endpointOf(wk modeller.Worker) adapter.Endpoint {
	return adapter.Endpoint{
		Worker:  wk.ID,
		Address: wk.Address,
	}
}
