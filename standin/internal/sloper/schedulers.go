package sloper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

const slotsPerTarget = 8

// measureSchedulers measures the decisions and the memory of an entry.
func measureSchedulers(context.Context) ([]*series, error) {
	settings, err := configurer.Parse([]byte(settingsSource(1)))
	if err != nil {
		return nil, err
	}
	config := scheduler.ConfigOf(settings.Services[poolName(0)])
	config.MaxQueueDelay = time.Hour
	config.TargetQueueDelay = time.Hour
	config.MaxQueued = 1 << 20
	var (
		decision = &series{name: "schedulerDecision", unit: "µs", per: "target"}
		services = &series{name: "schedulerHeap", unit: "B", per: "service"}
		targets  = &series{name: "schedulerTargetHeap", unit: "B", per: "target"}
		queued   = &series{name: "queuedRequestHeap", unit: "B", per: "request"}
	)
	for _, size := range sizes {
		at := float64(size)
		decision.add(at, decisionTime(config, size))
		targets.add(at, growth(func() any { return newScheduler(config, size) }))
		services.add(at, growth(func() any {
			built := make([]scheduler.Scheduler, 0, size)
			for range size {
				built = append(built, newScheduler(config, vmsPerPool))
			}
			return built
		}))
		const requestsPerSize = 64
		queued.add(at*requestsPerSize, growth(func() any { return queueUp(config, size*requestsPerSize) }))
	}
	return []*series{decision, services, targets, queued}, nil
}

func newScheduler(config scheduler.Config, targets int) scheduler.Scheduler {
	sc := scheduler.New(config, scheduler.WithRandom(rand.New(rand.NewPCG(1, 2))))
	list := make([]scheduler.Target, 0, targets)
	for idx := range targets {
		list = append(list, scheduler.Target{
			VM:    fmt.Sprintf("a-%04d", idx),
			Rack:  fmt.Sprintf("a-r%03d", idx/vmsPerRack),
			Slots: slotsPerTarget,
		})
	}
	sc.SetTargets(begin, list)
	return sc
}

// queueUp returns a scheduler with waiting requests and no target.
func queueUp(config scheduler.Config, requests int) scheduler.Scheduler {
	sc := newScheduler(config, 0)
	for idx := range requests {
		sc.Submit(begin, request(uint64(idx+1)))
	}
	return sc
}

func request(id uint64) scheduler.Request {
	const urgencies = 4
	return scheduler.Request{
		ID:       scheduler.RequestID(id),
		Urgency:  int(id % urgencies),
		Deadline: begin.Add(time.Hour),
	}
}

// decisionTime returns the time of one Submit and one Finish, with half of the
// slots in use.
func decisionTime(config scheduler.Config, targets int) float64 {
	sc := newScheduler(config, targets)
	now := begin
	id := uint64(0)
	var running []scheduler.Attempt
	submit := func() {
		id++
		for _, an := range sc.Submit(now, request(id)) {
			if st, ok := an.(scheduler.Start); ok {
				running = append(running, st.Attempt)
			}
		}
	}
	for range targets * slotsPerTarget / 2 {
		submit()
	}
	return timeOf(func() {
		now = now.Add(time.Microsecond)
		submit()
		sc.Finish(now, running[0], scheduler.Succeeded, time.Millisecond)
		running = running[1:]
	})
}
