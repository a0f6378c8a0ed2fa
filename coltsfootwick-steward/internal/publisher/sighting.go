package publisher

import (
	"coltsfootwick.example/shared/store/storer"
)

// The numbers of successive lists without a VM after which the VM counts as
// leaving, and as gone. The lists are read twice per second by default.
const (
	listsUntilLeaving = 20
	listsUntilGone    = 120
)

// listTracker tracks the VMs of one availability zone over successive lists of the
// platform. A list without most of the known VMs is treated as a fault of the
// platform, and VMs don't count as missing from it.
type listTracker struct {
	zone string
	vms  map[string]trackedVM
}

// trackedVM is a VM as last listed.
type trackedVM struct {
	vm storer.VM
	// missing is the number of successive lists without the VM.
	missing int
}

// isGone reports whether the VM has been missing from so many lists that it counts
// as gone.
func (tv trackedVM) isGone() bool { return tv.missing >= listsUntilGone }

func newListTracker(zone string) *listTracker {
	return &listTracker{
		zone: zone,
		vms:  map[string]trackedVM{},
	}
}

// add updates the tracker from the platform's next list.
func (lt *listTracker) add(listed []storer.VM) {
	seen := map[string]bool{}
	for _, vm := range listed {
		if vm.Zone != lt.zone {
			continue
		}
		seen[vm.Name] = true
		lt.vms[vm.Name] = trackedVM{
			vm: vm,
		}
	}
	if 2*len(seen) < lt.countPresent() {
		return
	}
	for name, tv := range lt.vms {
		if !seen[name] {
			tv.missing++
			lt.vms[name] = tv
		}
	}
}

// countPresent returns the number of VMs that are not gone.
func (lt *listTracker) countPresent() int {
	number := 0
	for _, tv := range lt.vms {
		if !tv.isGone() {
			number++
		}
	}
	return number
}

// addKnown adds a VM that is known from a stored directory, unless a list has
// contained it.
func (lt *listTracker) addKnown(vm storer.VM) {
	if _, ok := lt.vms[vm.Name]; !ok {
		lt.vms[vm.Name] = trackedVM{
			vm: vm,
		}
	}
}

// isLeaving reports whether a VM is listed as leaving or has been missing from so
// many lists that it counts as leaving. It returns false for an unknown VM.
func (lt *listTracker) isLeaving(name string) bool {
	tv, ok := lt.vms[name]
	if !ok {
		return false
	}
	return tv.vm.State == storer.Leaving || tv.missing >= listsUntilLeaving
}
