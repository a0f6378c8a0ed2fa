package maintainer

import (
	"context"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/leaser"
)

// advanceWaves reports the zone's progress to the waves that have not ended, and
// starts the drains that are due in them.
func (mr *Maintainer) advanceWaves(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone) error {
	waves, err := mr.allWaves(ctx)
	if err != nil {
		return err
	}
	for _, wv := range waves {
		if planner.WaveChart.HasMark(string(wv.State), "final") {
			continue
		}
		if ze, err = mr.advanceWave(ctx, hd, ze, wv); err != nil {
			return err
		}
	}
	return nil
}

// advanceWave reports the zone's progress to a wave and starts its due drains. The
// report comes first, so that a wave that has to pause drains no further VM.
func (mr *Maintainer) advanceWave(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, wv planner.Wave) (recorder.Zone, error) {
	if _, changed := planner.UpdateProgress(wv, ze, wv.Changed); changed {
		reported, err := mr.waves.Change(ctx, wv.Name, func(wv planner.Wave) (planner.Wave, bool) {
			return planner.UpdateProgress(wv, ze, mr.waves.Now())
		})
		if err != nil {
			return ze, err
		}
		if reported.State != wv.State {
			mr.logger.Info("wave state changed", zap.String("wave", wv.Name), zap.String("state", string(reported.State)), zap.String("reason", reported.Reason))
		}
		wv = reported
	}
	for _, dn := range planner.NextDrains(wv, ze) {
		next, err := mr.startDrain(ctx, hd, ze, dn)
		if err != nil {
			return ze, err
		}
		ze = next
	}
	return ze, nil
}

// startDrain starts one drain. If it exceeds the zone's budget, startDrain borrows
// budget from other zones and retries once. If there is none to borrow, the drain
// waits for a later step.
func (mr *Maintainer) startDrain(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, dn recorder.Drain) (recorder.Zone, error) {
	next, err := mr.records.ChangeFenced(ctx, hd, mr.zone, "wave "+dn.Wave, dn)
	if classifier.CodeOf(err) == classifier.BudgetExceeded && mr.borrowBudget(ctx, ze, dn.VM) {
		next, err = mr.records.ChangeFenced(ctx, hd, mr.zone, "wave "+dn.Wave, dn)
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

// borrowBudget borrows budget for one more VM of the named VM's pool from other
// zones and reports whether it succeeded.
func (mr *Maintainer) borrowBudget(ctx context.Context, ze recorder.Zone, name string) bool {
	vm, err := ze.Find(name)
	if err != nil {
		return false
	}
	lent, err := planner.TransferBudget(ctx, mr.records, mr.zone, vm.Pool)
	if err != nil {
		mr.logger.Warn("budget can't be borrowed from other zones", zap.String("pool", vm.Pool), zap.Error(err))
	}
	return lent
}
