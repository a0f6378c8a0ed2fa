package commander

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/store/storer"
)

// unregistered is the state of a VM that the platform lists but no fleet
// record holds yet.
const unregistered = "unregistered"

// listedMissing is shown for a VM that the platform doesn't list.
const listedMissing = "missing"

// fleetVM is a VM with its state in the fleet records and in the platform's list.
type fleetVM struct {
	vm     recorder.VM
	zone   string
	state  string
	listed string
}

// fleetVMs joins the fleet records with the platform's lagging list, ordered by
// name.
func (se *session) fleetVMs() ([]fleetVM, error) {
	store, fleet, err := se.store()
	if err != nil {
		return nil, err
	}
	zones, err := recorder.NewRepository(store).Zones(se.ctx)
	if err != nil {
		return nil, err
	}
	listed, err := fleet.VMs(se.ctx)
	if err != nil {
		return nil, err
	}
	return joinFleet(zones, listed), nil
}

func joinFleet(zones []recorder.Zone, listed []storer.VM) []fleetVM {
	states := map[string]string{}
	for _, vm := range listed {
		states[vm.Name] = string(vm.State)
	}
	var joined []fleetVM
	recorded := map[string]bool{}
	for _, ze := range zones {
		for _, vm := range ze.VMs {
			recorded[vm.Name] = true
			joined = append(joined, fleetVM{
				vm:     vm,
				zone:   ze.Name,
				state:  string(vm.State),
				listed: cmp.Or(states[vm.Name], listedMissing),
			})
		}
	}
	for _, vm := range listed {
		if !recorded[vm.Name] {
			joined = append(joined, newUnregistered(vm))
		}
	}
	slices.SortFunc(joined, func(left, right fleetVM) int {
		return cmp.Compare(left.vm.Name, right.vm.Name)
	})
	return joined
}

func newUnregistered(vm storer.VM) fleetVM {
	return fleetVM{
		vm: recorder.VM{
			Name:    vm.Name,
			Rack:    vm.Rack,
			Address: vm.Address,
			Pool:    vm.Pool,
		},
		zone:   vm.Zone,
		state:  unregistered,
		listed: string(vm.State),
	}
}
