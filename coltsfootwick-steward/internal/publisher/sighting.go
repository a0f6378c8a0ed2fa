package publisher

import (
	"coltsfootwick.example/shared/store/storer"
)

// The numbers of successive lists without a VM after which it counts as
// leaving, and as gone. The lists are read twice a second by default.
const (
	listsUntilLeaving = 20
	listsUntilGone    = 120
)

// sightings is what the platform's lists have told of the VMs of one
// availability zone. A list that lacks most of the VMs that were known is taken
// for a fault of the platform, and VMs don't count as missing from it.
type sightings struct {
	zone string
	vms  map[string]sighting
}

// sighting is what the lists have told of one VM.
type sighting struct {
	vm storer.VM
	// missing is the number of successive lists without the VM.
	missing int
}

// isGone reports whether the lists have been without the VM for long.
func (st sighting) isGone() bool { return st.missing >= listsUntilGone }

func newSightings(zone string) *sightings {
	return &sightings{
		zone: zone,
		vms:  map[string]sighting{},
	}
}

// add takes in the platform's next list.
func (ss *sightings) add(listed []storer.VM) {
	seen := map[string]bool{}
	for _, vm := range listed {
		if vm.Zone != ss.zone {
			continue
		}
		seen[vm.Name] = true
		ss.vms[vm.Name] = sighting{
			vm: vm,
		}
	}
	if 2*len(seen) < ss.present() {
		return
	}
	for name, st := range ss.vms {
		if !seen[name] {
			st.missing++
			ss.vms[name] = st
		}
	}
}

// present returns the number of VMs that are not gone.
func (ss *sightings) present() int {
	number := 0
	for _, st := range ss.vms {
		if !st.isGone() {
			number++
		}
	}
	return number
}

// assume takes in a VM that was known before the first list.
func (ss *sightings) assume(vm storer.VM) {
	if _, ok := ss.vms[vm.Name]; !ok {
		ss.vms[vm.Name] = sighting{
			vm: vm,
		}
	}
}

// isLeaving reports whether the lists speak against new work for a VM. A VM
// that no list has shown is not judged.
func (ss *sightings) isLeaving(name string) bool {
	st, ok := ss.vms[name]
	if !ok {
		return false
	}
	return st.vm.State == storer.Leaving || st.missing >= listsUntilLeaving
}
