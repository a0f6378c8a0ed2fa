package soaker

import (
	"time"

	"coltsfootwick.example/standin/internal/interposer"
	"coltsfootwick.example/standin/internal/provider"
)

// LinkKind is the kind of a link.
type LinkKind string

// The kinds of links.
const (
	// linkFront is between the callers and a manager, linkStore between a manager
	// and the store, and linkWorker between the managers and the worker of a VM.
	linkFront  LinkKind = "callers"
	linkStore  LinkKind = "store"
	linkWorker LinkKind = "workers"
)

// LinkFault is a fault of the connections over a link for a time.
type LinkFault struct {
	Kind LinkKind
	// Manager or VM is the end of the link.
	Manager  int
	VM       string
	Fault    interposer.Fault
	Duration time.Duration
}

// WorkerFault is a fault of the calls of a worker for a time.
type WorkerFault struct {
	VM       string
	Fault    provider.WorkerFault
	Duration time.Duration
}

// Drain lists a worker as draining until it leaves, and starts another.
type Drain struct {
	VM                 string
	Remaining, Restart time.Duration
}

func (LinkFault) isEvent()   {}
func (WorkerFault) isEvent() {}
func (Drain) isEvent()       {}

// The sizes of the faults of links and workers.
const (
	maxLinkFault   = 5 * time.Second
	maxLinkDelay   = 150 * time.Millisecond
	maxLateOrder   = 4 * time.Second
	maxFaultyShare = 0.5
	maxDrain       = 3 * time.Second
	maxLinkGap     = 2500 * time.Millisecond
	maxClockOffset = 10 * time.Minute
	maxClockDrift  = 0.02
	maxWallOffset  = 2 * time.Second
)

// clock returns the error of a worker's clocks.
func (pr *planner) clock() provider.Clock {
	return provider.Clock{
		Offset:     pr.until(0, maxClockOffset),
		Drift:      maxClockDrift * pr.rand.Float64(),
		WallOffset: pr.until(-maxWallOffset, maxWallOffset),
	}
}

// drawLinkMoments draws the faults of links and workers, in series of their own.
func (pr *planner) drawLinkMoments() []Moment {
	var moments []Moment
	at := pr.until(time.Second, 3*time.Second)
	for at < pr.plan.Duration {
		for end := at + pr.until(time.Second, maxBurst); at < end && at < pr.plan.Duration; at += pr.until(0, maxLinkGap) {
			moments = append(moments, Moment{
				At:    at,
				Event: pr.linkEvent(),
			})
		}
		at += pr.until(0, maxCalm)
	}
	return moments
}

func (pr *planner) linkEvent() Event {
	vm := pr.plan.VMs[pr.rand.IntN(len(pr.plan.VMs))].Name
	duration := pr.until(100*time.Millisecond, maxLinkFault)
	switch kind := pr.rand.IntN(8); kind {
	case 0:
		return Drain{
			VM:        vm,
			Remaining: pr.until(0, maxDrain),
			Restart:   pr.until(0, maxRestart),
		}
	case 1, 2:
		return WorkerFault{
			VM:       vm,
			Fault:    pr.workerFault(),
			Duration: duration,
		}
	default:
		lf := LinkFault{
			Kind:     []LinkKind{linkFront, linkStore, linkWorker}[kind%3],
			Manager:  pr.manager(),
			Fault:    pr.linkFault(),
			Duration: duration,
		}
		if lf.Kind == linkWorker {
			lf.VM = vm
		}
		return lf
	}
}

func (pr *planner) linkFault() interposer.Fault {
	direction := []interposer.Direction{interposer.Both, interposer.Forward, interposer.Backward}[pr.rand.IntN(3)]
	switch pr.rand.IntN(5) {
	case 0:
		return interposer.Silence{}
	case 1:
		return interposer.Reset{}
	case 2:
		return interposer.Delay{
			Direction: direction,
			Duration:  pr.until(time.Millisecond, maxLinkDelay),
			Jitter:    pr.until(time.Millisecond, maxLinkDelay),
		}
	default:
		return interposer.Cut{
			Direction: direction,
		}
	}
}

func (pr *planner) workerFault() provider.WorkerFault {
	share := maxFaultyShare * pr.rand.Float64()
	switch pr.rand.IntN(3) {
	case 0:
		return provider.LostAnswers{
			Share: share,
		}
	case 1:
		return provider.LateOrders{
			Share:  share,
			Delay:  pr.until(0, maxLateOrder/2),
			Jitter: maxLateOrder / 2,
		}
	default:
		return provider.RefusedOrders{
			Share:  share,
			Status: []int{429, 503}[pr.rand.IntN(2)],
		}
	}
}
