package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
)

// ProgressOf returns the progress of a wave according to the record of an
// availability zone. AcceptedLost is copied from the wave's stored progress.
func ProgressOf(wv Wave, ze recorder.Zone) Progress {
	ps := Progress{
		AcceptedLost: wv.Progress[ze.Name].AcceptedLost,
	}
	remaining := 0
	for _, vm := range ze.VMs {
		if !wv.covers(vm) {
			continue
		}
		ps.Members++
		switch {
		case wv.hasMaintained(vm):
			ps.Returned++
		case vm.State == recorder.Quarantined && vm.Wave == wv.Name:
			ps.Lost++
		case vm.Purpose == recorder.MaintenancePurpose && vm.Wave == wv.Name:
			ps.Out++
		case vm.State == recorder.Quarantined:
		default:
			remaining++
		}
	}
	ps.Done = remaining == 0 && ps.Out == 0
	return ps
}

// covers reports whether the wave includes the VM.
func (wv Wave) covers(vm recorder.VM) bool {
	return len(wv.Pools) == 0 || slices.Contains(wv.Pools, vm.Pool) || vm.Wave == wv.Name
}

// hasMaintained reports whether the VM was maintained since the wave started.
func (wv Wave) hasMaintained(vm recorder.VM) bool {
	return !wv.Started.IsZero() && vm.Maintained.After(wv.Started)
}

// UpdateProgress returns the wave with the current progress of an availability
// zone. A running wave pauses when it has lost more than MaxLost VMs that no
// operator has accepted, and finishes when all its zones are done. The second
// result reports whether the wave changed.
func UpdateProgress(wv Wave, ze recorder.Zone, now time.Time) (Wave, bool) {
	ps := ProgressOf(wv, ze)
	if WaveChart.HasMark(string(wv.State), "final") || wv.Progress[ze.Name] == ps {
		return wv, false
	}
	wv.Progress = cloneProgress(wv.Progress)
	wv.Progress[ze.Name] = ps
	if wv.State != Running {
		return wv, true
	}
	if lost := wv.unacceptedLost(); lost > wv.MaxLost {
		return stepAllowed(wv, PauseEvent, fmt.Sprintf("%d VMs did not come back", lost), now), true
	}
	if wv.allZonesDone() {
		return stepAllowed(wv, FinishEvent, "every VM was maintained", now), true
	}
	return wv, true
}

// stepAllowed is like Step for an event that the caller knows to be allowed in
// the wave's state. It returns the wave unchanged if the event is not allowed.
func stepAllowed(wv Wave, event WaveEvent, reason string, now time.Time) Wave {
	next, err := Step(wv, event, reason, now)
	if err != nil {
		return wv
	}
	return next
}

// unacceptedLost returns the number of lost VMs in all zones that no operator
// has accepted.
func (wv Wave) unacceptedLost() int {
	lost := 0
	for _, ps := range wv.Progress {
		lost += max(ps.Lost-ps.AcceptedLost, 0)
	}
	return lost
}

func (wv Wave) allZonesDone() bool {
	for _, zone := range wv.Zones {
		if !wv.Progress[zone].Done {
			return false
		}
	}
	return true
}

// ActiveIn reports whether the wave may drain VMs in an availability zone: it is
// running, and fewer than ZonesAtOnce of the zones that precede this one in
// Zones are unfinished.
func (wv Wave) ActiveIn(zone string) bool {
	if !WaveChart.HasMark(string(wv.State), "takesVMs") {
		return false
	}
	unfinished := 0
	for _, name := range wv.Zones {
		if name == zone {
			return unfinished < max(wv.ZonesAtOnce, 1)
		}
		if !wv.Progress[name].Done {
			unfinished++
		}
	}
	return false
}

// NextDrains returns the drains to attempt next in an availability zone. All are
// in one rack, so that a faulty wave affects a single failure domain. The wave
// continues with the next rack when no VM of the current rack is out of service
// for it. The floors of the record limit how many of the drains are accepted.
func NextDrains(wv Wave, ze recorder.Zone) []recorder.Drain {
	if !wv.ActiveIn(ze.Name) {
		return nil
	}
	pending := wv.pendingVMs(ze)
	if len(pending) == 0 {
		return nil
	}
	rack := wv.activeRack(ze)
	if rack == "" {
		rack = pending[0].Rack
	}
	var drains []recorder.Drain
	for _, vm := range pending {
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

// pendingVMs returns the VMs in service that the wave has not maintained yet,
// ordered by rack and, within a rack, by the time of their last maintenance,
// the oldest first.
func (wv Wave) pendingVMs(ze recorder.Zone) []recorder.VM {
	var vms []recorder.VM
	for _, vm := range ze.VMs {
		if wv.covers(vm) && !wv.hasMaintained(vm) && vm.State == recorder.InService {
			vms = append(vms, vm)
		}
	}
	slices.SortStableFunc(vms, func(a, b recorder.VM) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), a.Maintained.Compare(b.Maintained))
	})
	return vms
}

// activeRack returns the rack that has VMs out of service for the wave. It is
// empty if there is none, and NextDrains then starts with the first rack that
// has pending VMs.
func (wv Wave) activeRack(ze recorder.Zone) string {
	for _, vm := range ze.VMs {
		isOut := vm.Purpose == recorder.MaintenancePurpose && vm.State != recorder.Quarantined
		if isOut && vm.Wave == wv.Name {
			return vm.Rack
		}
	}
	return ""
}
