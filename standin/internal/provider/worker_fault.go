package provider

import (
	"slices"
	"time"
)

// WorkerFault is a fault of a VM's workers: LostAnswers, LateOrders, RefusedOrders,
// FailingRuns, HangingRuns or SlowRuns. A share is a fraction from 0 to 1.
type WorkerFault interface{ isWorkerFault() }

// LostAnswers closes the connection after a share of the calls have taken effect.
type LostAnswers struct {
	// Share is the share of the calls.
	Share float64
}

// LateOrders answers a share of the calls by nothing and carries them out late,
// unless the worker has stopped by then.
type LateOrders struct {
	// Share is the share of the calls.
	Share float64
	// Delay is the shortest delay, and Jitter the range of what is added at random.
	Delay, Jitter time.Duration
}

// RefusedOrders refuses a share of the calls, which then have no effect.
type RefusedOrders struct {
	// Share is the share of the calls.
	Share float64
	// Status is the status of the answers: 429 or 503.
	Status int
}

// FailingRuns makes a share of the runs fail that are started while it is in force.
type FailingRuns struct {
	// Share is the share of the runs.
	Share float64
}

// HangingRuns makes a share of the runs hang that are started while it is in force.
type HangingRuns struct {
	// Share is the share of the runs.
	Share float64
}

// SlowRuns slows the runs down that are started while it is in force.
type SlowRuns struct {
	// Factor is the factor by which the runs take longer.
	Factor float64
}

func (LostAnswers) isWorkerFault()   {}
func (LateOrders) isWorkerFault()    {}
func (RefusedOrders) isWorkerFault() {}
func (FailingRuns) isWorkerFault()   {}
func (HangingRuns) isWorkerFault()   {}
func (SlowRuns) isWorkerFault()      {}

// SetWorkerFaults replaces the faults of a VM's workers.
func (pv *Provider) SetWorkerFaults(name string, faults ...WorkerFault) {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	pv.vms[name].faults = slices.Clone(faults)
}

// applyRunFaults draws how the next run that a VM's worker starts behaves.
func (pv *Provider) applyRunFaults(machine *vm) {
	wk := machine.worker
	wk.IsFailing, wk.IsHanging, wk.Slowness = false, false, 1
	for _, ft := range machine.faults {
		switch ft := ft.(type) {
		case FailingRuns:
			wk.IsFailing = wk.IsFailing || pv.random.Float64() < ft.Share
		case HangingRuns:
			wk.IsHanging = wk.IsHanging || pv.random.Float64() < ft.Share
		case SlowRuns:
			wk.Slowness *= ft.Factor
		case LostAnswers, LateOrders, RefusedOrders:
			// These affect calls.
		}
	}
}
