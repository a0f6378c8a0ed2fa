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

// newZone returns a record with the given number of VMs in each pool, four to a
// rack.
func newZone(t must.T, pools map[string]int, floors map[string]recorder.Floor) recorder.Zone {
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
		{"budget is rounded down to whole VMs", 10, recorder.Floor{Share: 0.75, MaxDraining: 1}, recorder.MaintenancePurpose, 2},
		{"budget of a whole number of VMs is not rounded", 10, recorder.Floor{Share: 0.7, MaxDraining: 1}, recorder.MaintenancePurpose, 3},
		{"moves keep MinMembers", 4, recorder.Floor{Share: 0.25, MinMembers: 3, MaxDraining: 1}, recorder.MovePurpose, 1},
		{"maintenance is limited by MaxDraining", 10, recorder.Floor{Share: 0.5, MaxDraining: 0.2}, recorder.MaintenancePurpose, 2},
		{"MaxDraining allows at least one VM", 4, recorder.Floor{Share: 0.7, MaxDraining: 0.1}, recorder.MaintenancePurpose, 1},
		{"budget of a small pool is less than one VM", 3, recorder.Floor{Share: 0.7, MaxDraining: 1}, recorder.MaintenancePurpose, 0},
		{"last VM stays in service", 2, recorder.Floor{Share: 0.001, MaxDraining: 1}, recorder.MaintenancePurpose, 1},
	}
	for _, ce := range cases {
		t.Run(ce.name, func(t *testing.T) {
			ze := newZone(t, map[string]int{"claims": ce.members}, map[string]recorder.Floor{
				"claims": ce.floor,
				"spare":  {},
			})
			must.EqOp(t, ce.allowed, drainAll(t, &ze, "claims", ce.purpose))
		})
	}
}

// drainAll drains VMs of a pool until a drain is rejected and returns the
// number of drained VMs.
func drainAll(t must.T, ze *recorder.Zone, pool string, purpose recorder.Purpose) int {
	drained := 0
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
			return drained
		}
		*ze = next
		drained++
	}
	return drained
}

func TestMoveChangesPoolOnce(t *testing.T) {
	ze := newZone(t, map[string]int{"claims": 4}, map[string]recorder.Floor{
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

func TestApplyRejectsInvalidChanges(t *testing.T) {
	ze := newZone(t, map[string]int{"claims": 4}, map[string]recorder.Floor{
		"claims": {},
	})
	cases := []struct {
		name   string
		change recorder.Change
		code   classifier.Code
	}{
		{"unknown VM", recorder.Drain{VM: "x", Purpose: recorder.MaintenancePurpose}, classifier.VMUnknown},
		{"unknown pool", recorder.Drain{VM: "claims-00", Purpose: recorder.MovePurpose, MoveTo: "x"}, classifier.PoolUnknown},
		{"move to own pool", recorder.Drain{VM: "claims-00", Purpose: recorder.MovePurpose, MoveTo: "claims"}, classifier.VMBusy},
		{"no purpose", recorder.Drain{VM: "claims-00"}, classifier.Internal},
		{"drain as an event", recorder.Advance{VM: "claims-00", Event: recorder.DrainEvent}, classifier.Internal},
		{"event not allowed in state", recorder.Advance{VM: "claims-00", Event: recorder.UpEvent}, classifier.VMBusy},
		{"reassign in service", recorder.Reassign{VM: "claims-00", To: "claims"}, classifier.VMBusy},
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

func TestSetFloorsIgnoresOldRevision(t *testing.T) {
	ze := newZone(t, map[string]int{"claims": 1}, map[string]recorder.Floor{
		"claims": {MinMembers: 1},
	})
	next := apply(t, ze, recorder.SetFloors{
		Revision: 1,
		Floors:   map[string]recorder.Floor{},
	})
	must.Eq(t, ze, next)
}

// TestPlannedChangesKeepTheBudget applies random changes and losses of VMs. An
// accepted drain must leave the pool at or above its floor, no VM may appear or
// disappear, and the record must stay valid and survive encoding and decoding.
func TestPlannedChangesKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := []string{"claims", "checks", "spare"}
		ze := newZone(t, map[string]int{"claims": 6, "checks": 5, "spare": 2}, map[string]recorder.Floor{
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

// TestZonesTogetherKeepTheBudget transfers budget between zones in random
// order. Transfers may be repeated and may rely on a stale record of the other
// zone, as after a race or a pause of a steward. Unless VMs are lost, all zones
// together must never have more VMs of a pool out of service than the pool's
// budget allows.
func TestZonesTogetherKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		names := []string{"a", "b", "c", "d"}
		zones := map[string]recorder.Zone{}
		stale := map[string]recorder.Zone{}
		members := 0
		for _, name := range names {
			count := rapid.IntRange(1, 4).Draw(t, "members")
			members += count
			ze := newZone(t, map[string]int{"claims": count}, map[string]recorder.Floor{
				"claims": {Share: share, MaxDraining: 1},
			})
			ze.Name = name
			zones[name] = ze
			stale[name] = ze
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
				change = recorder.ReceiveBudget{Pool: "claims", From: other, Total: stale[other].Given["claims"][name]}
			case 3:
				change = recorder.Advance{VM: vm.Name, Event: rapid.SampledFrom([]recorder.Event{recorder.CancelEvent, recorder.ReturnedEvent}).Draw(t, "event")}
			default:
				stale[name] = zones[name]
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
