// Package dispatcher sends orders to the workers that a manager keeps, and reports
// their outcomes as events.
package dispatcher

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// orderQueueSize is the capacity of each worker's order queue.
	orderQueueSize = 512
	// sendersPerWorker is the maximum number of orders in flight to a worker.
	sendersPerWorker = 2
)

// Dispatcher sends the orders of one holder of the scheduler's duty to workers.
type Dispatcher struct {
	workers *adapter.Workers
	epoch   uint64
	emit    func(ev allocator.Event)
	logger  *zap.Logger
	queues  map[modeller.WorkerID]*workerQueue
}

// New returns a Dispatcher for the duty holder of an epoch. emit
// receives an event with the outcome of each order and must not block.
func New(workers *adapter.Workers, epoch uint64, emit func(ev allocator.Event), logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		workers: workers,
		epoch:   epoch,
		emit:    emit,
		logger:  logger,
		queues:  map[modeller.WorkerID]*workerQueue{},
	}
}

// Dispatch queues an order to be sent. It does not wait for the outcome and is not
// safe for concurrent use. The queues end with the context.
func (di *Dispatcher) Dispatch(ctx context.Context, to distributor.TimedOrder) {
	switch od := to.Order.(type) {
	case allocator.PollOrder:
		select {
		case di.queueOf(ctx, od.Worker.ID).polls <- to:
		default:
			// The scheduler sends the next poll after the outcome of the last.
			go di.emitNotSent(od)
		}
	case allocator.StartOrder:
		di.enqueue(ctx, od.Worker.ID, to)
	case allocator.StopOrder:
		di.enqueue(ctx, od.Worker.ID, to)
	case allocator.PaceOrder:
		di.enqueue(ctx, od.Worker.ID, to)
	}
}
