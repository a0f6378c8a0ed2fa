package dispatcher

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/timekeeper"
)

// workerQueue holds the pending orders of one worker. Polls have a queue of
// their own, so that they do not wait behind other orders.
type workerQueue struct {
	polls, orders chan distributor.TimedOrder
	// end ends the goroutines that send the orders.
	end context.CancelFunc
}

// queueOf returns the queue of a worker. It creates the queue and starts its
// goroutines on the first call for that worker.
func (di *Dispatcher) queueOf(ctx context.Context, id modeller.WorkerID) *workerQueue {
	wq, ok := di.queues[id]
	if ok {
		return wq
	}
	ctx, cancel := context.WithCancel(ctx)
	wq = &workerQueue{
		polls:  make(chan distributor.TimedOrder, 1),
		orders: make(chan distributor.TimedOrder, orderQueueSize),
		end:    cancel,
	}
	di.queues[id] = wq
	go di.runPolls(ctx, wq)
	for range sendersPerWorker {
		go di.runOrders(ctx, wq)
	}
	return wq
}

// Forget ends the queue of a worker that the scheduler has no more orders for. It
// is not safe for use beside Dispatch.
func (di *Dispatcher) Forget(id modeller.WorkerID) {
	if wq, ok := di.queues[id]; ok {
		wq.end()
		delete(di.queues, id)
		di.workers.Forget(id)
	}
}

func (di *Dispatcher) enqueue(ctx context.Context, id modeller.WorkerID, to distributor.TimedOrder) {
	select {
	case di.queueOf(ctx, id).orders <- to:
	default:
		di.logger.Error("order dropped: the worker's order queue is full", zap.String("worker", string(id)), zap.Int("waiting", orderQueueSize))
		go di.emitNotSent(to.Order)
	}
}

// isExpired reports whether the permission to send an order has run out.
func isExpired(to distributor.TimedOrder) bool {
	return !timekeeper.Now().Before(to.ValidUntil)
}

func (di *Dispatcher) runPolls(ctx context.Context, wq *workerQueue) {
	for {
		select {
		case to := <-wq.polls:
			if po, ok := to.Order.(allocator.PollOrder); ok {
				di.poll(ctx, po, isExpired(to))
			}
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) poll(ctx context.Context, po allocator.PollOrder, isExpired bool) {
	if isExpired {
		di.emitNotSent(po)
		return
	}
	sentAt := timekeeper.Now()
	report, err := di.workers.Poll(ctx, endpointOf(po.Worker), adapter.PollRequest{
		FencingToken:        po.Worker.FencingToken(di.epoch),
		LeaseEnd:            po.LeaseEnd,
		LastAcknowledgedEnd: po.AcknowledgedEnds,
		Wait:                po.Wait,
	})
	if err != nil {
		di.logger.Info("poll of a worker failed", zap.String("worker", string(po.Worker.ID)), zap.Duration("leaseEnd", po.LeaseEnd), zap.Int64("acknowledgedEnds", po.AcknowledgedEnds), zap.Error(err))
		di.emit(allocator.PollFailed{
			Worker:  po.Worker.ID,
			SentAt:  sentAt,
			Outcome: OutcomeOf(err),
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

func (di *Dispatcher) execute(ctx context.Context, to distributor.TimedOrder) {
	if isExpired(to) {
		di.emitNotSent(to.Order)
		return
	}
	switch od := to.Order.(type) {
	case allocator.StartOrder:
		clock, err := di.workers.Start(ctx, endpointOf(od.Worker), adapter.StartOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			Payload:      od.Payload,
			Checkpoint:   od.Checkpoint,
			Ticket:       od.Ticket,
			LeaseEnd:     od.LeaseEnd,
			FencingToken: od.Worker.FencingToken(di.epoch),
		})
		di.logOrder("start", od.Worker, od.Task, od.Attempt, err, zap.Duration("reportAge", od.ReportAge), zap.Int("freeMilliCores", od.FreeMilliCores), zap.Duration("leaseEnd", od.LeaseEnd), zap.Duration("clock", clock))
		di.emit(allocator.StartResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: OutcomeOf(err),
			Clock:   clock,
		})
	case allocator.StopOrder:
		err := di.workers.Stop(ctx, endpointOf(od.Worker), adapter.StopOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			FencingToken: od.Worker.FencingToken(di.epoch),
		})
		di.logOrder("stop", od.Worker, od.Task, od.Attempt, err)
		di.emit(allocator.StopResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: OutcomeOf(err),
		})
	case allocator.PaceOrder:
		err := di.workers.Pace(ctx, endpointOf(od.Worker), adapter.PaceOrder{
			Task:         od.Task,
			Attempt:      od.Attempt,
			Percent:      od.Percent,
			FencingToken: od.Worker.FencingToken(di.epoch),
		})
		di.logOrder("pace", od.Worker, od.Task, od.Attempt, err)
		di.emit(allocator.PaceResult{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: OutcomeOf(err),
		})
	}
}

func (di *Dispatcher) logOrder(order string, worker modeller.Worker, task modeller.TaskName, attempt int, err error, extra ...zap.Field) {
	fields := append([]zap.Field{zap.String("worker", string(worker.ID)), zap.Stringer("task", task), zap.Int("attempt", attempt), zap.Uint64("fence", worker.FencingToken(di.epoch))}, extra...)
	if err != nil {
		di.logger.Warn(order+" order rejected or its outcome is unknown", append(fields, zap.Error(err))...)
		return
	}
	di.logger.Info(order, fields...)
}

func endpointOf(wk modeller.Worker) adapter.Endpoint {
	return adapter.Endpoint{
		Worker:      wk.ID,
		Address:     wk.Address,
		StartedAtMS: wk.StartedAtMS,
	}
}
