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

func TestChartPageIsUpToDate(t *testing.T) {
	path := filepath.Join("..", "..", "..", "docs", "charts", "wave.md")
	page := "# A maintenance wave\n\nDrawn from `shared/fleet/planner/wave.toml`.\n\n" + charter.Draw(planner.WaveChart)
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(page), 0o644))
	}
	golden, err := os.ReadFile(path)
	must.NoError(t, err)
	must.EqOp(t, string(golden), page)
}

// newZone returns a record with count VMs, four to a rack, that belong to two
// pools alternately.
func newZone(t must.T, name string, count int) recorder.Zone {
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

func newWave(zones ...string) planner.Wave {
	return planner.Wave{
		Name:        "w1",
		Zones:       zones,
		ZonesAtOnce: 1,
		MaxLost:     1,
		State:       planner.Planned,
		Progress:    map[string]planner.Progress{},
	}
}

// waveRun simulates a wave over some zones, step by step and with its own clock.
type waveRun struct {
	wave  planner.Wave
	zones map[string]recorder.Zone
	now   time.Time
	// isLost reports whether a VM does not come up after its reboot.
	isLost func(vm string) bool
}

// step simulates one pass of a zone's steward: it advances the VMs out of
// service, updates the wave's progress and drains VMs.
func (wr *waveRun) step(zone string) {
	wr.now = wr.now.Add(time.Second)
	wr.advanceVMs(zone)
	if wave, changed := planner.UpdateProgress(wr.wave, wr.zones[zone], wr.now); changed {
		wr.wave = wave
	}
	for _, dn := range planner.NextDrains(wr.wave, wr.zones[zone]) {
		if next, err := recorder.Apply(wr.zones[zone], dn, wr.now); err == nil {
			wr.zones[zone] = next
		}
	}
}

// advanceVMs applies the next event to each VM of a zone that is out of service.
func (wr *waveRun) advanceVMs(zone string) {
	events := map[recorder.State]recorder.Event{
		recorder.Draining:  recorder.DrainedEvent,
		recorder.Drained:   recorder.RebootEvent,
		recorder.Rebooting: recorder.UpEvent,
		recorder.Checking:  recorder.PassedEvent,
		recorder.Returning: recorder.ReturnedEvent,
	}
	for _, vm := range wr.zones[zone].VMs {
		event, ok := events[vm.State]
		if !ok {
			continue
		}
		if vm.State == recorder.Rebooting && wr.isLost(vm.Name) {
			event = recorder.LostEvent
		}
		next, err := recorder.Apply(wr.zones[zone], recorder.Advance{
			VM:    vm.Name,
			Event: event,
		}, wr.now)
		if err == nil {
			wr.zones[zone] = next
		}
	}
}

func newWaveRun(t must.T, isLost func(string) bool) *waveRun {
	wr := &waveRun{
		wave:   newWave("a", "b"),
		zones:  map[string]recorder.Zone{},
		now:    start,
		isLost: isLost,
	}
	for _, zone := range wr.wave.Zones {
		wr.zones[zone] = newZone(t, zone, 12)
	}
	wave, err := planner.Step(wr.wave, planner.StartEvent, "", wr.now)
	must.NoError(t, err)
	wr.wave = wave
	return wr
}

func TestWaveMaintainsEveryVMOnce(t *testing.T) {
	wr := newWaveRun(t, func(string) bool { return false })
	steps := 0
	for wr.wave.State == planner.Running && steps < 1000 {
		wr.step("a")
		wr.step("b")
		steps++
	}
	must.EqOp(t, planner.Done, wr.wave.State)
	for _, ze := range wr.zones {
		for _, vm := range ze.VMs {
			must.EqOp(t, recorder.InService, vm.State)
			must.True(t, vm.Maintained.After(start))
		}
	}
}

func TestWavePausesWhenVMsAreLost(t *testing.T) {
	wr := newWaveRun(t, func(string) bool { return true })
	for range 200 {
		wr.step("a")
		wr.step("b")
	}
	must.EqOp(t, planner.Paused, wr.wave.State)
	lost := 0
	for _, vm := range wr.zones["a"].VMs {
		if vm.State == recorder.Quarantined {
			lost++
		}
	}
	must.LessEq(t, 4, lost)
	must.EqOp(t, 0, wr.zones["b"].Count("claims").PlannedOutages)
	_, err := planner.Step(wr.wave, planner.StartEvent, "", wr.now)
	must.EqOp(t, classifier.WaveRefused, classifier.CodeOf(err))
}

// TestResumedWaveWaitsForBudget loses one VM of each pool, so that the wave
// pauses. After an operator resumes it, the lost VMs no longer count towards
// MaxLost, but no VM is drained beyond the budget. The wave finishes after an
// operator has released the lost VMs.
func TestResumedWaveWaitsForBudget(t *testing.T) {
	lost := map[string]bool{"a-00": true, "a-01": true}
	wr := newWaveRun(t, func(vm string) bool { return lost[vm] })
	run := func() {
		for range 200 {
			wr.step("a")
			wr.step("b")
		}
	}
	run()
	must.EqOp(t, planner.Paused, wr.wave.State)
	wave, err := planner.Step(wr.wave, planner.ResumeEvent, "lost VMs investigated", wr.now)
	must.NoError(t, err)
	wr.wave = wave
	run()
	must.EqOp(t, planner.Running, wr.wave.State)
	must.EqOp(t, 5, wr.zones["a"].Count("claims").InService)
	for vm := range lost {
		next, err := recorder.Apply(wr.zones["a"], recorder.Advance{
			VM:    vm,
			Event: recorder.ReleaseEvent,
		}, wr.now)
		must.NoError(t, err)
		wr.zones["a"] = next
	}
	run()
	must.EqOp(t, planner.Done, wr.wave.State)
}

// TestWaveKeepsBudgetAndDrainsOneRack runs waves with random losses, zones that
// advance in random order, and an operator who pauses and resumes. A step that
// takes VMs out of service must never exceed the budget, and the VMs out for
// maintenance, apart from lost ones, must be in one rack.
func TestWaveKeepsBudgetAndDrainsOneRack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rd := rand.New(rand.NewPCG(seed, 0))
		wr := newWaveRun(t, func(string) bool { return rd.IntN(20) == 0 })
		for range 300 {
			if rd.IntN(40) == 0 {
				event := planner.PauseEvent
				if wr.wave.State == planner.Paused {
					event = planner.ResumeEvent
				}
				if wave, err := planner.Step(wr.wave, event, "operator", wr.now); err == nil {
					wr.wave = wave
				}
			}
			zone := wr.wave.Zones[rd.IntN(2)]
			before := wr.zones[zone]
			wr.step(zone)
			checkRacks(t, wr.zones[zone])
			checkFloors(t, before, wr.zones[zone])
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

func TestDecodeReturnsEncodedWave(t *testing.T) {
	wr := newWaveRun(t, func(string) bool { return false })
	wr.step("a")
	data, err := planner.Encode(wr.wave)
	must.NoError(t, err)
	decoded, err := planner.Decode(data)
	must.NoError(t, err)
	must.Eq(t, wr.wave, decoded)
	_, err = planner.Decode([]byte(`{"name":"w","state":"gone"}`))
	must.EqOp(t, classifier.RecordInvalid, classifier.CodeOf(err))
}
