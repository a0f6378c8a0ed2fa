package sloper

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/store/storer"
)

const (
	vmsPerRack = 4
	vmsPerPool = 4
	targetPort = 9000
)

// begin is the time that the made-up records start from.
var begin = time.Date(2026, time.December, 7, 0, 0, 0, 0, time.UTC)

// listedVMs returns VMs of one availability zone as the platform lists them.
func listedVMs(zone string, number int) []storer.VM {
	vms := make([]storer.VM, 0, number)
	for idx := range number {
		address := netip.AddrFrom4([4]byte{127, 1, byte(idx >> 8), byte(idx)})
		vms = append(vms, storer.VM{
			Name:    fmt.Sprintf("%s-%04d", zone, idx),
			Zone:    zone,
			Rack:    fmt.Sprintf("%s-r%03d", zone, idx/vmsPerRack),
			Address: netip.AddrPortFrom(address, targetPort),
			Pool:    poolName(idx / vmsPerPool),
			State:   storer.Live,
			Boot:    1,
		})
	}
	return vms
}

func poolName(idx int) string { return fmt.Sprintf("pool-%03d", idx) }

// settingsSource returns a settings tree with as many services as pools, each
// with two overrides.
func settingsSource(pools int) string {
	var text strings.Builder
	text.WriteString("[organisation]\nname = \"Slopes\"\n\n[defaults]\nminInService = 0.5\nnotRepeatable = true\n")
	for idx := range pools {
		name := poolName(idx)
		fmt.Fprintf(&text, "\n[services.%s]\npathPrefix = \"/%s/\"\npool = %q\nmostUrgent = 0\nmaxQueueDelay = \"1s\"\n", name, name, name)
		fmt.Fprintf(&text, "\n[pools.%s]\nminVMs = 1\nmaxVMs = 12\n", name)
	}
	return text.String()
}

// zoneRecord returns the fleet record of an availability zone. With a history
// its audit trail is full.
func zoneRecord(zone string, number int, withHistory bool) (recorder.Zone, error) {
	ze := recorder.Zone{Name: zone}
	floors := map[string]recorder.Floor{}
	for idx := 0; idx < number; idx += vmsPerPool {
		floors[poolName(idx/vmsPerPool)] = recorder.Floor{
			Share:       0.5,
			MinMembers:  1,
			MaxDraining: 0.5,
		}
	}
	changes := []recorder.Change{recorder.SetFloors{
		Revision: 1,
		Floors:   floors,
	}}
	for _, vm := range listedVMs(zone, number) {
		changes = append(changes, recorder.Register{VM: recorder.VM{
			Name:       vm.Name,
			Rack:       vm.Rack,
			Address:    vm.Address,
			Pool:       vm.Pool,
			Wave:       "2026-week-49",
			Maintained: begin,
		}})
	}
	for _, change := range changes {
		next, err := recorder.Apply(ze, change, begin)
		if err != nil {
			return recorder.Zone{}, err
		}
		ze = next
	}
	for idx := 0; withHistory && idx < recorder.MaxAuditEntries; idx++ {
		ze.Audit = append(ze.Audit, recorder.AuditEntry{
			ChangeID: fmt.Sprintf("00000000-0000-4000-8000-%012d", idx),
			Time:     begin,
			Author:   "steward-a-1",
			Reason:   "wave 2026-week-49",
			Change:   fmt.Sprintf("advance VM %s-%04d by drained", zone, idx),
		})
	}
	return ze, nil
}

// directory returns the directory of targets of an availability zone.
func directory(zone string, number int) registrar.Directory {
	dy := registrar.Directory{
		Zone:    zone,
		Epoch:   1,
		Version: 1,
		Written: begin,
	}
	for _, vm := range listedVMs(zone, number) {
		dy.Targets = append(dy.Targets, registrar.Target{
			VM:      vm.Name,
			Address: vm.Address,
			Pool:    vm.Pool,
			Rack:    vm.Rack,
			State:   registrar.InService,
		})
	}
	return dy
}
