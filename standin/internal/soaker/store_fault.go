package soaker

import (
	"slices"
	"sync"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/standin/internal/stager"
)

// storeFaults are the faults of the store that are active.
type storeFaults struct {
	keeper *keeper.Keeper
	nodes  []*stager.Node
	seed   uint64

	mu     sync.Mutex
	active []*StoreFault
}

// begin activates a fault until the function returned is called.
func (sf *storeFaults) begin(ev StoreFault) (end func() error, err error) {
	added := &ev
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.active = append(sf.active, added)
	return func() error { return sf.end(added) }, sf.apply()
}

func (sf *storeFaults) end(ev *StoreFault) error {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	if ev.Kind == storeForgotten {
		sf.keeper.DropHistory()
	}
	sf.active = slices.DeleteFunc(sf.active, func(other *StoreFault) bool { return other == ev })
	return sf.apply()
}

// apply sets the faults of the store. They name the managers' availability zones, so
// that workers and operators reach the store in any case.
func (sf *storeFaults) apply() error {
	var faults []keeper.Fault
	for _, ev := range sf.active {
		for number, nd := range sf.nodes {
			if ev.Manager == number || ev.Manager == everyManager {
				faults = append(faults, ev.fault(keeper.Scope{
					Zone:  nd.Zone,
					Share: ev.Share,
					Seed:  sf.seed,
				}))
			}
		}
	}
	return sf.keeper.SetFaults(faults...)
}

// fault returns the fault for the calls of a scope.
func (sf StoreFault) fault(scope keeper.Scope) keeper.Fault {
	switch sf.Kind {
	case storeSlow:
		return keeper.Slow{
			Scope: scope,
			Delay: sf.Delay,
		}
	case storeDown:
		return keeper.Outage{
			Scope: scope,
		}
	case storeAnswerLost:
		return keeper.AnswerLost{
			Scope: scope,
		}
	default:
		return keeper.Partition{
			Scope:  scope,
			Refuse: sf.Kind == storeRefused,
		}
	}
}
