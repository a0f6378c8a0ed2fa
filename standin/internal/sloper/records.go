package sloper

import (
	"context"
	"time"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/fleet/sizer"
)

// sizes double five times.
var sizes = []int{8, 16, 32, 64, 128, 256}

// measureRecords measures the records of one availability zone, and the
// decisions of its stewards, as its VMs grow.
func measureRecords(context.Context) ([]*series, error) {
	var (
		record  = &series{name: "fleetRecordBytes", unit: "B", per: "VM"}
		encode  = &series{name: "fleetRecordEncode", unit: "µs", per: "VM"}
		decode  = &series{name: "fleetRecordDecode", unit: "µs", per: "VM"}
		apply   = &series{name: "fleetChangeApply", unit: "µs", per: "VM"}
		list    = &series{name: "directoryBytes", unit: "B", per: "VM"}
		readDir = &series{name: "directoryDecode", unit: "µs", per: "VM"}
		step    = &series{name: "stewardMaintenanceStep", unit: "µs", per: "VM"}
		plan    = &series{name: "stewardMovePlan", unit: "µs", per: "VM"}
		held    = &series{name: "stewardRecordHeap", unit: "B", per: "VM"}
	)
	for _, size := range sizes {
		ze, err := zoneRecord("a", size, true)
		if err != nil {
			return nil, err
		}
		data, err := recorder.Encode(ze)
		if err != nil {
			return nil, err
		}
		listed, err := registrar.Encode(directory("a", size))
		if err != nil {
			return nil, err
		}
		at := float64(size)
		record.add(at, float64(len(data)))
		list.add(at, float64(len(listed)))
		encode.add(at, timeOf(func() { _, _ = recorder.Encode(ze) }))
		decode.add(at, timeOf(func() { _, _ = recorder.Decode(data) }))
		readDir.add(at, timeOf(func() { _, _ = registrar.Decode(listed) }))
		apply.add(at, timeOf(func() { _, _ = recorder.Apply(ze, drainOf(ze), begin) }))
		step.add(at, timeOf(func() { maintain(ze) }))
		plan.add(at, timeOf(planOf(ze)))
		held.add(at, growth(func() any { copied, _ := recorder.Decode(data); return &copied }))
	}
	return []*series{record, encode, decode, apply, list, readDir, step, plan, held}, nil
}

func drainOf(ze recorder.Zone) recorder.Drain {
	return recorder.Drain{
		VM:      ze.VMs[0].Name,
		Purpose: recorder.MaintenancePurpose,
		Wave:    "2026-week-50",
	}
}

// maintain takes the decisions of one step of a wave, and applies the first.
func maintain(ze recorder.Zone) {
	wv := planner.Wave{
		Name:        "2026-week-50",
		Zones:       []string{ze.Name},
		ZonesAtOnce: 1,
		MaxLost:     vmsPerRack,
		State:       planner.Running,
		Started:     begin.Add(time.Hour),
	}
	wv, _ = planner.UpdateProgress(wv, ze, begin.Add(time.Hour))
	for _, dn := range planner.NextDrains(wv, ze) {
		if _, err := recorder.Apply(ze, dn, begin); err == nil {
			return
		}
	}
}

// planOf returns the decision about a move, with demand seen on each pool.
func planOf(ze recorder.Zone) func() {
	const demandSlots = 20
	sr := sizer.New("spare")
	er := sizer.NewEstimator()
	for pool := range ze.Floors {
		for slots := range demandSlots {
			er.Observe(pool, float64(slots), begin.Add(time.Duration(slots)*time.Second))
		}
	}
	return func() { _, _ = sr.Plan(sizer.PoolsOf(ze, nil), er, begin.Add(time.Hour)) }
}
