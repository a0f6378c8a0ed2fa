package planner

import (
	"context"

	"coltsfootwick.example/shared/fleet/recorder"
)

// TransferBudget moves budget of a pool from other availability zones to one, enough to
// take one more VM of the pool out of service there, and reports whether it
// moved any. Each step is safe on its own: what a zone gave and nobody took
// over is taken over the next time.
func TransferBudget(ctx context.Context, records *recorder.Repository, zone, pool string) (bool, error) {
	zones, err := records.Zones(ctx)
	if err != nil {
		return false, err
	}
	if changes := Outstanding(zones, zone, pool); len(changes) > 0 {
		_, err := records.Change(ctx, zone, "takes over what was lent before", changes...)
		return err == nil, err
	}
	loans := PlanLoans(zones, zone, pool)
	for _, loan := range loans {
		donor, err := records.Change(ctx, loan.From, "lent to availability zone "+zone, loan.Change)
		if err != nil {
			return false, err
		}
		receive := recorder.ReceiveBudget{
			Pool:  pool,
			From:  loan.From,
			Total: donor.Given[pool][zone],
		}
		if _, err := records.Change(ctx, zone, "borrowed", receive); err != nil {
			return false, err
		}
	}
	return len(loans) > 0, nil
}
