package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
)

// Measure returns what an availability zone's record shows of a wave.
// Forgiven is taken over from the progress recorded before.
func Measure(wv Wave, ze recorder.Zone) Progress {
	ps := Progress{
		Forgiven: wv.Progress[ze.Name].Forgiven,
	}
	left := 0
	for _, vm := range ze.VMs {
		if !wv.covers(vm) {
			continue
		}
		ps.Members++
		switch {
		case wv.maintained(vm):
			ps.Returned++
		case vm.State == recorder.Quarantined && vm.Wave == wv.Name:
			ps.Lost++
		case vm.Purpose == recorder.MaintenancePurpose && vm.Wave == wv.Name:
			ps.Out++
		case vm.State == recorder.Quarantined:
		default:
			left++
		}
	}
	ps.Done = left == 0 && ps.Out == 0
	return ps
}

// covers reports whether the wave maintains the VM.
func (wv Wave) covers(vm recorder.VM) bool {
	return len(wv.Pools) == 0 || slices.Contains(wv.Pools, vm.Pool) || vm.Wave == wv.Name
}

func (wv Wave) maintained(vm recorder.VM) bool {
	return !wv.Started.IsZero() && vm.Maintained.After(wv.Started)
}

// UpdateProgress returns the wave with an availability zone's new progress. The wave
// pauses by itself when more of its VMs stay away than MaxLost allows, and is
// done when its last zone is. The second result is false if nothing changed.
func UpdateProgress(wv Wave, ze recorder.Zone, now time.Time) (Wave, bool) {
	ps := Measure(wv, ze)
	if WaveChart.HasMark(string(wv.State), "final") || wv.Progress[ze.Name] == ps {
		return wv, false
	}
	wv.Progress = cloneProgress(wv.Progress)
	wv.Progress[ze.Name] = ps
	if wv.State != Running {
		return wv, true
	}
	if lost := wv.unforgiven(); lost > wv.MaxLost {
		return mustStep(wv, PauseEvent, fmt.Sprintf("%d VMs did not come back", lost), now), true
	}
	if wv.finished() {
		return mustStep(wv, FinishEvent, "every VM was maintained", now), true
	}
	return wv, true
}

// mustStep is Step for events that the state is known to allow.
func mustStep(wv Wave, event WaveEvent, reason string, now time.Time) Wave {
	next, err := Step(wv, event, reason, now)
	if err != nil {
		return wv
	}
	return next
}

func (wv Wave) unforgiven() int {
	lost := 0
	for _, ps := range wv.Progress {
		lost += max(ps.Lost-ps.Forgiven, 0)
	}
	return lost
}

func (wv Wave) finished() bool {
	for _, zone := range wv.Zones {
		if !wv.Progress[zone].Done {
			return false
		}
	}
	return true
}

// MayWork reports whether a running wave has reached an availability zone:
// fewer than ZonesAtOnce zones before it in the order are not done.
func (wv Wave) MayWork(zone string) bool {
	if !WaveChart.HasMark(string(wv.State), "takesVMs") {
		return false
	}
	open := 0
	for _, name := range wv.Zones {
		if name == zone {
			return open < max(wv.ZonesAtOnce, 1)
		}
		if !wv.Progress[name].Done {
			open++
		}
	}
	return false
}

// NextDrains returns the drains that the wave wants in an availability zone.
// They are all in one rack, so that a wave that goes bad harms one failure
// domain; the next rack follows when no VM of the rack is out any more. The
// record's floors decide how many of them are accepted.
func NextDrains(wv Wave, ze recorder.Zone) []recorder.Drain {
	if !wv.MayWork(ze.Name) {
		return nil
	}
	waiting := wv.waiting(ze)
	if len(waiting) == 0 {
		return nil
	}
	rack := wv.rackInWork(ze)
	if rack == "" {
		rack = waiting[0].Rack
	}
	var drains []recorder.Drain
	for _, vm := range waiting {
		if vm.Rack != rack {
			continue
		}
		drains = append(drains, recorder.Drain{
			VM:      vm.Name,
			Purpose: recorder.MaintenancePurpose,
			Wave:    wv.Name,
		})
	}
	return drains
}

// waiting returns the VMs in service that the wave has still to maintain,
// ordered by rack, those longest without maintenance first within it.
func (wv Wave) waiting(ze recorder.Zone) []recorder.VM {
	var vms []recorder.VM
	for _, vm := range ze.VMs {
		if wv.covers(vm) && !wv.maintained(vm) && vm.State == recorder.InService {
			vms = append(vms, vm)
		}
	}
	slices.SortStableFunc(vms, func(a, b recorder.VM) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), a.Maintained.Compare(b.Maintained))
	})
	return vms
}

// rackInWork returns the rack that has VMs out for the wave, or that still has
// VMs waiting after some of it returned; empty if the wave may choose.
func (wv Wave) rackInWork(ze recorder.Zone) string {
	for _, vm := range ze.VMs {
		out := vm.Purpose == recorder.MaintenancePurpose && vm.State != recorder.Quarantined
		if out && vm.Wave == wv.Name {
			return vm.Rack
		}
	}
	return ""
}
