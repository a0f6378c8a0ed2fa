package maintainer

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/leaser"
)

// maintain reports the zone's progress to the waves that aren't over, and
// begins the drains that they want.
func (mr *Maintainer) maintain(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone) error {
	waves, err := mr.allWaves(ctx)
	if err != nil {
		return err
	}
	for _, wv := range waves {
		if planner.WaveChart.Has(string(wv.State), "final") {
			continue
		}
		if ze, err = mr.goOn(ctx, hd, ze, wv); err != nil {
			return err
		}
	}
	return nil
}

// goOn reports to one wave and begins its drains. The report goes first, so
// that a wave that has to pause takes no further VM.
func (mr *Maintainer) goOn(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, wv planner.Wave) (recorder.Zone, error) {
	if _, changed := planner.Report(wv, ze, wv.Changed); changed {
		reported, err := mr.waves.Change(ctx, wv.Name, func(wv planner.Wave) (planner.Wave, bool) {
			return planner.Report(wv, ze, mr.waves.Now())
		})
		if err != nil {
			return ze, err
		}
		if reported.State != wv.State {
			mr.logger.Info("wave goes on", zap.String("wave", wv.Name), zap.String("state", string(reported.State)), zap.String("reason", reported.Reason))
		}
		wv = reported
	}
	for _, dn := range planner.NextDrains(wv, ze) {
		next, err := mr.drain(ctx, hd, ze, dn)
		if err != nil {
			return ze, err
		}
		ze = next
	}
	return ze, nil
}

// drain begins one drain. If the zone lacks the budget, it borrows from other
// zones and tries once more; if there is none to borrow, the drain waits.
func (mr *Maintainer) drain(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, dn recorder.Drain) (recorder.Zone, error) {
	next, err := mr.records.ChangeUnder(ctx, hd, mr.zone, "wave "+dn.Wave, dn)
	if classifier.CodeOf(err) == classifier.BudgetExceeded && mr.borrow(ctx, ze, dn.VM) {
		next, err = mr.records.ChangeUnder(ctx, hd, mr.zone, "wave "+dn.Wave, dn)
	}
	switch classifier.CodeOf(err) {
	case classifier.OK:
		return next, nil
	case classifier.BudgetExceeded, classifier.VMBusy:
		return ze, nil
	default:
		return ze, err
	}
}

// borrow gets budget for one more VM of the pool from other zones and reports
// whether it did.
func (mr *Maintainer) borrow(ctx context.Context, ze recorder.Zone, name string) bool {
	vm, err := ze.Find(name)
	if err != nil {
		return false
	}
	lent, err := planner.Lend(ctx, mr.records, mr.zone, vm.Pool)
	if err != nil {
		mr.logger.Warn("budget not lent", zap.String("pool", vm.Pool), zap.Error(err))
	}
	return lent
}
