package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/timekeeper"
)

func (di *Dispatcher) runVMOrders(ctx context.Context) {
	for {
		select {
		case od := <-di.vmOrders:
			di.executeVMOrder(ctx, od)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) executeVMOrder(ctx context.Context, od allocator.Order) {
	if !di.isHeld() {
		di.emitNotSent(od)
		return
	}
	switch od := od.(type) {
	case allocator.ListVMsOrder:
		sentAt := timekeeper.Now()
		vms, err := di.platform.VMs.List(ctx)
		if err != nil {
			di.logger.Warn("listing the VMs failed", zap.Error(err))
		}
		di.emit(allocator.VMsListed{
			VMs:         vms,
			RequestedAt: sentAt,
		})
	case allocator.VMOrder:
		hd := adapter.Holder{
			Name:         di.node,
			FencingToken: di.fencingToken,
		}
		var err error
		if od.Pool != "" {
			err = di.platform.VMs.Move(ctx, hd, od.VM, od.Pool)
		} else {
			err = di.platform.VMs.Maintain(ctx, hd, od.VM, od.Wave)
		}
		di.logger.Info("VM order finished", zap.String("vm", od.VM), zap.String("pool", od.Pool), zap.Int64("wave", od.Wave), zap.Uint64("fence", di.fencingToken), zap.Error(err))
		di.emit(allocator.VMOrderResult{
			Order:   od,
			Outcome: outcomeOf(err),
		})
	}
}

func (di *Dispatcher) runAdviseOrders(ctx context.Context) {
	for {
		select {
		case ao := <-di.adviseOrders:
			timeout := ao.Advice.DecisionTime + time.Duration(len(ao.Workers))*ao.Advice.TimePerWorker + adviceMargin
			tickets, err := di.platform.Adviser.Advise(ctx, ao.Task.StepName(), ao.Workers, timeout)
			if err != nil {
				di.logger.Warn("advice call failed", zap.String("step", ao.Task.StepName()), zap.Error(err))
			}
			di.emit(allocator.AdviceResult{
				Task:    ao.Task,
				Tickets: tickets,
				Failed:  err != nil,
			})
		case <-ctx.Done():
			return
		}
	}
}
