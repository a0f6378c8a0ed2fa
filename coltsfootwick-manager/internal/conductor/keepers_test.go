package conductor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
)

// TestBacklogsAreSentOnlyWithPressure guards against a message that managers of before
// it don't know, and against figures of a holder that hasn't loaded its records.
func TestBacklogsAreSentOnlyWithPressure(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, tc := range []struct{ hasPressure, isLoaded bool }{{false, true}, {true, false}, {true, true}} {
		cd := &Conductor{hasPressure: tc.hasPressure}
		tm := &term{
			Conductor:   cd,
			allocator:   allocator.New(now, allocator.Bounds{}, cd.allocatorOptions()...),
			distributor: distributor.New(),
		}
		if tc.isLoaded {
			tm.allocator.Apply(now, allocator.RecordsLoaded{})
		}
		tm.distributor.Join(now, assigner.Keeper{ID: "k"})
		tm.refreshBacklogs(now)
		_, err := tm.distributor.Receive(now, "k", distributor.Ask{Number: 1}, true)
		must.NoError(t, err)
		expected := 1
		if tc.hasPressure && tc.isLoaded {
			expected = 2
		}
		must.Len(t, expected, tm.distributor.Outgoing()["k"], must.Sprintf("%+v", tc))
	}
}
