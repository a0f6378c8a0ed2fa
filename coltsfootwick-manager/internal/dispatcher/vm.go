package dispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/timekeeper"
)

func (di *Dispatcher) runVMs(ctx context.Context) {
	for {
		select {
		case od := <-di.vms:
			di.carryOutVM(ctx, od)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) carryOutVM(ctx context.Context, od allocator.Order) {
	if !di.isHeld() {
		di.tellNotSent(od)
		return
	}
	switch od := od.(type) {
	case allocator.ListVMsOrder:
		askedAt := timekeeper.Now()
		vms, err := di.platform.VMs.List(ctx)
		if err != nil {
			di.logger.Warn("list of VMs failed", zap.Error(err))
		}
		di.tell(allocator.VMsListed{
			VMs:     vms,
			AskedAt: askedAt,
		})
	case allocator.VMOrder:
		hd := adapter.Holder{
			Name:  di.node,
			Fence: di.fence,
		}
		var err error
		if od.Pool != "" {
			err = di.platform.VMs.Move(ctx, hd, od.VM, od.Pool)
		} else {
			err = di.platform.VMs.Maintain(ctx, hd, od.VM, od.Wave)
		}
		di.logger.Info("order of a VM", zap.String("vm", od.VM), zap.String("pool", od.Pool), zap.Int64("wave", od.Wave), zap.Uint64("fence", di.fence), zap.Error(err))
		di.tell(allocator.VMOrderEnded{
			Order:   od,
			Outcome: outcomeOf(err),
		})
	}
}

func (di *Dispatcher) runAdvice(ctx context.Context) {
	for {
		select {
		case ao := <-di.advice:
			timeout := ao.Advice.Decision + time.Duration(len(ao.Workers))*ao.Advice.PerWorker + adviceMargin
			tickets, err := di.platform.Adviser.Advise(ctx, ao.Task.StepName(), ao.Workers, timeout)
			if err != nil {
				di.logger.Warn("advice failed", zap.String("step", ao.Task.StepName()), zap.Error(err))
			}
			di.tell(allocator.Advised{
				Task:    ao.Task,
				Tickets: tickets,
				Failed:  err != nil,
			})
		case <-ctx.Done():
			return
		}
	}
}
