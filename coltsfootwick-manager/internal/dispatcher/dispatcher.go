// Package dispatcher sends the scheduler's orders to the workers, the VM
// interface and the advice service, and reports their outcomes as events.
package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

const (
	// orderQueueSize is the capacity of each worker's order queue.
	orderQueueSize = 512
	// sendersPerWorker is the maximum number of orders in flight to a worker.
	sendersPerWorker = 2
	// vmOrderQueueSize is the capacity of the queue of VM orders.
	vmOrderQueueSize = 128
	// maxOrderAge is the maximum time between the decision on an order and its
	// sending; older orders are not sent.
	maxOrderAge = time.Second
	// adviceMargin is added to the timeout of an advice call for the time that
	// the service takes for the calls queued before it.
	adviceMargin = 2 * time.Second
)

// Platform holds the clients through which orders are sent.
type Platform struct {
	// Workers is the client of the workers.
	Workers *adapter.Workers
	// VMs is the client of the VM interface.
	VMs *adapter.VMs
	// Adviser is the client of the advice service.
	Adviser *adapter.Adviser
}

// Dispatcher sends the orders of one holder of the scheduler's duty.
type Dispatcher struct {
	platform     Platform
	node         string
	fencingToken uint64
	isHeld       func() bool
	emit         func(ev allocator.Event)
	logger       *zap.Logger
	queues       map[modeller.WorkerID]*workerQueue
	vmOrders     chan allocator.Order
	adviseOrders chan allocator.AdviceOrder
}

// New returns a Dispatcher for the duty holder on node, which has the given
// fencing token. isHeld reports whether the duty is still held; it is checked
// before each order to a worker or the VM interface. emit receives an event with
// the outcome of each order and may block.
func New(platform Platform, node string, fencingToken uint64, isHeld func() bool, emit func(ev allocator.Event), logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		platform:     platform,
		node:         node,
		fencingToken: fencingToken,
		isHeld:       isHeld,
		emit:         emit,
		logger:       logger,
		queues:       map[modeller.WorkerID]*workerQueue{},
		vmOrders:     make(chan allocator.Order, vmOrderQueueSize),
		adviseOrders: make(chan allocator.AdviceOrder, 1),
	}
}

// Start starts the goroutines for VM orders and advice calls. They run until
// the context is done.
func (di *Dispatcher) Start(ctx context.Context) {
	go di.runVMOrders(ctx)
	go di.runAdviseOrders(ctx)
}

// Dispatch queues orders to be sent. It does not wait for their outcomes and is
// not safe for concurrent use.
func (di *Dispatcher) Dispatch(ctx context.Context, now time.Time, orders []allocator.Order) {
	for _, od := range orders {
		switch od := od.(type) {
		case allocator.PollOrder:
			di.queueOf(ctx, od.Worker.ID).polls <- od
		case allocator.StartOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.StopOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.PaceOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.AdviceOrder:
			di.adviseOrders <- od
		case allocator.VMOrder, allocator.ListVMsOrder:
			select {
			case di.vmOrders <- od:
			default:
				di.logger.Error("VM order dropped: the queue of VM orders is full", zap.Int("waiting", vmOrderQueueSize))
				go di.emitNotSent(od)
			}
		}
	}
}
