package sizer

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
)

// PoolsOf returns the pools of an availability zone, ordered by name. It counts
// the VMs in service in all zones from the records of the other zones; a zone
// that is partitioned passes in the records that it read last. Pools that have
// a floor are included even if they have no VM.
func PoolsOf(ze recorder.Zone, others []recorder.Zone) []Pool {
	byName := map[string]*Pool{}
	pool := func(name string) *Pool {
		if byName[name] == nil {
			byName[name] = &Pool{
				Name:         name,
				VMs:          map[string]int{},
				MinMembers:   ze.Floors[name].MinMembers,
				MinInService: ze.Floors[name].Share,
			}
		}
		return byName[name]
	}
	for name := range ze.Floors {
		pool(name)
	}
	for _, vm := range ze.VMs {
		switch {
		case vm.State.TakesWork():
			pool(vm.Pool).VMs[vm.Rack]++
		case vm.State == recorder.Quarantined:
			pool(vm.Pool).Lost++
		case vm.Purpose == recorder.MovePurpose:
			pool(vm.MoveTo).Arriving++
		default:
			pool(vm.Pool).Arriving++
		}
	}
	for _, other := range append(slices.Clone(others), ze) {
		countAllZones(byName, other)
	}
	pools := make([]Pool, 0, len(byName))
	for _, pl := range byName {
		pools = append(pools, *pl)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// countAllZones adds an availability zone's VMs in service to the fields of the
// pools that cover all zones.
func countAllZones(byName map[string]*Pool, ze recorder.Zone) {
	type poolRack struct {
		pool string
		rack string
	}
	counts := map[poolRack]int{}
	for _, vm := range ze.VMs {
		pl := byName[vm.Pool]
		if pl == nil || !vm.State.TakesWork() {
			continue
		}
		pl.InServiceAllZones++
		key := poolRack{
			pool: vm.Pool,
			rack: vm.Rack,
		}
		counts[key]++
		pl.LargestRack = max(pl.LargestRack, counts[key])
	}
}

// MoveChanges returns the changes that start a move in an availability zone, to
// be applied in one write: a drain and, if the move replaces a lost VM, the
// reassignment of that VM. It returns nil if the source pool has no VM in
// service.
func MoveChanges(ze recorder.Zone, mv Move) []recorder.Change {
	selected, ok := SelectVM(ze, mv.From)
	if !ok {
		return nil
	}
	changes := []recorder.Change{recorder.Drain{
		VM:      selected.Name,
		Purpose: recorder.MovePurpose,
		MoveTo:  mv.To,
	}}
	if !mv.ReplacesLost {
		return changes
	}
	for _, vm := range ze.VMs {
		if vm.Pool == mv.To && vm.State == recorder.Quarantined {
			return append(changes, recorder.Reassign{
				VM: vm.Name,
				To: mv.From,
			})
		}
	}
	return changes
}

// SelectVM returns the VM of a pool to be moved: a VM in service in the rack with
// the most VMs of the pool in service, so that the pool stays spread over racks.
// The second result is false if the pool has no VM in service.
func SelectVM(ze recorder.Zone, pool string) (recorder.VM, bool) {
	racks := map[string]int{}
	for _, vm := range ze.VMs {
		if vm.Pool == pool && vm.State.TakesWork() {
			racks[vm.Rack]++
		}
	}
	var selected recorder.VM
	found := false
	for _, vm := range ze.VMs {
		if vm.Pool != pool || !vm.State.TakesWork() {
			continue
		}
		if !found || racks[vm.Rack] > racks[selected.Rack] {
			selected = vm
			found = true
		}
	}
	return selected, found
}
