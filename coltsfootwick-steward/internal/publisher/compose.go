package publisher

import (
	"slices"
	"strings"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
)

// composeTargets returns the targets of an availability zone. The fleet record
// determines the VMs, their pools and their states; the platform's lists can only
// mark a VM as leaving. Without a record the targets come from the lists alone.
func composeTargets(record *recorder.Zone, lists *listTracker) []registrar.Target {
	if record == nil {
		return targetsFromLists(lists)
	}
	targets := make([]registrar.Target, 0, len(record.VMs))
	for _, vm := range record.VMs {
		targets = append(targets, registrar.Target{
			VM:      vm.Name,
			Address: vm.Address,
			Pool:    vm.Pool,
			Rack:    vm.Rack,
			State:   targetState(vm.State.TakesWork() && !lists.isLeaving(vm.Name)),
		})
	}
	return targets
}

// targetsFromLists returns the listed VMs that have a pool and a valid address,
// ordered by name.
func targetsFromLists(lists *listTracker) []registrar.Target {
	targets := make([]registrar.Target, 0, len(lists.vms))
	for name, tv := range lists.vms {
		if tv.isGone() || tv.vm.Pool == "" || !tv.vm.Address.IsValid() {
			continue
		}
		targets = append(targets, registrar.Target{
			VM:      name,
			Address: tv.vm.Address,
			Pool:    tv.vm.Pool,
			Rack:    tv.vm.Rack,
			State:   targetState(!lists.isLeaving(name)),
		})
	}
	slices.SortFunc(targets, func(a, b registrar.Target) int {
		return strings.Compare(a.VM, b.VM)
	})
	return targets
}

func targetState(takesWork bool) registrar.TargetState {
	if takesWork {
		return registrar.InService
	}
	return registrar.Leaving
}
