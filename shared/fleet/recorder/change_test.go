package recorder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func zoneOf(t must.T, pools map[string]int, floors map[string]recorder.Floor) recorder.Zone {
	ze := recorder.Zone{
		Name:     "a",
		Given:    recorder.Transfers{},
		Received: recorder.Transfers{},
	}
	ze = apply(t, ze, recorder.SetFloors{
		Revision: 1,
		Floors:   floors,
	})
	for pool, count := range pools {
		for i := range count {
			ze = apply(t, ze, recorder.Register{
				VM: recorder.VM{
					Name:    fmt.Sprintf("%s-%02d", pool, i),
					Rack:    fmt.Sprintf("r%d", i/4),
					Address: netip.MustParseAddrPort("127.0.1.1:9000"),
					Pool:    pool,
				},
			})
		}
	}
	return ze
}

func apply(t must.T, ze recorder.Zone, change recorder.Change) recorder.Zone {
	next, err := recorder.Apply(ze, change, start)
	must.NoError(t, err)
	return next
}

func TestDrainKeepsFloor(t *testing.T) {
	cases := []struct {
		name    string
		members int
		floor   recorder.Floor
		purpose recorder.Purpose
		allowed int
	}{
		{"share rounds towards service", 10, recorder.Floor{Share: 0.75, MaxDraining: 1}, recorder.MaintenancePurpose, 2},
		{"whole share is not rounded", 10, recorder.Floor{Share: 0.7, MaxDraining: 1}, recorder.MaintenancePurpose, 3},
		{"moves keep the least members", 4, recorder.Floor{Share: 0.25, MinMembers: 3, MaxDraining: 1}, recorder.MovePurpose, 1},
		{"maintenance keeps to maxDraining", 10, recorder.Floor{Share: 0.5, MaxDraining: 0.2}, recorder.MaintenancePurpose, 2},
		{"one VM may always be maintained", 4, recorder.Floor{Share: 0.7, MaxDraining: 0.1}, recorder.MaintenancePurpose, 1},
		{"a small pool needs another zone's budget", 3, recorder.Floor{Share: 0.7, MaxDraining: 1}, recorder.MaintenancePurpose, 0},
		{"the last VM stays", 2, recorder.Floor{Share: 0.001, MaxDraining: 1}, recorder.MaintenancePurpose, 1},
	}
	for _, ce := range cases {
		t.Run(ce.name, func(t *testing.T) {
			ze := zoneOf(t, map[string]int{"claims": ce.members}, map[string]recorder.Floor{
				"claims": ce.floor,
				"spare":  {},
			})
			must.EqOp(t, ce.allowed, drainAll(t, &ze, "claims", ce.purpose))
		})
	}
}

// drainAll drains VMs of a pool until one is refused and returns their number.
func drainAll(t must.T, ze *recorder.Zone, pool string, purpose recorder.Purpose) int {
	allowed := 0
	for _, vm := range ze.VMs {
		if vm.Pool != pool {
			continue
		}
		dn := recorder.Drain{
			VM:      vm.Name,
			Purpose: purpose,
		}
		if purpose == recorder.MovePurpose {
			dn.MoveTo = "spare"
		}
		next, err := recorder.Apply(*ze, dn, start)
		if err != nil {
			must.EqOp(t, classifier.BudgetExceeded, classifier.CodeOf(err))
			return allowed
		}
		*ze = next
		allowed++
	}
	return allowed
}

func TestMoveChangesPoolOnce(t *testing.T) {
	ze := zoneOf(t, map[string]int{"claims": 4}, map[string]recorder.Floor{
		"claims": {},
		"spare":  {},
	})
	ze = apply(t, ze, recorder.Drain{
		VM:      "claims-01",
		Purpose: recorder.MovePurpose,
		MoveTo:  "spare",
	})
	_, err := recorder.Apply(ze, recorder.Advance{
		VM:    "claims-01",
		Event: recorder.MoveEvent,
	}, start)
	must.EqOp(t, classifier.VMBusy, classifier.CodeOf(err))
	ze = advance(t, ze, "claims-01", recorder.DrainedEvent, recorder.MoveEvent, recorder.PassedEvent, recorder.ReturnedEvent)
	vm, err := ze.Find("claims-01")
	must.NoError(t, err)
	must.EqOp(t, "spare", vm.Pool)
	must.EqOp(t, recorder.InService, vm.State)
	must.EqOp(t, recorder.NoPurpose, vm.Purpose)
}

func advance(t must.T, ze recorder.Zone, vm string, events ...recorder.Event) recorder.Zone {
	for _, event := range events {
		ze = apply(t, ze, recorder.Advance{
			VM:    vm,
			Event: event,
		})
	}
	return ze
}

func TestRefusals(t *testing.T) {
	ze := zoneOf(t, map[string]int{"claims": 4}, map[string]recorder.Floor{
		"claims": {},
	})
	cases := []struct {
		name   string
		change recorder.Change
		code   classifier.Code
	}{
		{"unknown VM", recorder.Drain{VM: "x", Purpose: recorder.MaintenancePurpose}, classifier.VMUnknown},
		{"unknown pool", recorder.Drain{VM: "claims-00", Purpose: recorder.MovePurpose, MoveTo: "x"}, classifier.PoolUnknown},
		{"own pool", recorder.Drain{VM: "claims-00", Purpose: recorder.MovePurpose, MoveTo: "claims"}, classifier.VMBusy},
		{"no purpose", recorder.Drain{VM: "claims-00"}, classifier.Internal},
		{"drain without check", recorder.Advance{VM: "claims-00", Event: recorder.DrainEvent}, classifier.Internal},
		{"event out of turn", recorder.Advance{VM: "claims-00", Event: recorder.UpEvent}, classifier.VMBusy},
		{"reassigned in service", recorder.Reassign{VM: "claims-00", To: "claims"}, classifier.VMBusy},
		{"no name", recorder.Register{}, classifier.RecordInvalid},
	}
	for _, ce := range cases {
		t.Run(ce.name, func(t *testing.T) {
			next, err := recorder.Apply(ze, ce.change, start)
			must.EqOp(t, ce.code, classifier.CodeOf(err))
			must.Eq(t, ze, next)
		})
	}
}

