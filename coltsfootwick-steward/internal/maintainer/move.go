package maintainer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/sizer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/leaser"
)

// planInterval is how often a move is looked for that no lost VM calls for.
const planInterval = 5 * time.Minute

// move observes the urgent demand and begins the move that the sizer plans, if
// the settings have a spare pool. A move that the budget doesn't allow waits.
func (mr *Maintainer) move(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone) error {
	settings, ok := mr.settings.Settings()
	if !ok {
		return nil
	}
	spare, ok := sparePool(settings.Pools)
	if !ok {
		return nil
	}
	now := time.Now()
	if demand, ok := mr.observer.UrgentDemand(ctx); ok {
		for pool, slots := range demand {
			mr.estimator.Observe(pool, slots, now)
		}
	}
	if now.Sub(mr.planned) < planInterval && !hasLost(ze, spare) {
		return nil
	}
	mr.planned = now
	zones, err := mr.records.Zones(ctx)
	if err != nil {
		return err
	}
	mv, ok := mr.sizerFor(spare).Plan(sizer.PoolsOf(ze, others(zones, ze.Name)), mr.estimator, now)
	if !ok {
		return nil
	}
	return mr.begin(ctx, hd, ze, mv)
}

func (mr *Maintainer) begin(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, mv sizer.Move) error {
	changes := sizer.Changes(ze, mv)
	if len(changes) == 0 {
		return nil
	}
	_, err := mr.records.ChangeUnder(ctx, hd, mr.zone, mv.Reason, changes...)
	if dn, ok := changes[0].(recorder.Drain); ok && classifier.CodeOf(err) == classifier.BudgetExceeded && mr.borrow(ctx, ze, dn.VM) {
		_, err = mr.records.ChangeUnder(ctx, hd, mr.zone, mv.Reason, changes...)
	}
	switch classifier.CodeOf(err) {
	case classifier.OK:
		mr.logger.Info("move begun", zap.String("from", mv.From), zap.String("to", mv.To), zap.String("reason", mv.Reason))
		return nil
	case classifier.BudgetExceeded, classifier.VMBusy:
		return nil
	default:
		return err
	}
}

// sizerFor returns the sizer, made anew when the spare pool's name changes.
func (mr *Maintainer) sizerFor(spare string) *sizer.Sizer {
	if mr.sizer == nil || mr.spare != spare {
		mr.sizer = sizer.New(spare)
		mr.spare = spare
	}
	return mr.sizer
}

// hasLost reports whether a pool other than the spare one has lost a VM that
// the spare pool can make up for.
func hasLost(ze recorder.Zone, spare string) bool {
	if ze.Count(spare).InService == 0 {
		return false
	}
	return slices.ContainsFunc(ze.VMs, func(vm recorder.VM) bool {
		return vm.State == recorder.Quarantined && vm.Pool != spare
	})
}

func sparePool(pools map[string]configurer.Pool) (string, bool) {
	for name, pl := range pools {
		if pl.Spare {
			return name, true
		}
	}
	return "", false
}

func others(zones []recorder.Zone, name string) []recorder.Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(ze recorder.Zone) bool { return ze.Name == name })
}
