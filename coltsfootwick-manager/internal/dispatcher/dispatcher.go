// Package dispatcher carries out the scheduler's orders at the workers, at the
// VM interface and at the advice service, and tells what became of them.
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
	// ringOrders is how many orders of a worker wait.
	ringOrders = 512
	// sendersPerWorker is how many orders of a worker are under way at once.
	sendersPerWorker = 2
	// ringVMOrders is how many orders of VMs wait.
	ringVMOrders = 128
	// orderLifetime is how old an order may be when it is sent.
	orderLifetime = time.Second
	// adviceMargin is added to the time that a call for advice takes, for the
	// calls before it.
	adviceMargin = 2 * time.Second
)

// Platform is what orders are carried out at.
type Platform struct {
	// Workers are the workers.
	Workers *adapter.Workers
	// VMs is the VM interface.
	VMs *adapter.VMs
	// Adviser is the advice service.
	Adviser *adapter.Adviser
}

// Dispatcher carries out the orders of one holder.
type Dispatcher struct {
	platform Platform
	node     string
	fence    uint64
	isHeld   func() bool
	tell     func(ev allocator.Event)
	logger   *zap.Logger
	lanes    map[modeller.WorkerID]*lane
	vms      chan allocator.Order
	advice   chan allocator.AdviseOrder
}

// New returns a Dispatcher for a holder with a fencing token. IsHeld is asked
// before each order whether the duty is still held. Tell takes what became of
// the orders; it may wait.
func New(platform Platform, node string, fence uint64, isHeld func() bool, tell func(ev allocator.Event), logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		platform: platform,
		node:     node,
		fence:    fence,
		isHeld:   isHeld,
		tell:     tell,
		logger:   logger,
		lanes:    map[modeller.WorkerID]*lane{},
		vms:      make(chan allocator.Order, ringVMOrders),
		advice:   make(chan allocator.AdviseOrder, 1),
	}
}

// Start starts what is not bound to a worker, until the context is done.
func (di *Dispatcher) Start(ctx context.Context) {
	go di.runVMs(ctx)
	go di.runAdvice(ctx)
}

// Dispatch carries out orders. It doesn't wait, and must not be called by two
// goroutines at once.
func (di *Dispatcher) Dispatch(ctx context.Context, now time.Time, orders []allocator.Order) {
	for _, od := range orders {
		switch od := od.(type) {
		case allocator.PollOrder:
			di.lane(ctx, od.Worker.ID).polls <- od
		case allocator.StartOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.StopOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.PaceOrder:
			di.enqueue(ctx, now, od.Worker.ID, od)
		case allocator.AdviseOrder:
			di.advice <- od
		case allocator.VMOrder, allocator.ListVMsOrder:
			select {
			case di.vms <- od:
			default:
				di.logger.Error("order of a VM dropped", zap.Int("waiting", ringVMOrders))
				go di.tellNotSent(od)
			}
		}
	}
}
