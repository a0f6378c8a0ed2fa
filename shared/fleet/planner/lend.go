package planner

import (
	"context"

	"coltsfootwick.example/shared/fleet/recorder"
)

// TransferBudget transfers budget of a pool from other availability zones to
// zone, enough to take one more VM of the pool out of service there, and reports
// whether it transferred any. It may be interrupted after any write: budget that
// is recorded as given and not yet as received is received by the next call.
func TransferBudget(ctx context.Context, records *recorder.Repository, zone, pool string) (bool, error) {
	zones, err := records.Zones(ctx)
	if err != nil {
		return false, err
	}
	if changes := PendingReceipts(zones, zone, pool); len(changes) > 0 {
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
