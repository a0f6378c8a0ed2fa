package sizer

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
)

// PoolsOf returns the pools of an availability zone, ordered by name. The other
// zones' records count the VMs in service everywhere; a zone that is cut off
// hands in those it last read. The floors' pools are listed even if they have
// no VM.
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
		countEverywhere(byName, other)
	}
	pools := make([]Pool, 0, len(byName))
	for _, pl := range byName {
		pools = append(pools, *pl)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// countEverywhere adds an availability zone's VMs in service to the pools'
// numbers over all zones.
func countEverywhere(byName map[string]*Pool, ze recorder.Zone) {
	type place struct {
		pool string
		rack string
	}
	counts := map[place]int{}
	for _, vm := range ze.VMs {
		pl := byName[vm.Pool]
		if pl == nil || !vm.State.TakesWork() {
			continue
		}
		pl.Everywhere++
		at := place{
			pool: vm.Pool,
			rack: vm.Rack,
		}
		counts[at]++
		pl.LargestRack = max(pl.LargestRack, counts[at])
	}
}

// MoveChanges returns the changes that begin a move in an availability zone, to be
// made in one write: a drain, and for a lost VM its exchange. It returns none
// if the pool has no VM to give.
func MoveChanges(ze recorder.Zone, mv Move) []recorder.Change {
	donor, ok := Donor(ze, mv.From)
	if !ok {
		return nil
	}
	changes := []recorder.Change{recorder.Drain{
		VM:      donor.Name,
		Purpose: recorder.MovePurpose,
		MoveTo:  mv.To,
	}}
	if !mv.MakesUp {
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

// Donor returns the VM of a pool that a move takes: one in service, in the rack
// that holds most of the pool's VMs, so that the pool stays spread.
func Donor(ze recorder.Zone, pool string) (recorder.VM, bool) {
	racks := map[string]int{}
	for _, vm := range ze.VMs {
		if vm.Pool == pool && vm.State.TakesWork() {
			racks[vm.Rack]++
		}
	}
	var donor recorder.VM
	found := false
	for _, vm := range ze.VMs {
		if vm.Pool != pool || !vm.State.TakesWork() {
			continue
		}
		if !found || racks[vm.Rack] > racks[donor.Rack] {
			donor = vm
			found = true
		}
	}
	return donor, found
}
