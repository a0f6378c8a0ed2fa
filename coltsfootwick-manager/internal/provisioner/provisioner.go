// Package provisioner sends the scheduler's orders to the VM interface and the
// advice service, and reports their outcomes as events.
package provisioner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/dispatcher"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/timekeeper"
)

const (
	// vmOrderQueueSize is the capacity of the queue of VM orders.
	vmOrderQueueSize = 128
	// vmSenders is the maximum number of VM orders in flight.
	vmSenders = 4
	// adviceMargin is added to the timeout of an advice call for the time that
	// the service takes for the calls queued before it.
	adviceMargin = 2 * time.Second
)

// Provisioner sends the orders of one holder of the scheduler's duty.
type Provisioner struct {
	vms          *adapter.VMs
	adviser      *adapter.Adviser
	holder       adapter.Holder
	isHeld       func() bool
	emit         func(ev allocator.Event)
	logger       *zap.Logger
	vmOrders     chan allocator.Order
	adviceOrders chan allocator.AdviceOrder
}

// Settings holds the dependencies and parameters of a Provisioner.
type Settings struct {
	// VMs is the client of the VM interface, and Adviser that of the advice
	// service.
	VMs     *adapter.VMs
	Adviser *adapter.Adviser
	// Holder identifies the duty holder. Orders that change a VM are sent only while
	// its duty is confirmed.
	Holder adapter.Holder
	// IsHeld reports whether the duty is still held. It is checked before the calls
	// that change nothing: lists of the VMs and requests for advice.
	IsHeld func() bool
	// Emit receives an event with the outcome of each order and may block.
	Emit func(ev allocator.Event)
	// Logger logs each order.
	Logger *zap.Logger
}

// New returns a Provisioner.
func New(st Settings) *Provisioner {
	return &Provisioner{
		vms:          st.VMs,
		adviser:      st.Adviser,
		holder:       st.Holder,
		isHeld:       st.IsHeld,
		emit:         st.Emit,
		logger:       st.Logger,
		vmOrders:     make(chan allocator.Order, vmOrderQueueSize),
		adviceOrders: make(chan allocator.AdviceOrder, 1),
	}
}

// Start starts the goroutines that send orders. They run until the context is
// done.
func (pr *Provisioner) Start(ctx context.Context) {
	for range vmSenders {
		go pr.runVMOrders(ctx)
	}
	go pr.runAdviceOrders(ctx)
}

// Dispatch queues VM and advice orders; it ignores others. It does not wait for
// their outcomes.
func (pr *Provisioner) Dispatch(orders []allocator.Order) {
	for _, od := range orders {
		switch od := od.(type) {
		case allocator.AdviceOrder:
			pr.adviceOrders <- od
		case allocator.VMOrder, allocator.ListVMsOrder:
			select {
			case pr.vmOrders <- od:
			default:
				pr.logger.Error("VM order dropped: the queue of VM orders is full", zap.Int("waiting", vmOrderQueueSize))
				go pr.emitNotSent(od)
			}
		}
	}
}

// emitNotSent reports that a VM order was not sent.
func (pr *Provisioner) emitNotSent(od allocator.Order) {
	switch od := od.(type) {
	case allocator.VMOrder:
		pr.emit(allocator.VMOrderResult{
			Order:   od,
			Outcome: allocator.NotSent,
		})
	case allocator.ListVMsOrder:
		pr.emit(allocator.VMsListed{})
	}
}

func (pr *Provisioner) runVMOrders(ctx context.Context) {
	for {
		select {
		case od := <-pr.vmOrders:
			pr.executeVMOrder(ctx, od)
		case <-ctx.Done():
			return
		}
	}
}

// executeVMOrder carries out an order that may have waited in the queue, so that the
// duty may have passed to another holder since it was planned.
func (pr *Provisioner) executeVMOrder(ctx context.Context, od allocator.Order) {
	switch od := od.(type) {
	case allocator.ListVMsOrder:
		if !pr.isHeld() {
			pr.emitNotSent(od)
			return
		}
		sentAt := timekeeper.Now()
		vms, err := pr.listVMs(ctx)
		if err != nil {
			pr.logger.Warn("listing the VMs failed", zap.Error(err))
		}
		pr.emit(allocator.VMsListed{
			VMs:         vms,
			RequestedAt: sentAt,
		})
	case allocator.VMOrder:
		if !pr.holder.IsConfirmed() {
			pr.logger.Info("VM order not sent: the duty is not confirmed", zap.String("vm", od.VM), zap.String("pool", od.Pool), zap.Int64("wave", od.Wave), zap.Uint64("fence", pr.holder.FencingToken))
			pr.emitNotSent(od)
			return
		}
		var err error
		if od.Pool != "" {
			err = pr.vms.Move(ctx, pr.holder, od.VM, od.Pool)
		} else {
			err = pr.vms.Maintain(ctx, pr.holder, od.VM, od.Wave)
		}
		pr.logger.Info("VM order finished", zap.String("vm", od.VM), zap.String("pool", od.Pool), zap.Int64("wave", od.Wave), zap.Uint64("fence", pr.holder.FencingToken), zap.Error(err))
		pr.emit(allocator.VMOrderResult{
			Order:   od,
			Outcome: dispatcher.OutcomeOf(err),
		})
	}
}

// listVMs lists the VMs. Invalid entries are logged with the first of their errors.
func (pr *Provisioner) listVMs(ctx context.Context) ([]modeller.VM, error) {
	invalid := 0
	var first error
	vms, err := pr.vms.List(ctx, func(err error) {
		invalid++
		if first == nil {
			first = err
		}
	})
	if invalid > 0 {
		pr.logger.Warn("entries of the list of VMs cannot be decoded", zap.Int("entries", invalid), zap.Error(first))
	}
	return vms, err
}

func (pr *Provisioner) runAdviceOrders(ctx context.Context) {
	for {
		select {
		case ao := <-pr.adviceOrders:
			tickets, isAnswered := pr.advise(ctx, ao)
			pr.emit(allocator.AdviceResult{
				Task:    ao.Task,
				Tickets: tickets,
				Failed:  !isAnswered,
			})
		case <-ctx.Done():
			return
		}
	}
}

// advise requests advice. It reports whether the service has answered.
func (pr *Provisioner) advise(ctx context.Context, ao allocator.AdviceOrder) (map[modeller.WorkerID]string, bool) {
	if !pr.isHeld() {
		return nil, false
	}
	timeout := ao.Advice.DecisionTime + time.Duration(len(ao.Workers))*ao.Advice.TimePerWorker + adviceMargin
	tickets, err := pr.adviser.Advise(ctx, ao.Task.StepName(), ao.Workers, timeout, func(err error) {
		pr.logger.Warn("ignoring an invalid row of advice", zap.String("step", ao.Task.StepName()), zap.Error(err))
	})
	if err != nil {
		pr.logger.Warn("advice call failed", zap.String("step", ao.Task.StepName()), zap.Error(err))
		return nil, false
	}
	pr.logger.Info("advice received", zap.String("step", ao.Task.StepName()), zap.Int("workers", len(ao.Workers)), zap.Int("permitted", len(tickets)))
	return tickets, true
}
