package recorder

import (
	"maps"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// Zone is the fleet record of one availability zone.
type Zone struct {
	// Name is the availability zone.
	Name string
	// Epoch is the highest lease epoch that has written the record. A writer
	// with a lower epoch is refused.
	Epoch uint64
	// SettingsRevision is the revision that Floors come from.
	SettingsRevision uint64
	// Floors are the availability budgets by pool.
	Floors map[string]Floor
	// Given is the budget given to other availability zones since the record
	// began. It only grows.
	Given Transfers
	// Received is the budget received from other availability zones since the
	// record began, at most what they recorded as given. It only grows.
	Received Transfers
	// VMs are the zone's VMs, ordered by name.
	VMs []VM
	// Audit holds the last MaxAudit changes, oldest first. A writer whose
	// answer was lost finds its own change by its identifier.
	Audit []AuditEntry
}

// Floor is the availability budget of one pool.
type Floor struct {
	// Share is the least share, from 0 to 1, of the pool's VMs over all
	// availability zones that stay in service.
	Share float64
	// MinMembers is the least number of VMs that the pool keeps in this
	// availability zone when VMs are moved to other pools.
	MinMembers int
	// MaxDraining is the greatest share, from 0 to 1, of the pool's VMs in this
	// availability zone that maintenance may have out of service at once; one
	// VM always may.
	MaxDraining float64
}

// FloorsOf returns the floors of one availability zone out of zones many. A
// pool with several services takes the strictest of their budgets. MinMembers
// is rounded up, so that the zones' parts together cover the pool's least
// number while each zone decides alone.
func FloorsOf(settings configurer.Settings, zones int) map[string]Floor {
	floors := make(map[string]Floor, len(settings.Pools))
	for name, pl := range settings.Pools {
		floors[name] = Floor{
			MinMembers:  (pl.MinVMs + zones - 1) / max(zones, 1),
			MaxDraining: pl.MaxDraining,
		}
	}
	for _, se := range settings.Services {
		fr, ok := floors[se.Pool]
		if !ok {
			continue
		}
		fr.Share = max(fr.Share, se.MinInService)
		floors[se.Pool] = fr
	}
	return floors
}

// Count tells how many VMs of a pool there are and what they do.
type Count struct {
	// Members is the number of VMs that belong to the pool.
	Members int
	// InService is the number of members that take new work.
	InService int
	// PlannedOutages is the number of members taken out by a move or a wave.
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

// Find returns the VM with the name, or a VMUnknown error.
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
