package planner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"coltsfootwick.example/shared/fleet/charter"
	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestChartIsDrawnInDocs(t *testing.T) {
	path := filepath.Join("..", "..", "..", "docs", "charts", "wave.md")
	drawn := "# A maintenance wave\n\nDrawn from `shared/fleet/planner/wave.toml`.\n\n" + charter.Draw(planner.WaveChart)
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(drawn), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(golden), drawn)
}

// zoneOf returns a record with count VMs, four to a rack, of two pools in turn.
func zoneOf(t must.T, name string, count int) recorder.Zone {
	ze := recorder.Zone{Name: name}
	changes := []recorder.Change{
		recorder.SetFloors{
			Revision: 1,
			Floors: map[string]recorder.Floor{
				"claims": {Share: 0.7, MaxDraining: 0.2},
				"checks": {Share: 0.5, MaxDraining: 0.5},
			},
		},
	}
	for i := range count {
		changes = append(changes, recorder.Register{
			VM: recorder.VM{
				Name:    fmt.Sprintf("%s-%02d", name, i),
				Rack:    fmt.Sprintf("%s-r%d", name, i/4),
				Address: netip.MustParseAddrPort("127.0.1.1:9000"),
				Pool:    []string{"claims", "checks"}[i%2],
			},
		})
	}
	for _, change := range changes {
		next, err := recorder.Apply(ze, change, start)
		must.NoError(t, err)
		ze = next
	}
	return ze
}

func planned(zones ...string) planner.Wave {
	return planner.Wave{
		Name:        "w1",
		Zones:       zones,
		ZonesAtOnce: 1,
		MaxLost:     1,
		State:       planner.Planned,
		Progress:    map[string]planner.Progress{},
	}
}

// fleet is a wave over some zones with a clock, driven step by step.
type fleet struct {
	wave  planner.Wave
	zones map[string]recorder.Zone
	now   time.Time
	// lose tells whether a VM stays away after its reboot.
	lose func(vm string) bool
}

// step lets the steward of a zone act once: life events of VMs, a report, and
// drains.
func (ft *fleet) step(zone string) {
	ft.now = ft.now.Add(time.Second)
	ft.live(zone)
	if wave, changed := planner.UpdateProgress(ft.wave, ft.zones[zone], ft.now); changed {
		ft.wave = wave
	}
	for _, dn := range planner.NextDrains(ft.wave, ft.zones[zone]) {
		if next, err := recorder.Apply(ft.zones[zone], dn, ft.now); err == nil {
			ft.zones[zone] = next
		}
	}
}

func (ft *fleet) live(zone string) {
	events := map[recorder.State]recorder.Event{
		recorder.Draining:  recorder.DrainedEvent,
		recorder.Drained:   recorder.RebootEvent,
		recorder.Rebooting: recorder.UpEvent,
		recorder.Checking:  recorder.PassedEvent,
		recorder.Returning: recorder.ReturnedEvent,
	}
	for _, vm := range ft.zones[zone].VMs {
		event, ok := events[vm.State]
		if !ok {
			continue
		}
		if vm.State == recorder.Rebooting && ft.lose(vm.Name) {
			event = recorder.LostEvent
		}
		next, err := recorder.Apply(ft.zones[zone], recorder.Advance{
			VM:    vm.Name,
			Event: event,
		}, ft.now)
		if err == nil {
			ft.zones[zone] = next
		}
	}
}

func newFleet(t must.T, lose func(string) bool) *fleet {
	ft := &fleet{
		wave:  planned("a", "b"),
		zones: map[string]recorder.Zone{},
		now:   start,
		lose:  lose,
	}
	for _, zone := range ft.wave.Zones {
		ft.zones[zone] = zoneOf(t, zone, 12)
	}
	wave, err := planner.Step(ft.wave, planner.StartEvent, "", ft.now)
	must.NoError(t, err)
	ft.wave = wave
	return ft
}

func TestWaveMaintainsEveryVMOnce(t *testing.T) {
	ft := newFleet(t, func(string) bool { return false })
	steps := 0
	for ft.wave.State == planner.Running && steps < 1000 {
		ft.step("a")
		ft.step("b")
		steps++
	}
	must.EqOp(t, planner.Done, ft.wave.State)
	for _, ze := range ft.zones {
		for _, vm := range ze.VMs {
			must.EqOp(t, recorder.InService, vm.State)
			must.True(t, vm.Maintained.After(start))
		}
	}
}