func TestLowerSettingsRevisionChangesNothing(t *testing.T) {
	ze := zoneOf(t, map[string]int{"claims": 1}, map[string]recorder.Floor{
		"claims": {MinMembers: 1},
	})
	next := apply(t, ze, recorder.SetFloors{
		Revision: 1,
		Floors:   map[string]recorder.Floor{},
	})
	must.Eq(t, ze, next)
}

// TestPlannedChangesKeepTheBudget runs random changes and losses. Whatever
// the order, a drain that is allowed leaves the pool at or above its floor,
// every VM stays in exactly one pool, and the record stays valid and encodes.
func TestPlannedChangesKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := []string{"claims", "checks", "spare"}
		ze := zoneOf(t, map[string]int{"claims": 6, "checks": 5, "spare": 2}, map[string]recorder.Floor{
			"claims": {
				Share:       rapid.Float64Range(0, 1).Draw(t, "share"),
				MinMembers:  rapid.IntRange(0, 5).Draw(t, "minMembers"),
				MaxDraining: 0.5,
			},
			"checks": {
				Share:       0.7,
				MaxDraining: 0.5,
			},
			"spare": {},
		})
		events := []recorder.Event{
			recorder.CheckpointEvent, recorder.DrainedEvent, recorder.CancelEvent, recorder.RebootEvent, recorder.UpEvent,
			recorder.MoveEvent, recorder.PassedEvent, recorder.ReturnedEvent, recorder.LostEvent, recorder.ReleaseEvent,
		}
		members := len(ze.VMs)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			vm := rapid.SampledFrom(ze.VMs).Draw(t, "vm")
			var change recorder.Change = recorder.Advance{
				VM:    vm.Name,
				Event: rapid.SampledFrom(events).Draw(t, "event"),
			}
			if rapid.Bool().Draw(t, "drain") {
				dn := recorder.Drain{
					VM:      vm.Name,
					Purpose: rapid.SampledFrom([]recorder.Purpose{recorder.MovePurpose, recorder.MaintenancePurpose}).Draw(t, "purpose"),
				}
				if dn.Purpose == recorder.MovePurpose {
					dn.MoveTo = rapid.SampledFrom(pools).Draw(t, "moveTo")
				}
				change = dn
			}
			next, err := recorder.Apply(ze, change, start)
			if err != nil {
				must.Eq(t, ze, next)
				continue
			}
			if _, ok := change.(recorder.Drain); ok {
				must.GreaterEq(t, 0, next.Free(vm.Pool))
			}
			must.Len(t, members, next.VMs)
			data, err := recorder.Encode(next)
			must.NoError(t, err)
			back, err := recorder.Decode(data)
			must.NoError(t, err)
			must.Eq(t, next, back)
			ze = next
		}
	})
}

// TestZonesTogetherKeepTheBudget lets zones lend each other budget while
// stewards race, freeze and repeat themselves: what they read of another zone
// may be old. Without lost VMs, all zones together never have more VMs of a
// pool out of service than the pool as a whole allows.
func TestZonesTogetherKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		names := []string{"a", "b", "c", "d"}
		zones := map[string]recorder.Zone{}
		old := map[string]recorder.Zone{}
		members := 0
		for _, name := range names {
			count := rapid.IntRange(1, 4).Draw(t, "members")
			members += count
			ze := zoneOf(t, map[string]int{"claims": count}, map[string]recorder.Floor{
				"claims": {Share: share, MaxDraining: 1},
			})
			ze.Name = name
			zones[name] = ze
			old[name] = ze
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "zone")
			other := rapid.SampledFrom(names).Draw(t, "other")
			vm := rapid.SampledFrom(zones[name].VMs).Draw(t, "vm")
			var change recorder.Change
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				change = recorder.Drain{VM: vm.Name, Purpose: recorder.MaintenancePurpose}
			case 1:
				change = recorder.GiveBudget{Pool: "claims", To: other, Amount: recorder.Budget(rapid.IntRange(1, 2_000_000).Draw(t, "amount"))}
			case 2:
				change = recorder.ReceiveBudget{Pool: "claims", From: other, Total: old[other].Given["claims"][name]}
			case 3:
				change = recorder.Advance{VM: vm.Name, Event: rapid.SampledFrom([]recorder.Event{recorder.CancelEvent, recorder.ReturnedEvent}).Draw(t, "event")}
			default:
				old[name] = zones[name]
				continue
			}
			if next, err := recorder.Apply(zones[name], change, start); err == nil {
				zones[name] = next
			}
			out := 0
			for _, ze := range zones {
				out += len(ze.VMs) - ze.Count("claims").InService
			}
			must.LessEq(t, (1-share)*float64(members)+1e-6, float64(out))
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","vms":[{"name":"x","pool":"p","state":"inService","address":"127.0.0.1:1"}]}`))
	f.Add([]byte(`{"vms":[{"name":"x","pool":"","state":"gone"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ze, err := recorder.Decode(data)
		if err != nil {
			must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
			return
		}
		must.NoError(t, recorder.Check(ze))
	})
}
