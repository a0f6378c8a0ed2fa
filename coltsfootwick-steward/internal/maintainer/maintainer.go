// Package maintainer carries out moves and maintenance waves in one
// availability zone: it drains VMs within the availability budgets, reboots or
// moves them, checks them and returns them to service. Its progress is stored in
// the fleet record and the waves, so the next holder of the duty resumes it.
package maintainer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/sizer"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

// Duty is the name of the duty that a Maintainer serves.
const Duty = "fleet"

// Observer observes VMs independently of the fleet record.
type Observer interface {
	// Idle reports whether every live entry of the availability zone has taken
	// the VM out of use and has no request in flight there.
	Idle(ctx context.Context, vm recorder.VM) bool
	// Healthy reports whether the VM passes its health check.
	Healthy(ctx context.Context, vm recorder.VM) bool
	// UrgentDemand returns the urgent demand on each pool in slots, or false if
	// no entry answers.
	UrgentDemand(ctx context.Context) (map[string]float64, bool)
}

// SettingsSource provides the settings in force.
type SettingsSource interface {
	// Settings returns the settings in force, or false if there are none yet.
	Settings() (configurer.Settings, bool)
}

// Maintainer serves the fleet duty in one availability zone.
type Maintainer struct {
	zone            string
	records         *recorder.Repository
	waves           *planner.Repository
	platform        storer.Fleet
	observer        Observer
	settings        SettingsSource
	logger          *zap.Logger
	interval        time.Duration
	missingSince    map[string]time.Time
	rebootRequested map[string]time.Time

	// followStore is the store from which the record and the waves are followed;
	// nil to read them in each step.
	followStore storer.Store
	cache       *cache

	estimator   *sizer.Estimator
	sizer       *sizer.Sizer
	spareName   string
	lastPlanned time.Time
}

const (
	defaultInterval = time.Second
	// rebootRetryInterval is how long the platform may take to list a VM as
	// leaving after a reboot request, before the request is repeated.
	rebootRetryInterval = 30 * time.Second
)

// Option configures a Maintainer.
type Option func(*Maintainer)

// WithInterval sets the time between two steps of the Maintainer.
func WithInterval(interval time.Duration) Option {
	return func(mr *Maintainer) { mr.interval = interval }
}

// WithFollow sets a store from which the zone's record and the waves are followed
// instead of being read in each step.
func WithFollow(store storer.Store) Option {
	return func(mr *Maintainer) { mr.followStore = store }
}

// New returns a Maintainer for an availability zone.
func New(zone string, records *recorder.Repository, waves *planner.Repository, platform storer.Fleet,
	observer Observer, settings SettingsSource, logger *zap.Logger, opts ...Option,
) *Maintainer {
	mr := &Maintainer{
		zone:     zone,
		records:  records,
		waves:    waves,
		platform: platform,
		observer: observer,
		settings: settings,
		logger:   logger,
		interval: defaultInterval,
	}
	for _, opt := range opts {
		opt(mr)
	}
	return mr
}

