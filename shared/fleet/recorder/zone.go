package recorder

import (
	"maps"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// Zone is the fleet record of one availability zone.
type Zone struct {
	// Name is the name of the availability zone.
	Name string
	// Epoch is the highest lease epoch among the writers of the record. It acts
	// as a fencing token: writes with a lower epoch are rejected.
	Epoch uint64
	// SettingsRevision is the revision of the settings that Floors derive from.
	SettingsRevision uint64
	// Floors are the availability budgets by pool.
	Floors map[string]Floor
	// Given is the total budget given to other availability zones since the
	// record was created. It never decreases.
	Given Transfers
	// Received is the total budget received from other availability zones since
	// the record was created. It never decreases and never exceeds what those
	// zones have recorded as given.
	Received Transfers
	// VMs are the zone's VMs, ordered by name.
	VMs []VM
	// Audit holds the last MaxAuditEntries changes, oldest first. A writer whose
	// response was lost detects by the change's identifier whether its write
	// took effect.
	Audit []AuditEntry
}

// Floor is the availability budget of one pool.
type Floor struct {
	// Share is the minimum share, from 0 to 1, of the pool's VMs in all
	// availability zones together that must be in service.
	Share float64
	// MinMembers is the minimum number of VMs that the pool keeps in this
	// availability zone when VMs are moved to other pools.
	MinMembers int
	// MaxDraining is the maximum share, from 0 to 1, of the pool's VMs in this
	// availability zone that may be out of service for maintenance at once. One
	// VM is always allowed.
	MaxDraining float64
}

// FloorsOf returns the floors of an availability zone, given the total number of
// zones. A pool with several services gets the strictest of their budgets.
// MinMembers is the zone's part of the pool's MinVMs, rounded up: each zone
// decides on its own, and the parts must add up to at least MinVMs.
func FloorsOf(settings configurer.Settings, zones int) map[string]Floor {
	floors := make(map[string]Floor, len(settings.Pools))
	for name, pl := range settings.Pools {
		floors[name] = Floor{
			MinMembers:  (pl.MinVMs + zones - 1) / max(zones, 1),
			MaxDraining: pl.MaxDraining,
		}
	}
	for _, se := range settings.Services {
		floor, ok := floors[se.Pool]
		if !ok {
			continue
		}
		floor.Share = max(floor.Share, se.MinInService)
		floors[se.Pool] = floor
	}
	return floors
}

// Count holds the numbers of VMs of a pool by their use.
type Count struct {
	// Members is the number of VMs that belong to the pool.
	Members int
	// InService is the number of members that accept new work.
	InService int
	// PlannedOutages is the number of members drained for a move or a
	// maintenance wave that have not returned to service.
	PlannedOutages int
}

// Count returns the counts of a pool.
func (ze Zone) Count(pool string) Count {
	var ct Count
	for _, vm := range ze.VMs {
		if vm.Pool != pool {
			continue
		}
		ct.Members++
		if vm.State.TakesWork() {
			ct.InService++
		}
		if vm.Purpose != NoPurpose {
			ct.PlannedOutages++
		}
	}
	return ct
}

// Find returns the VM with the given name, or a VMUnknown error.
func (ze Zone) Find(name string) (VM, error) {
	i, ok := ze.index(name)
	if !ok {
		return VM{}, classifier.New(classifier.VMUnknown, "availability zone %s has no VM %q", ze.Name, name)
	}
	return ze.VMs[i], nil
}

func (ze Zone) index(name string) (int, bool) {
	return slices.BinarySearchFunc(ze.VMs, name, func(vm VM, name string) int {
		switch {
		case vm.Name < name:
			return -1
		case vm.Name > name:
			return 1
		default:
			return 0
		}
	})
}

func (ze Zone) clone() Zone {
	ze.VMs = slices.Clone(ze.VMs)
	ze.Audit = slices.Clone(ze.Audit)
	ze.Floors = maps.Clone(ze.Floors)
	ze.Given = ze.Given.clone()
	ze.Received = ze.Received.clone()
	return ze
}
