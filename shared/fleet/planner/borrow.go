package planner

import (
	"cmp"
	"slices"

	"coltsfootwick.example/shared/fleet/recorder"
)

// Loan is a transfer of a pool's budget from one availability zone to another.
type Loan struct {
	// From is the availability zone that gives the budget.
	From string
	// Change is the change of the record of From.
	Change recorder.GiveBudget
}

// PlanLoans returns the loans that an availability zone needs to take one more
// VM of a pool out of service. Zones with the most free budget give first. It
// returns nil if the zone has enough budget, or if all zones together have too
// little, because a partial transfer would not allow the drain.
func PlanLoans(zones []recorder.Zone, to, pool string) []Loan {
	var need recorder.Budget
	var donors []recorder.Zone
	for _, ze := range zones {
		if ze.Name == to {
			need = recorder.OneVM - ze.Free(pool)
		} else if ze.Free(pool) > 0 {
			donors = append(donors, ze)
		}
	}
	slices.SortStableFunc(donors, func(a, b recorder.Zone) int {
		return cmp.Compare(b.Free(pool), a.Free(pool))
	})
	var loans []Loan
	for _, ze := range donors {
		if need <= 0 {
			break
		}
		amount := min(need, ze.Free(pool))
		need -= amount
		loans = append(loans, Loan{
			From: ze.Name,
			Change: recorder.GiveBudget{
				Pool:   pool,
				To:     to,
				Amount: amount,
			},
		})
	}
	if need > 0 {
		return nil
	}
	return loans
}

// PendingReceipts returns the changes that receive the budget that other
// availability zones have recorded as given to a zone and the zone has not
// recorded as received, because its steward stopped between the two writes.
func PendingReceipts(zones []recorder.Zone, to, pool string) []recorder.Change {
	received := map[string]recorder.Budget{}
	for _, ze := range zones {
		if ze.Name == to {
			received = ze.Received[pool]
		}
	}
	var changes []recorder.Change
	for _, ze := range zones {
		total := ze.Given[pool][to]
		if total <= received[ze.Name] {
			continue
		}
		changes = append(changes, recorder.ReceiveBudget{
			Pool:  pool,
			From:  ze.Name,
			Total: total,
		})
	}
	return changes
}