// Serve runs a step per interval until the context is done, fenced by the held
// duty. A failed step is logged and retried at the next interval.
func (mr *Maintainer) Serve(ctx context.Context, hd leaser.HeldDuty) error {
	mr.missingSince = map[string]time.Time{}
	mr.rebootRequested = map[string]time.Time{}
	mr.estimator = sizer.NewEstimator()
	mr.sizer = nil
	mr.cache = newCache(mr.zone, mr.logger)
	if mr.followStore != nil {
		var following sync.WaitGroup
		following.Go(func() { mr.cache.follow(ctx, mr.followStore) })
		defer following.Wait()
	}
	ticker := time.NewTicker(mr.interval)
	defer ticker.Stop()
	fenced := false
	for {
		if err := mr.fencedStep(ctx, hd, &fenced); err != nil && ctx.Err() == nil {
			mr.logger.Warn("maintenance step failed", zap.String("zone", mr.zone), zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fencedStep runs a step. Before the first one it writes the record under the
// duty, which fences off earlier holders.
func (mr *Maintainer) fencedStep(ctx context.Context, hd leaser.HeldDuty, fenced *bool) error {
	if !*fenced {
		if _, err := mr.records.ChangeFenced(ctx, hd, mr.zone, "takes the duty over"); err != nil {
			return err
		}
		*fenced = true
	}
	return mr.step(ctx, hd)
}

// step updates the record from the platform's list and the settings, advances the
// state of VMs, requests reboots, advances the waves, and starts a move between
// pools if one is due.
func (mr *Maintainer) step(ctx context.Context, hd leaser.HeldDuty) error {
	ze, err := mr.record(ctx)
	if err != nil {
		return err
	}
	fs := mr.observe(ctx, ze)
	if ze, err = mr.syncRecord(ctx, hd, ze, fs); err != nil {
		return err
	}
	if ze, err = mr.advance(ctx, hd, ze, fs); err != nil {
		return err
	}
	mr.requestReboots(ctx, ze, fs)
	if err := mr.advanceWaves(ctx, hd, ze); err != nil {
		return err
	}
	return mr.planMove(ctx, hd, ze)
}

// record returns the zone's record from the cache, or reads it.
func (mr *Maintainer) record(ctx context.Context) (recorder.Zone, error) {
	if ze, cached := mr.cache.zoneRecord(); cached {
		return ze, nil
	}
	return mr.records.Zone(ctx, mr.zone)
}

// allWaves returns the waves from the cache, or reads them.
func (mr *Maintainer) allWaves(ctx context.Context) ([]planner.Wave, error) {
	if waves, cached := mr.cache.allWaves(); cached {
		return waves, nil
	}
	return mr.waves.Waves(ctx)
}

// observe collects the facts that the states of the record's VMs depend on.
func (mr *Maintainer) observe(ctx context.Context, ze recorder.Zone) facts {
	fs := facts{
		idle:         map[string]bool{},
		healthy:      map[string]bool{},
		missingSince: mr.missingSince,
	}
	if vms, err := mr.platform.VMs(ctx); err == nil {
		fs.listed = map[string]storer.VM{}
		for _, vm := range vms {
			if vm.Zone == mr.zone {
				fs.listed[vm.Name] = vm
			}
		}
	}
	now := time.Now()
	for _, vm := range ze.VMs {
		mr.trackMissing(vm, fs, now)
		switch vm.State {
		case recorder.Draining, recorder.Checkpointing:
			fs.idle[vm.Name] = mr.observer.Idle(ctx, vm)
		case recorder.Checking, recorder.Moving, recorder.Quarantined:
			fs.healthy[vm.Name] = mr.observer.Healthy(ctx, vm)
		default:
		}
	}
	return fs
}

// trackMissing records since when a VM in service has been missing from the list
// or listed as leaving. If the list could not be read, nothing changes.
func (mr *Maintainer) trackMissing(vm recorder.VM, fs facts, now time.Time) {
	listed, ok := fs.listed[vm.Name]
	if fs.listed == nil {
		return
	}
	if vm.State != recorder.InService || ok && listed.State == storer.Live {
		delete(mr.missingSince, vm.Name)
		return
	}
	if _, tracked := mr.missingSince[vm.Name]; !tracked {
		mr.missingSince[vm.Name] = now
	}
}

// syncRecord stores the floors of newer settings in the record, registers newly
// listed VMs, and registers VMs again whose address or rack has changed.
func (mr *Maintainer) syncRecord(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, fs facts) (recorder.Zone, error) {
	var changes []recorder.Change
	if settings, ok := mr.settings.Settings(); ok && settings.Revision > ze.SettingsRevision {
		zones, err := mr.records.Zones(ctx)
		if err != nil {
			return ze, err
		}
		changes = append(changes, recorder.SetFloors{
			Revision: settings.Revision,
			Floors:   recorder.FloorsOf(settings, max(len(zones), 1)),
		})
	}
	for name, listed := range fs.listed {
		vm, err := ze.Find(name)
		if err == nil && vm.Address == listed.Address && vm.Rack == listed.Rack {
			continue
		}
		if listed.Pool == "" && err != nil {
			continue
		}
		changes = append(changes, recorder.Register{
			VM: recorder.VM{
				Name:    listed.Name,
				Rack:    listed.Rack,
				Address: listed.Address,
				Pool:    listed.Pool,
			},
		})
	}
	if len(changes) == 0 {
		return ze, nil
	}
	return mr.records.ChangeFenced(ctx, hd, mr.zone, "seen by the steward", changes...)
}

// advance applies all due events in one write.
func (mr *Maintainer) advance(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, fs facts) (recorder.Zone, error) {
	var changes []recorder.Change
	now := time.Now()
	for _, vm := range ze.VMs {
		if ad, ok := fs.nextAdvance(vm, now); ok {
			changes = append(changes, ad)
		}
	}
	if len(changes) == 0 {
		return ze, nil
	}
	for _, change := range changes {
		mr.logger.Info("VM state advances", zap.String("zone", mr.zone), zap.String("change", recorder.Describe(change)))
	}
	return mr.records.ChangeFenced(ctx, hd, mr.zone, "life of the VM", changes...)
}

// requestReboots requests a reboot of each VM that is rebooting in the record and
// that the platform still lists as live with its old boot number.
func (mr *Maintainer) requestReboots(ctx context.Context, ze recorder.Zone, fs facts) {
	for _, vm := range ze.VMs {
		listed, ok := fs.listed[vm.Name]
		if vm.State != recorder.Rebooting || !ok || listed.State != storer.Live || listed.Boot > vm.Boot {
			continue
		}
		if requested, ok := mr.rebootRequested[vm.Name]; ok && time.Since(requested) < rebootRetryInterval {
			continue
		}
		if err := mr.platform.Reboot(ctx, vm.Name); err != nil {
			mr.logger.Warn("reboot request to the platform failed", zap.String("vm", vm.Name), zap.Error(err))
			continue
		}
		mr.rebootRequested[vm.Name] = time.Now()
	}
}
