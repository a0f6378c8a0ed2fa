package keeper

import (
	"slices"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/storer"
)

// Roster is the state machine of the platform's VMs. It has no clock and no
// locks: the time comes with each call, and calls must not overlap.
type Roster struct {
	lag        time.Duration
	rebootTime time.Duration
	tracks     map[string]*track
}

// track holds the changes of one VM in the order of their times. Changes that
// are known beforehand, as the end of a reboot, lie in the future.
type track struct {
	changes []vmChange
}

type vmChange struct {
	at      time.Time
	vm      storer.VM
	removed bool
}

// NewRoster returns a Roster without VMs, whose list lags by lag and whose VMs
// take rebootTime to reboot.
func NewRoster(lag, rebootTime time.Duration) *Roster {
	return &Roster{
		lag:        lag,
		rebootTime: rebootTime,
		tracks:     map[string]*track{},
	}
}

// Put adds a VM or replaces the VM of the same name. A VM without a number of
// its boot is in its first.
func (rr *Roster) Put(now time.Time, vm storer.VM) {
	vm.Boot = max(vm.Boot, 1)
	rr.record(now, vmChange{
		at: now,
		vm: vm,
	})
}

// Remove takes a VM away.
func (rr *Roster) Remove(now time.Time, name string) error {
	vm, err := rr.Actual(now, name)
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

// SetState changes the state of a VM.
func (rr *Roster) SetState(now time.Time, name string, state storer.VMState) error {
	if state != storer.Live && state != storer.Leaving {
		return classifier.New(classifier.SettingsRange, "VM %s: state %q", name, state)
	}
	vm, err := rr.Actual(now, name)
	if err != nil {
		return err
	}
	vm.State = state
	rr.Put(now, vm)
	return nil
}

// Reboot makes a VM leaving, and live again after the reboot time.
func (rr *Roster) Reboot(now time.Time, name string) (storer.VM, error) {
	vm, err := rr.Actual(now, name)
	if err != nil {
		return storer.VM{}, err
	}
	vm.State = storer.Leaving
	rr.Put(now, vm)
	back := vm
	back.State = storer.Live
	back.Boot++
	rr.tracks[name].changes = append(rr.tracks[name].changes, vmChange{
		at: now.Add(rr.rebootTime),
		vm: back,
	})
	return vm, nil
}

// Actual returns a VM as it is now, without the lag.
func (rr *Roster) Actual(now time.Time, name string) (storer.VM, error) {
	tk, ok := rr.tracks[name]
	if ok {
		if vc, found := tk.at(now); found && !vc.removed {
			return vc.vm, nil
		}
	}
	return storer.VM{}, classifier.New(classifier.PlatformNotFound, "VM %s", name)
}

// List returns the VMs as they were before the lag, ordered by name. A VM that
// is younger than the lag isn't listed.
func (rr *Roster) List(now time.Time) []storer.VM {
	var listed []storer.VM
	for _, tk := range rr.tracks {
		vc, found := tk.at(now.Add(-rr.lag))
		if found && !vc.removed {
			listed = append(listed, vc.vm)
		}
	}
	slices.SortFunc(listed, func(a, b storer.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
	return listed
}

// record adds a change at now and cancels those after it. Changes that the
// list has passed are forgotten.
func (rr *Roster) record(now time.Time, vc vmChange) {
	tk, ok := rr.tracks[vc.vm.Name]
	if !ok {
		tk = &track{}
		rr.tracks[vc.vm.Name] = tk
	}
	tk.changes = slices.DeleteFunc(tk.changes, func(old vmChange) bool {
		return old.at.After(now)
	})
	tk.forget(now.Add(-rr.lag))
	tk.changes = append(tk.changes, vc)
}

// at returns the change that was the latest at a time.
func (tk *track) at(when time.Time) (vmChange, bool) {
	for idx := len(tk.changes) - 1; idx >= 0; idx-- {
		if !tk.changes[idx].at.After(when) {
			return tk.changes[idx], true
		}
	}
	return vmChange{}, false
}

// forget drops the changes that were superseded before a time.
func (tk *track) forget(when time.Time) {
	for len(tk.changes) > 1 && !tk.changes[1].at.After(when) {
		tk.changes = tk.changes[1:]
	}
}
