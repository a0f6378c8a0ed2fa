package lender

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStartFinish measures the cost of one attempt in the lender with
// twelve targets and two entries.
func BenchmarkStartFinish(b *testing.B) {
	now := testStart
	le := New(Entry{Name: "e1"}, DefaultConfig())
	var targets []Target
	for i := range 12 {
		targets = append(targets, Target{
			VM:          fmt.Sprintf("a-%02d", i+1),
			Slots:       8,
			Connections: 64,
		})
	}
	le.SetTargets(now, targets)
	le.SetMembers(now, []Entry{{Name: "e2"}})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		le.Allowed(now, "a-01")
		le.Start(now, "a-01")
		le.Finish(now, "a-01")
	}
}
