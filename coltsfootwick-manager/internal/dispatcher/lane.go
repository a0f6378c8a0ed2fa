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

// lane takes the orders of one worker.
type lane struct {
	polls  chan allocator.PollOrder
	orders chan timedOrder
}

// lane returns the lane of a worker, with its goroutines running.
func (di *Dispatcher) lane(ctx context.Context, id modeller.WorkerID) *lane {
	ln, ok := di.lanes[id]
	if ok {
		return ln
	}
	ln = &lane{
		polls:  make(chan allocator.PollOrder, 1),
		orders: make(chan timedOrder, ringOrders),
	}
	di.lanes[id] = ln
	go di.runPolls(ctx, ln)
	for range sendersPerWorker {
		go di.runOrders(ctx, ln)
	}
	return ln
}

// timedOrder is an order with the time at which it was decided.
type timedOrder struct {
	order     allocator.Order
	decidedAt time.Time
}

func (di *Dispatcher) enqueue(ctx context.Context, now time.Time, id modeller.WorkerID, od allocator.Order) {
	select {
	case di.lane(ctx, id).orders <- timedOrder{order: od, decidedAt: now}:
	default:
		di.logger.Error("order of a worker dropped", zap.String("worker", string(id)), zap.Int("waiting", ringOrders))
		go di.tellNotSent(od)
	}
}

func (di *Dispatcher) runPolls(ctx context.Context, ln *lane) {
	for {
		select {
		case po := <-ln.polls:
			di.poll(ctx, po)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) poll(ctx context.Context, po allocator.PollOrder) {
	if !di.isHeld() {
		return
	}
	sentAt := timekeeper.Now()
	report, err := di.platform.Workers.Poll(ctx, placeOf(po.Worker), adapter.Poll{
		Fence:            di.fence,
		LeaseEnd:         po.LeaseEnd,
		AcknowledgedEnds: po.AcknowledgedEnds,
		Wait:             po.Wait,
	})
	if err != nil {
		di.logger.Info("poll failed", zap.String("worker", string(po.Worker.ID)), zap.Error(err))
		di.tell(allocator.PollFailed{
			Worker:  po.Worker.ID,
			SentAt:  sentAt,
			Outcome: outcomeOf(err),
		})
		return
	}
	di.tell(allocator.Reported{
		Worker:     po.Worker.ID,
		SentAt:     sentAt,
		ReceivedAt: timekeeper.Now(),
		Report:     report,
	})
}

func (di *Dispatcher) runOrders(ctx context.Context, ln *lane) {
	for {
		select {
		case to := <-ln.orders:
			di.carryOut(ctx, to)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) carryOut(ctx context.Context, to timedOrder) {
	if !di.isHeld() || timekeeper.Now().Sub(to.decidedAt) > orderLifetime {
		di.tellNotSent(to.order)
		return
	}
	switch od := to.order.(type) {
	case allocator.StartOrder:
		err := di.platform.Workers.Start(ctx, placeOf(od.Worker), adapter.StartOrder{
			Task:       od.Task,
			Attempt:    od.Attempt,
			Payload:    od.Payload,
			Checkpoint: od.Checkpoint,
			Ticket:     od.Ticket,
			LeaseEnd:   od.LeaseEnd,
			Fence:      di.fence,
		})
		di.log("start", od.Worker.ID, od.Task, od.Attempt, err, zap.Duration("reportAge", od.ReportAge), zap.Int("freeMilliCores", od.FreeMilliCores))
		di.tell(allocator.StartEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: outcomeOf(err),
		})
	case allocator.StopOrder:
		err := di.platform.Workers.Stop(ctx, placeOf(od.Worker), adapter.StopOrder{
			Task:    od.Task,
			Attempt: od.Attempt,
			Fence:   di.fence,
		})
		di.log("stop", od.Worker.ID, od.Task, od.Attempt, err)
		di.tell(allocator.StopEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: outcomeOf(err),
		})
	case allocator.PaceOrder:
		err := di.platform.Workers.Pace(ctx, placeOf(od.Worker), adapter.PaceOrder{
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Fence:   di.fence,
		})
		di.log("pace", od.Worker.ID, od.Task, od.Attempt, err)
		di.tell(allocator.PaceEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: outcomeOf(err),
		})
	}
}

func (di *Dispatcher) log(order string, worker modeller.WorkerID, task modeller.TaskName, attempt int, err error, inputs ...zap.Field) {
	fields := append([]zap.Field{zap.String("worker", string(worker)), zap.Stringer("task", task), zap.Int("attempt", attempt), zap.Uint64("fence", di.fence)}, inputs...)
	if err != nil {
		di.logger.Warn(order+" refused or in doubt", append(fields, zap.Error(err))...)
		return
	}
	di.logger.Info(order, fields...)
}

func placeOf(wk modeller.Worker) adapter.Place {
	return adapter.Place{
		Worker:  wk.ID,
		Address: wk.Address,
	}
}
