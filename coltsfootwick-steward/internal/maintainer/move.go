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

// planInterval is the time between two plans of moves. A VM that the spare pool
// can replace is planned for at once.
const planInterval = 5 * time.Minute

// planMove observes the urgent demand and starts the move that the sizer plans, if
// the settings have a spare pool. A move that exceeds the budget waits for a later
// plan.
func (mr *Maintainer) planMove(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone) error {
	settings, ok := mr.settings.Settings()
	if !ok {
		return nil
	}
	spareName, ok := sparePool(settings.Pools)
	if !ok {
		return nil
	}
	now := time.Now()
	if demand, ok := mr.observer.UrgentDemand(ctx); ok {
		for pool, slots := range demand {
			mr.estimator.Observe(pool, slots, now)
		}
	}
	if now.Sub(mr.lastPlanned) < planInterval && !hasReplaceableLoss(ze, spareName) {
		return nil
	}
	mr.lastPlanned = now
	zones, err := mr.records.Zones(ctx)
	if err != nil {
		return err
	}
	mv, ok := mr.sizerFor(spareName).Plan(sizer.PoolsOf(ze, otherZones(zones, ze.Name)), mr.estimator, now)
	if !ok {
		return nil
	}
	return mr.startMove(ctx, hd, ze, mv)
}

// startMove writes the changes of a move to the record, with budget borrowed from
// other zones if it exceeds that of its own.
func (mr *Maintainer) startMove(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, mv sizer.Move) error {
	changes := sizer.MoveChanges(ze, mv)
	if len(changes) == 0 {
		return nil
	}
	_, err := mr.records.ChangeFenced(ctx, hd, mr.zone, mv.Reason, changes...)
	if dn, ok := changes[0].(recorder.Drain); ok && classifier.CodeOf(err) == classifier.BudgetExceeded && mr.borrowBudget(ctx, ze, dn.VM) {
		_, err = mr.records.ChangeFenced(ctx, hd, mr.zone, mv.Reason, changes...)
	}
	switch classifier.CodeOf(err) {
	case classifier.OK:
		mr.logger.Info("move between pools started", zap.String("from", mv.From), zap.String("to", mv.To), zap.String("reason", mv.Reason))
		return nil
	case classifier.BudgetExceeded, classifier.VMBusy:
		return nil
	default:
		return err
	}
}

// sizerFor returns the sizer of a spare pool. It is replaced when the pool's name
// changes.
func (mr *Maintainer) sizerFor(spareName string) *sizer.Sizer {
	if mr.sizer == nil || mr.spareName != spareName {
		mr.sizer = sizer.New(spareName)
		mr.spareName = spareName
	}
	return mr.sizer
}

// hasReplaceableLoss reports whether a pool other than the spare pool has a
// quarantined VM and the spare pool has a VM in service to replace it.
func hasReplaceableLoss(ze recorder.Zone, spareName string) bool {
	if ze.Count(spareName).InService == 0 {
		return false
	}
	return slices.ContainsFunc(ze.VMs, func(vm recorder.VM) bool {
		return vm.State == recorder.Quarantined && vm.Pool != spareName
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

func otherZones(zones []recorder.Zone, name string) []recorder.Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(ze recorder.Zone) bool { return ze.Name == name })
}
