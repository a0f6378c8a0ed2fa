package keeper

import (
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Roster is the state machine of the platform's VMs. It has no clock: the time is
// passed to each call. It is not safe for concurrent use.
type Roster struct {
	lag        time.Duration
	rebootTime time.Duration
	histories  map[string]*vmHistory
}

// vmHistory holds the changes of one VM, ordered by time. A scheduled change, such as
// the end of a reboot, is in the future.
type vmHistory struct {
	changes []vmChange
}

type vmChange struct {
	at      time.Time
	vm      storer.VM
	removed bool
}

// NewRoster returns an empty Roster whose list lags behind by lag and whose VMs take
// rebootTime to reboot.
func NewRoster(lag, rebootTime time.Duration) *Roster {
	return &Roster{
		lag:        lag,
		rebootTime: rebootTime,
		histories:  map[string]*vmHistory{},
	}
}

// Put adds a VM, or replaces the VM of the same name. A boot number of zero is set
// to one.
func (rr *Roster) Put(now time.Time, vm storer.VM) {
	vm.Boot = max(vm.Boot, 1)
	rr.record(now, vmChange{
		at: now,
		vm: vm,
	})
}

// Remove removes a VM.
func (rr *Roster) Remove(now time.Time, name string) error {
	vm, err := rr.Current(now, name)
	if err != nil {
		return err
	}
	rr.record(now, vmChange{
		at:      now,
		vm:      vm,
		removed: true,
	})
	return nil
}

// SetState sets the state of a VM.
func (rr *Roster) SetState(now time.Time, name string, state storer.VMState) error {
	if state != storer.Live && state != storer.Leaving {
		return classifier.New(classifier.SettingsRange, "VM %s: unknown state %q", name, state)
	}
	vm, err := rr.Current(now, name)
	if err != nil {
		return err
	}
	vm.State = state
	rr.Put(now, vm)
	return nil
}

// Reboot sets the state of a VM to Leaving, and schedules its return to Live after
// the reboot time. It returns the VM as it is during the reboot.
func (rr *Roster) Reboot(now time.Time, name string) (storer.VM, error) {
	vm, err := rr.Current(now, name)
	if err != nil {
		return storer.VM{}, err
	}
	vm.State = storer.Leaving
	rr.Put(now, vm)
	rebooted := vm
	rebooted.State = storer.Live
	rebooted.Boot++
	rr.histories[name].changes = append(rr.histories[name].changes, vmChange{
		at: now.Add(rr.rebootTime),
		vm: rebooted,
	})
	return vm, nil
}

// Current returns the current state of a VM, without the list lag.
func (rr *Roster) Current(now time.Time, name string) (storer.VM, error) {
	vh, ok := rr.histories[name]
	if ok {
		if vc, found := vh.at(now); found && !vc.removed {
			return vc.vm, nil
		}
	}
	return storer.VM{}, classifier.New(classifier.PlatformNotFound, "VM %s", name)
}

// List returns the VMs as they were one lag ago, ordered by name. It does not list
// VMs that were added since.
func (rr *Roster) List(now time.Time) []storer.VM {
	var listed []storer.VM
	for _, vh := range rr.histories {
		vc, found := vh.at(now.Add(-rr.lag))
		if found && !vc.removed {
			listed = append(listed, vc.vm)
		}
	}
	slices.SortFunc(listed, func(a, b storer.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
	return listed
}

// record adds a change that takes effect now, and cancels scheduled changes. It
// discards superseded changes that the list no longer needs.
func (rr *Roster) record(now time.Time, vc vmChange) {
	vh, ok := rr.histories[vc.vm.Name]
	if !ok {
		vh = &vmHistory{}
		rr.histories[vc.vm.Name] = vh
	}
	vh.changes = slices.DeleteFunc(vh.changes, func(old vmChange) bool {
		return old.at.After(now)
	})
	vh.compact(now.Add(-rr.lag))
	vh.changes = append(vh.changes, vc)
}

// at returns the latest change at a time.
func (vh *vmHistory) at(when time.Time) (vmChange, bool) {
	for idx := len(vh.changes) - 1; idx >= 0; idx-- {
		if !vh.changes[idx].at.After(when) {
			return vh.changes[idx], true
		}
	}
	return vmChange{}, false
}

// compact discards the changes that were superseded by a time.
func (vh *vmHistory) compact(when time.Time) {
	for len(vh.changes) > 1 && !vh.changes[1].at.After(when) {
		vh.changes = vh.changes[1:]
	}
}
