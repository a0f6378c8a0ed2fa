package planner_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
)

// TestLoansAllowDrainsInSmallZones has four availability zones with three VMs
// each of a pool that keeps 70% in service. No zone has enough budget of its own
// for a drain; with loans, three zones can drain one VM each.
func TestLoansAllowDrainsInSmallZones(t *testing.T) {
	var zones []recorder.Zone
	for _, name := range []string{"a", "b", "c", "d"} {
		ze := newZone(t, name, 6)
		ze.VMs = ze.VMs[:6]
		zones = append(zones, ze)
	}
	drained := 0
	for i := range zones {
		for _, loan := range planner.PlanLoans(zones, zones[i].Name, "claims") {
			for j := range zones {
				if zones[j].Name != loan.From {
					continue
				}
				zones[j] = applyChange(t, zones[j], loan.Change)
				zones[i] = applyChange(t, zones[i], recorder.ReceiveBudget{
					Pool:  "claims",
					From:  loan.From,
					Total: zones[j].Given["claims"][zones[i].Name],
				})
			}
		}
		next, err := recorder.Apply(zones[i], recorder.Drain{
			VM:      zones[i].VMs[0].Name,
			Purpose: recorder.MaintenancePurpose,
		}, start)
		if err == nil {
			zones[i] = next
			drained++
		}
	}
	must.EqOp(t, 3, drained)
	must.SliceEmpty(t, planner.PlanLoans(zones, "d", "claims"))
}

func applyChange(t must.T, ze recorder.Zone, ch recorder.Change) recorder.Zone {
	next, err := recorder.Apply(ze, ch, start)
	must.NoError(t, err)
	return next
}
