package publisher

import (
	"slices"
	"strings"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
)

// compose returns the targets of an availability zone. Its fleet record says
// which VMs there are, their pools and their states; the platform's lists can
// only add that a VM is leaving. Without a record the lists alone decide.
func compose(record *recorder.Zone, seen *sightings) []registrar.Target {
	if record == nil {
		return composeFromLists(seen)
	}
	targets := make([]registrar.Target, 0, len(record.VMs))
	for _, vm := range record.VMs {
		targets = append(targets, registrar.Target{
			VM:      vm.Name,
			Address: vm.Address,
			Pool:    vm.Pool,
			Rack:    vm.Rack,
			State:   stateOf(vm.State.TakesWork() && !seen.isLeaving(vm.Name)),
		})
	}
	return targets
}

// composeFromLists returns the VMs that the lists give a pool.
func composeFromLists(seen *sightings) []registrar.Target {
	targets := make([]registrar.Target, 0, len(seen.vms))
	for name, st := range seen.vms {
		if st.isGone() || st.vm.Pool == "" || !st.vm.Address.IsValid() {
			continue
		}
		targets = append(targets, registrar.Target{
			VM:      name,
			Address: st.vm.Address,
			Pool:    st.vm.Pool,
			Rack:    st.vm.Rack,
			State:   stateOf(!seen.isLeaving(name)),
		})
	}
	slices.SortFunc(targets, func(a, b registrar.Target) int {
		return strings.Compare(a.VM, b.VM)
	})
	return targets
}

func stateOf(takesWork bool) registrar.TargetState {
	if takesWork {
		return registrar.InService
	}
	return registrar.Leaving
}
