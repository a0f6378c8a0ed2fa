package maintainer

import (
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/store/storer"
)

// facts holds observations of an availability zone's VMs from outside its fleet
// record.
type facts struct {
	// listed holds the platform's list by VM name; nil if it could not be read.
	listed map[string]storer.VM
	// idle is true for VMs without a request in flight.
	idle map[string]bool
	// healthy is true for VMs that pass their health check.
	healthy map[string]bool
	// missingSince is the time since which a VM in service has been absent from
	// the list, or listed as leaving, although the record didn't take it out.
	missingSince map[string]time.Time
}

// lostAfter is how long a VM in service may be missing from the platform's list
// before it counts as lost. An ordinary restart takes less.
const lostAfter = 2 * time.Minute

// nextAdvance returns the change that is due for a VM, from the facts or else from
// the time limit of its state, or false if none is due.
func (fs facts) nextAdvance(vm recorder.VM, now time.Time) (recorder.Advance, bool) {
	event, ok := fs.dueEvent(vm, now)
	if !ok {
		expired, due := recorder.VMChart.Expired(string(vm.State), vm.Since, now)
		if !due {
			return recorder.Advance{}, false
		}
		event = recorder.Event(expired)
	}
	return recorder.Advance{
		VM:    vm.Name,
		Event: event,
		Boot:  fs.listed[vm.Name].Boot,
	}, true
}

// dueEvent returns the event that the facts cause in the VM's state, if any.
func (fs facts) dueEvent(vm recorder.VM, now time.Time) (recorder.Event, bool) {
	switch vm.State {
	case recorder.InService:
		since, missing := fs.missingSince[vm.Name]
		return recorder.LostEvent, missing && now.Sub(since) >= lostAfter
	case recorder.Draining, recorder.Checkpointing:
		return recorder.DrainedEvent, fs.idle[vm.Name]
	case recorder.Drained:
		return fs.eventAfterDrain(vm)
	case recorder.Rebooting:
		return recorder.UpEvent, fs.hasRebooted(vm)
	case recorder.Checking, recorder.Moving:
		return recorder.PassedEvent, fs.healthy[vm.Name]
	case recorder.Returning:
		return recorder.ReturnedEvent, true
	case recorder.Quarantined:
		return recorder.ReleaseEvent, fs.hasRebooted(vm) && fs.healthy[vm.Name]
	default:
		return "", false
	}
}

// eventAfterDrain returns the event that a drained VM's purpose requires. A reboot
// waits until the platform lists the VM, since the record stores its boot number.
func (fs facts) eventAfterDrain(vm recorder.VM) (recorder.Event, bool) {
	switch vm.Purpose {
	case recorder.MovePurpose:
		return recorder.MoveEvent, true
	case recorder.MaintenancePurpose:
		_, listed := fs.listed[vm.Name]
		return recorder.RebootEvent, listed
	default:
		return recorder.CancelEvent, true
	}
}

// hasRebooted reports whether the platform lists the VM as live with a later boot
// number than the record.
func (fs facts) hasRebooted(vm recorder.VM) bool {
	listed, ok := fs.listed[vm.Name]
	return ok && listed.State == storer.Live && listed.Boot > vm.Boot
}