func TestWaveStopsWhenVMsStayAway(t *testing.T) {
	ft := newFleet(t, func(string) bool { return true })
	for range 200 {
		ft.step("a")
		ft.step("b")
	}
	must.EqOp(t, planner.Paused, ft.wave.State)
	lost := 0
	for _, vm := range ft.zones["a"].VMs {
		if vm.State == recorder.Quarantined {
			lost++
		}
	}
	must.LessEq(t, 4, lost)
	must.EqOp(t, 0, ft.zones["b"].Count("claims").PlannedOutages)
	_, err := planner.Step(ft.wave, planner.StartEvent, "", ft.now)
	must.EqOp(t, classifier.WaveRefused, classifier.CodeOf(err))
}

// TestResumedWaveWaitsForBudget loses one VM of each pool. The wave pauses;
// resumed, it forgives them but takes no VM that the budget needs, and it ends
// when an operator has released the lost VMs.
func TestResumedWaveWaitsForBudget(t *testing.T) {
	away := map[string]bool{"a-00": true, "a-01": true}
	ft := newFleet(t, func(vm string) bool { return away[vm] })
	run := func() {
		for range 200 {
			ft.step("a")
			ft.step("b")
		}
	}
	run()
	must.EqOp(t, planner.Paused, ft.wave.State)
	wave, err := planner.Step(ft.wave, planner.ResumeEvent, "looked at", ft.now)
	must.NoError(t, err)
	ft.wave = wave
	run()
	must.EqOp(t, planner.Running, ft.wave.State)
	must.EqOp(t, 5, ft.zones["a"].Count("claims").InService)
	for vm := range away {
		next, err := recorder.Apply(ft.zones["a"], recorder.Advance{
			VM:    vm,
			Event: recorder.ReleaseEvent,
		}, ft.now)
		must.NoError(t, err)
		ft.zones["a"] = next
	}
	run()
	must.EqOp(t, planner.Done, ft.wave.State)
}

// TestWaveKeepsBudgetAndRack runs waves with random losses, random pauses of
// the stewards and an operator who pauses and resumes. At every moment each
// pool keeps its floor but for lost VMs, and the VMs out are in one rack.
func TestWaveKeepsBudgetAndRack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rd := rand.New(rand.NewPCG(seed, 0))
		ft := newFleet(t, func(string) bool { return rd.IntN(20) == 0 })
		for range 300 {
			if rd.IntN(40) == 0 {
				event := planner.PauseEvent
				if ft.wave.State == planner.Paused {
					event = planner.ResumeEvent
				}
				if wave, err := planner.Step(ft.wave, event, "operator", ft.now); err == nil {
					ft.wave = wave
				}
			}
			zone := ft.wave.Zones[rd.IntN(2)]
			before := ft.zones[zone]
			ft.step(zone)
			checkRacks(t, ft.zones[zone])
			checkFloors(t, before, ft.zones[zone])
		}
	})
}

func checkRacks(t *rapid.T, ze recorder.Zone) {
	racks := map[string]bool{}
	for _, vm := range ze.VMs {
		if vm.Purpose == recorder.MaintenancePurpose && vm.State != recorder.Quarantined {
			racks[vm.Rack] = true
		}
	}
	must.LessEq(t, 1, len(racks))
}

func checkFloors(t *rapid.T, before, after recorder.Zone) {
	for pool := range after.Floors {
		if after.Count(pool).InService < before.Count(pool).InService {
			must.GreaterEq(t, 0, after.Free(pool))
		}
	}
}

func TestCodecKeepsWave(t *testing.T) {
	ft := newFleet(t, func(string) bool { return false })
	ft.step("a")
	data, err := planner.Encode(ft.wave)
	must.NoError(t, err)
	back, err := planner.Decode(data)
	must.NoError(t, err)
	must.Eq(t, ft.wave, back)
	_, err = planner.Decode([]byte(`{"name":"w","state":"gone"}`))
	must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
}
