package maintainer

import (
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/store/storer"
)

// facts is what is known of an availability zone's VMs outside the record.
type facts struct {
	// listed holds the platform's list by VM name; nil if it is out of reach.
	listed map[string]storer.VM
	// idle tells which VMs have no request in flight.
	idle map[string]bool
	// healthy tells which VMs answer their health check.
	healthy map[string]bool
	// gone tells since when a VM has been away from the list, or leaving in it,
	// without the record's doing.
	gone map[string]time.Time
}

// goneAfter is how long a VM in service may be away from the platform's list
// before it counts as lost. An ordinary restart takes less.
const goneAfter = 2 * time.Minute

// next returns the event that is due for a VM, and false if there is none.
func (fs facts) next(vm recorder.VM, now time.Time) (recorder.Advance, bool) {
	event, ok := fs.event(vm, now)
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

// event returns the event that the facts call for.
func (fs facts) event(vm recorder.VM, now time.Time) (recorder.Event, bool) {
	switch vm.State {
	case recorder.InService:
		since, gone := fs.gone[vm.Name]
		return recorder.LostEvent, gone && now.Sub(since) >= goneAfter
	case recorder.Draining, recorder.Checkpointing:
		return recorder.DrainedEvent, fs.idle[vm.Name]
	case recorder.Drained:
		return fs.afterDrain(vm)
	case recorder.Rebooting:
		return recorder.UpEvent, fs.rebooted(vm)
	case recorder.Checking, recorder.Moving:
		return recorder.PassedEvent, fs.healthy[vm.Name]
	case recorder.Returning:
		return recorder.ReturnedEvent, true
	case recorder.Quarantined:
		return recorder.ReleaseEvent, fs.rebooted(vm) && fs.healthy[vm.Name]
	default:
		return "", false
	}
}

// afterDrain returns the event that goes on with a drained VM's purpose. A
// reboot waits until the platform lists the VM, since its boot is noted.
func (fs facts) afterDrain(vm recorder.VM) (recorder.Event, bool) {
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

// rebooted reports whether the platform lists the VM as live in a later boot
// than the one noted in the record.
func (fs facts) rebooted(vm recorder.VM) bool {
	listed, ok := fs.listed[vm.Name]
	return ok && listed.State == storer.Live && listed.Boot > vm.Boot
}
