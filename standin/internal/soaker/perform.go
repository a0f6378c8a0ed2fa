package soaker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"coltsfootwick.example/standin/internal/provider"
)

// perform carries out an event. Its effect ends early when the context is done.
func (pl *play) perform(ctx context.Context, event Event) {
	switch ev := event.(type) {
	case Stop:
		pl.managers[ev.Manager].stop(ev)
	case Kill:
		pl.managers[ev.Manager].kill(ev, ev.Restart)
	case KillAll:
		var kills sync.WaitGroup
		for _, mg := range pl.managers {
			kills.Go(func() { mg.kill(ev, ev.Restart) })
		}
		kills.Wait()
	case Freeze:
		pl.managers[ev.Manager].freeze(ctx, ev.Duration)
	case Hangup:
		pl.managers[ev.Manager].hangup()
	case StoreFault:
		pl.disturbStore(ctx, ev)
	case WorkerCrash:
		pl.crash(ctx, ev)
	case WorkerFault:
		pl.disturbWorker(ctx, ev)
	case Drain:
		pl.drain(ctx, ev)
	case LinkFault:
		pl.disturbLink(ctx, ev)
	case Wave:
		pl.stage.Provider().Put(fmt.Sprintf("op/wave/%d", ev.Number), marshal(map[string]any{
			"wave": ev.Number, "machines": ev.VMs, "duration_s": ev.Duration.Seconds(), "cap": ev.Cap}))
	case KeyChange:
		pl.changeKeys(ev)
	case Configured:
		end := pl.disturbances.begin(disturbance{
			manager:   everyManager,
			isPlanned: true,
		})
		pl.configure(ev)
		pause(ctx, configApplyTime)
		end()
	}
}

func (pl *play) disturbStore(ctx context.Context, ev StoreFault) {
	end := pl.disturbances.begin(disturbance{
		manager: ev.Manager,
	})
	defer end()
	heal, err := pl.faults.begin(ev)
	if err != nil {
		pl.report("SOAK", "%v", err)
		return
	}
	pause(ctx, ev.Duration)
	if err := heal(); err != nil {
		pl.report("SOAK", "%v", err)
	}
}

func (pl *play) crash(ctx context.Context, ev WorkerCrash) {
	end := pl.disturbances.begin(disturbance{
		manager: everyManager,
	})
	defer end()
	if ev.Restart == 0 {
		pl.stage.Provider().Lose(ev.VM)
		return
	}
	if ev.KeepsID {
		opts := []provider.RestartOption{provider.WithLateEntry(ev.ListedAfter)}
		if ev.Clock > 0 {
			opts = append(opts, provider.WithNewClock(ev.Clock))
		}
		if ev.Connections != "" {
			opts = append(opts, provider.WithConnections(ev.Connections))
		}
		if ev.KeepsStartTime {
			opts = append(opts, provider.WithSameStartTime())
		}
		pl.stage.Provider().CrashAndKeepID(ev.VM, ev.Restart, opts...)
	} else {
		pl.stage.Provider().Crash(ev.VM, ev.Restart)
	}
	pause(ctx, ev.Restart)
}

// disturbWorker impairs the calls of a worker. Orders that are carried out late are
// part of the disturbance.
func (pl *play) disturbWorker(ctx context.Context, ev WorkerFault) {
	end := pl.disturbances.begin(disturbance{
		manager: everyManager,
	})
	defer end()
	pv := pl.stage.Provider()
	pv.SetWorkerFaults(ev.VM, ev.Fault)
	pause(ctx, ev.Duration)
	pv.SetWorkerFaults(ev.VM)
	if _, isLate := ev.Fault.(provider.LateOrders); isLate {
		time.Sleep(maxLateOrder)
	}
}

// drain lets a worker drain. It leaves in any case, also after the traffic.
func (pl *play) drain(ctx context.Context, ev Drain) {
	end := pl.disturbances.begin(disturbance{
		manager: everyManager,
	})
	defer end()
	pl.stage.Provider().Drain(ev.VM, ev.Remaining, ev.Restart)
	pause(ctx, ev.Remaining+ev.Restart)
}

// disturbLink impairs the connections over a link.
func (pl *play) disturbLink(ctx context.Context, ev LinkFault) {
	name := linkName{
		kind: ev.Kind,
		end:  ev.VM,
	}
	if ev.Kind != linkWorker {
		name.end = pl.managers[ev.Manager].node.Zone
	}
	end := pl.disturbances.begin(disturbance{
		manager:   ev.Manager,
		isProcess: ev.Kind == linkFront,
	})
	defer end()
	pl.links.set(name, ev.Fault)
	pause(ctx, ev.Duration)
	pl.links.set(name)
}
