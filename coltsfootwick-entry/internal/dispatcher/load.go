package dispatcher

import (
	"sync"
	"sync/atomic"

	"coltsfootwick.example/shared/fleet/surveyor"
)

// load counts what the dispatcher has at each target, for the stewards. The
// dispatcher's goroutine changes it; it is read from any.
type load struct {
	running sync.Map // VM name to *atomic.Int64
	leaving atomic.Pointer[map[string]bool]
	urgent  atomic.Int64
}

func (ld *load) begin(vm string) {
	count, ok := ld.running.Load(vm)
	if !ok {
		count, _ = ld.running.LoadOrStore(vm, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(1)
}

func (ld *load) end(vm string) {
	if count, ok := ld.running.Load(vm); ok {
		count.(*atomic.Int64).Add(-1)
	}
}

// assign takes the list of targets. Targets that are no longer listed stay
// until nothing runs there.
func (ld *load) assign(targets []Target) {
	leaving := make(map[string]bool, len(targets))
	for _, tt := range targets {
		leaving[tt.Scheduled.VM] = tt.Scheduled.Leaving && !tt.ByWord
	}
	ld.leaving.Store(&leaving)
	ld.running.Range(func(vm, count any) bool {
		if _, listed := leaving[vm.(string)]; !listed && count.(*atomic.Int64).Load() == 0 {
			ld.running.Delete(vm)
		}
		return true
	})
}

// Load returns what the dispatcher has at each target, and the urgent demand
// that it sees: the urgent requests that run or wait.
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
	dr.load.running.Range(func(vm, count any) bool {
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
			UrgentSlots: float64(dr.load.urgent.Load()),
		}},
	}
	for _, tl := range targets {
		ld.Targets = append(ld.Targets, tl)
	}
	return ld
}
