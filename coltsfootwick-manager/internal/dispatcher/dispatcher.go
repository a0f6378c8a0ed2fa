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
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
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

// lane takes the orders of one worker.
type lane struct {
	looks  chan allocator.LookOrder
	orders chan timedOrder
}

// timedOrder is an order with the time at which it was decided.
type timedOrder struct {
	order     allocator.Order
	decidedAt time.Time
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
		case allocator.LookOrder:
			di.lane(ctx, od.Worker.ID).looks <- od
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

func (di *Dispatcher) enqueue(ctx context.Context, now time.Time, id modeller.WorkerID, od allocator.Order) {
	select {
	case di.lane(ctx, id).orders <- timedOrder{order: od, decidedAt: now}:
	default:
		di.logger.Error("order of a worker dropped", zap.String("worker", string(id)), zap.Int("waiting", ringOrders))
		go di.tellNotSent(od)
	}
}

// lane returns the lane of a worker, with its goroutines running.
func (di *Dispatcher) lane(ctx context.Context, id modeller.WorkerID) *lane {
	ln, ok := di.lanes[id]
	if ok {
		return ln
	}
	ln = &lane{
		looks:  make(chan allocator.LookOrder, 1),
		orders: make(chan timedOrder, ringOrders),
	}
	di.lanes[id] = ln
	go di.runLooks(ctx, ln)
	for range sendersPerWorker {
		go di.runOrders(ctx, ln)
	}
	return ln
}

func (di *Dispatcher) runLooks(ctx context.Context, ln *lane) {
	for {
		select {
		case lo := <-ln.looks:
			di.look(ctx, lo)
		case <-ctx.Done():
			return
		}
	}
}

func (di *Dispatcher) look(ctx context.Context, lo allocator.LookOrder) {
	if !di.isHeld() {
		return
	}
	sentAt := timekeeper.Now()
	report, err := di.platform.Workers.Look(ctx, placeOf(lo.Worker), adapter.Look{
		Fence:            di.fence,
		LeaseEnd:         lo.LeaseEnd,
		AcknowledgedEnds: lo.AcknowledgedEnds,
		Wait:             lo.Wait,
	})
	if err != nil {
		di.logger.Info("look failed", zap.String("worker", string(lo.Worker.ID)), zap.Error(err))
		di.tell(allocator.LookFailed{
			Worker:  lo.Worker.ID,
			SentAt:  sentAt,
			Outcome: outcomeOf(err),
		})
		return
	}
	di.tell(allocator.Reported{
		Worker:     lo.Worker.ID,
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
		di.log("start", od.Worker.ID, od.Task, od.Attempt, err)
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

func (di *Dispatcher) log(order string, worker modeller.WorkerID, task modeller.TaskName, attempt int, err error) {
	fields := []zap.Field{zap.String("worker", string(worker)), zap.Stringer("task", task), zap.Int("attempt", attempt), zap.Uint64("fence", di.fence)}
	if err != nil {
		di.logger.Warn(order+" refused or in doubt", append(fields, zap.Error(err))...)
		return
	}
	di.logger.Info(order, fields...)
}

// tellNotSent tells that an order has not left.
func (di *Dispatcher) tellNotSent(od allocator.Order) {
	switch od := od.(type) {
	case allocator.StartOrder:
		di.tell(allocator.StartEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.StopOrder:
		di.tell(allocator.StopEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Outcome: allocator.NotSent,
		})
	case allocator.PaceOrder:
		di.tell(allocator.PaceEnded{
			Worker:  od.Worker.ID,
			Task:    od.Task,
			Attempt: od.Attempt,
			Percent: od.Percent,
			Outcome: allocator.NotSent,
		})
	case allocator.VMOrder:
		di.tell(allocator.VMOrderEnded{
			Order:   od,
			Outcome: allocator.NotSent,
		})
	case allocator.ListVMsOrder:
		di.tell(allocator.VMsListed{})
	}
}

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
			err = di.platform.VMs.Upkeep(ctx, hd, od.VM, od.Wave)
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

func placeOf(wk modeller.Worker) adapter.Place {
	return adapter.Place{
		Worker:  wk.ID,
		Address: wk.Address,
	}
}

// outcomeOf returns the outcome that an error's code stands for.
func outcomeOf(err error) allocator.Outcome {
	switch classifier.CodeOf(err) {
	case classifier.OK:
		return allocator.Accepted
	case classifier.OrderFenced:
		return allocator.Fenced
	case classifier.AttemptOutdated:
		return allocator.Outdated
	case classifier.OrderLate:
		return allocator.Late
	case classifier.NoRoom:
		return allocator.Full
	case classifier.TicketInvalid:
		return allocator.BadTicket
	case classifier.WorkerReplaced:
		return allocator.Replaced
	case classifier.WorkerUnhealthy:
		return allocator.Unhealthy
	case classifier.WorkerUnreachable, classifier.PlatformRateLimited, classifier.PlatformUnavailable:
		return allocator.NotSent
	case classifier.OrderMalformed, classifier.WaveMismatch:
		return allocator.Malformed
	case classifier.VMBusy:
		return allocator.Busy
	}
	return allocator.Unanswered
}
