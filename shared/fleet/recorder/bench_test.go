package recorder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/recorder"
)

// benchZone returns the record of a zone with 128 VMs, the size planned for.
func benchZone(b *testing.B) recorder.Zone {
	const vms = 128
	ze := recorder.Zone{
		Name:   "a",
		Floors: map[string]recorder.Floor{"claims": {}},
	}
	for idx := range vms {
		next, err := recorder.Apply(ze, recorder.Register{VM: recorder.VM{
			Name:    fmt.Sprintf("a-%03d", idx),
			Rack:    fmt.Sprintf("a-r%02d", idx/4),
			Address: netip.MustParseAddrPort("127.0.1.1:9000"),
			Pool:    "claims",
		}}, time.Time{})
		must.NoError(b, err)
		ze = next
	}
	return ze
}

// BenchmarkEncode measures encoding a zone's record.
func BenchmarkEncode(b *testing.B) {
	ze := benchZone(b)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = recorder.Encode(ze)
	}
}

// BenchmarkDecode measures decoding a zone's record.
func BenchmarkDecode(b *testing.B) {
	data, err := recorder.Encode(benchZone(b))
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = recorder.Decode(data)
	}
}

// BenchmarkApply measures applying one change to a zone's record.
func BenchmarkApply(b *testing.B) {
	ze := benchZone(b)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = recorder.Apply(ze, recorder.Drain{
			VM:      "a-000",
			Purpose: recorder.MaintenancePurpose,
			Wave:    "wave",
		}, time.Time{})
	}
}
