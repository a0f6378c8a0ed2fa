package dispatcher

import (
	"sync"
	"sync/atomic"

	"coltsfootwick.example/shared/fleet/surveyor"
)

// loadTracker counts the attempts in flight at each target and the urgent demand,
// for the stewards. Only the dispatcher's goroutine changes it; any goroutine may
// read it.
type loadTracker struct {
	inFlight       sync.Map // VM name to *atomic.Int64
	leaving        atomic.Pointer[map[string]bool]
	urgentRequests atomic.Int64
}

func (ld *loadTracker) attemptStarted(vm string) {
	count, ok := ld.inFlight.Load(vm)
	if !ok {
		count, _ = ld.inFlight.LoadOrStore(vm, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(1)
}

func (ld *loadTracker) attemptEnded(vm string) {
	if count, ok := ld.inFlight.Load(vm); ok {
		count.(*atomic.Int64).Add(-1)
	}
}

// setTargets replaces the list of targets. A target that is no longer listed is
// kept until it has no attempt in flight.
func (ld *loadTracker) setTargets(targets []Target) {
	leaving := make(map[string]bool, len(targets))
	for _, tt := range targets {
		leaving[tt.Scheduled.VM] = tt.Scheduled.Leaving && !tt.LeavingByPeersOnly
	}
	ld.leaving.Store(&leaving)
	ld.inFlight.Range(func(vm, count any) bool {
		if _, listed := leaving[vm.(string)]; !listed && count.(*atomic.Int64).Load() == 0 {
			ld.inFlight.Delete(vm)
		}
		return true
	})
}

// Load returns the attempts in flight at each target and the urgent demand: the
// number of urgent requests queued or in flight.
func (dr *Dispatcher) Load() surveyor.Load {
	targets := map[string]surveyor.TargetLoad{}
	if leaving := dr.load.leaving.Load(); leaving != nil {
		for vm, isLeaving := range *leaving {
			targets[vm] = surveyor.TargetLoad{
				VM:      vm,
				Leaving: isLeaving,
			}
		}
	}
	dr.load.inFlight.Range(func(vm, count any) bool {
		name := vm.(string)
		tl, listed := targets[name]
		if !listed {
			tl = surveyor.TargetLoad{
				VM:      name,
				Leaving: true,
			}
		}
		tl.InFlight = int(count.(*atomic.Int64).Load())
		targets[name] = tl
		return true
	})
	ld := surveyor.Load{
		Pools: []surveyor.PoolLoad{{
			Pool:        dr.Service().Pool,
			UrgentSlots: float64(dr.load.urgentRequests.Load()),
		}},
	}
	for _, tl := range targets {
		ld.Targets = append(ld.Targets, tl)
	}
	return ld
}
