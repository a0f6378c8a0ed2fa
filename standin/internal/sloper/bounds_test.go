package sloper

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/storer"
)

// The size that letter 1 names, for a node and a day.
const (
	workersToCome   = 810
	poolsToCome     = 206
	zonesToCome     = 7
	changesADay     = 310
	restartsADay    = 140
	maintenanceDays = 49
	// recordWritesPerVM is the number of writes that take a VM through its
	// maintenance, one for each state of its chart.
	recordWritesPerVM = 8
	trafficBound      = 12 << 10
	secondsPerDay     = 24 * 60 * 60
	// largestZone is twice the mean number of VMs of a zone.
	largestZone = 2 * workersToCome / zonesToCome
	// straight is how much a quantity may grow while its size doubles.
	straight = 2.1
)

func recordSize(t *testing.T, vms int) int {
	ze, err := zoneRecord("a", vms, true)
	must.NoError(t, err)
	data, err := recorder.Encode(ze)
	must.NoError(t, err)
	return len(data)
}

func directorySize(t *testing.T, vms int) int {
	data, err := registrar.Encode(directory("a", vms))
	must.NoError(t, err)
	return len(data)
}

func settingsSize(t *testing.T, pools int) int {
	source := settingsSource(pools)
	settings, err := configurer.Parse([]byte(source))
	must.NoError(t, err)
	must.Eq(t, pools, len(settings.Pools))
	data, err := configurer.EncodeRecord(configurer.Record{
		Revision: 1,
		ChangeID: "00000000-0000-4000-8000-000000000000",
		Source:   source,
	})
	must.NoError(t, err)
	return len(data)
}

func TestRecordsGrowAtMostLinearly(t *testing.T) {
	for name, sizeOf := range map[string]func(t *testing.T, size int) int{
		"fleet record": recordSize,
		"directory":    directorySize,
		"settings":     settingsSize,
	} {
		for idx := 1; idx < len(sizes); idx++ {
			before := sizeOf(t, sizes[idx-1])
			after := sizeOf(t, sizes[idx])
			must.Less(t, straight*float64(before), float64(after), must.Sprintf("%s at %d", name, sizes[idx]))
		}
	}
}

func TestRecordsToComeFitThePlatform(t *testing.T) {
	must.Less(t, storer.MaxValueBytes/2, recordSize(t, largestZone))
	must.Less(t, storer.MaxValueBytes/2, directorySize(t, largestZone))
	must.Less(t, storer.MaxValueBytes/2, settingsSize(t, poolsToCome))
}

func TestChangesToComeFitTheTrafficOfANode(t *testing.T) {
	outages := float64(restartsADay) + float64(workersToCome)/maintenanceDays
	inZone := outages / zonesToCome * recordWritesPerVM
	settings := float64(changesADay * settingsSize(t, poolsToCome))
	directories := inZone * float64(directorySize(t, largestZone))
	// A steward reads and writes the record for each change.
	records := 2 * inZone * float64(recordSize(t, largestZone))
	total := (settings + directories + records) / secondsPerDay
	t.Logf("settings %.0f B/s, directory %.0f B/s, fleet record %.0f B/s", settings/secondsPerDay, directories/secondsPerDay, records/secondsPerDay)
	must.Less(t, trafficBound/2, total)
}

func TestFitFindsALine(t *testing.T) {
	sr := &series{name: "line"}
	for _, size := range sizes {
		sr.add(float64(size), 5+3*float64(size))
	}
	le := fit(sr.points)
	must.InDelta(t, 3, le.slope, 1e-9)
	must.InDelta(t, 5, le.base, 1e-6)
	must.InDelta(t, 0, le.residual, 1e-6)
}
