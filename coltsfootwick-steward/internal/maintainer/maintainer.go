// Package maintainer carries out moves and maintenance waves in one
// availability zone: it drains VMs within the availability budgets, reboots or
// moves them, checks them and returns them. All that it knows stands in the
// fleet record and the waves, so the next holder of the duty goes on where the
// last one stopped.
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

// Observer looks at VMs from outside the record.
type Observer interface {
	// Idle reports whether every live entry of the availability zone has taken
	// the VM out of use and has no request in flight there.
	Idle(ctx context.Context, vm recorder.VM) bool
	// Healthy reports whether the VM answers its health check.
	Healthy(ctx context.Context, vm recorder.VM) bool
	// UrgentDemand returns the urgent demand on each pool in slots, and false
	// if no entry tells.
	UrgentDemand(ctx context.Context) (map[string]float64, bool)
}

// SettingsSource tells the settings in force, and false before there are any.
type SettingsSource interface {
	Settings() (configurer.Settings, bool)
}

// Maintainer serves the duty in one availability zone.
type Maintainer struct {
	zone     string
	records  *recorder.Repository
	waves    *planner.Repository
	platform storer.Fleet
	observer Observer
	settings SettingsSource
	logger   *zap.Logger
	interval time.Duration
	gone     map[string]time.Time
	asked    map[string]time.Time

	// followed is the service that the record and the waves are followed from;
	// nil to read them in each step.
	followed storer.Store
	cache    *cache

	estimator *sizer.Estimator
	sizer     *sizer.Sizer
	spare     string
	planned   time.Time
}

const (
	defaultInterval = time.Second
	// rebootRepeat is how long the platform may take to list a VM as leaving
	// after a reboot was asked for; then it is asked again.
	rebootRepeat = 30 * time.Second
)

// Option changes a Maintainer.
type Option func(*Maintainer)

// WithInterval sets how often the Maintainer acts.
func WithInterval(interval time.Duration) Option {
	return func(mr *Maintainer) { mr.interval = interval }
}

// WithFollow has the Maintainer follow its zone's record and the waves instead
// of reading them in each step.
func WithFollow(store storer.Store) Option {
	return func(mr *Maintainer) { mr.followed = store }
}

// New returns a Maintainer of an availability zone.
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

// Serve acts until the context is done, under a duty that is held. Faults of
// the platform's service are logged and tried again.
func (mr *Maintainer) Serve(ctx context.Context, hd leaser.HeldDuty) error {
	mr.gone = map[string]time.Time{}
	mr.asked = map[string]time.Time{}
	mr.estimator = sizer.NewEstimator()
	mr.sizer = nil
	mr.cache = newCache(mr.zone, mr.logger)
	if mr.followed != nil {
		var following sync.WaitGroup
		following.Go(func() { mr.cache.follow(ctx, mr.followed) })
		defer following.Wait()
	}
	ticker := time.NewTicker(mr.interval)
	defer ticker.Stop()
	fenced := false
	for {
		if err := mr.act(ctx, hd, &fenced); err != nil && ctx.Err() == nil {
			mr.logger.Warn("maintenance step failed", zap.String("zone", mr.zone), zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// act fences off earlier holders by writing the record first, and then steps.
func (mr *Maintainer) act(ctx context.Context, hd leaser.HeldDuty, fenced *bool) error {
	if !*fenced {
		if _, err := mr.records.ChangeUnder(ctx, hd, mr.zone, "takes the duty over"); err != nil {
			return err
		}
		*fenced = true
	}
	return mr.step(ctx, hd)
}

// step acts once: it brings the record up to date with the platform's list and
// the settings, moves VMs along their chart, goes on with the waves, and begins a
// move between pools if one is due.
func (mr *Maintainer) step(ctx context.Context, hd leaser.HeldDuty) error {
	ze, err := mr.record(ctx)
	if err != nil {
		return err
	}
	fs := mr.observe(ctx, ze)
	if ze, err = mr.refresh(ctx, hd, ze, fs); err != nil {
		return err
	}
	if ze, err = mr.advance(ctx, hd, ze, fs); err != nil {
		return err
	}
	mr.reboot(ctx, ze, fs)
	if err := mr.maintain(ctx, hd, ze); err != nil {
		return err
	}
	return mr.move(ctx, hd, ze)
}

// record returns the zone's record, as it was told or else as it is read.
func (mr *Maintainer) record(ctx context.Context) (recorder.Zone, error) {
	if ze, told := mr.cache.zoneRecord(); told {
		return ze, nil
	}
	return mr.records.Zone(ctx, mr.zone)
}

// allWaves returns the waves, as they were told or else as they are read.
func (mr *Maintainer) allWaves(ctx context.Context) ([]planner.Wave, error) {
	if waves, told := mr.cache.allWaves(); told {
		return waves, nil
	}
	return mr.waves.Waves(ctx)
}

// observe gathers the facts that the record's VMs call for.
func (mr *Maintainer) observe(ctx context.Context, ze recorder.Zone) facts {
	fs := facts{
		idle:    map[string]bool{},
		healthy: map[string]bool{},
		gone:    mr.gone,
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
		mr.noteGone(vm, fs, now)
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

// noteGone remembers since when a VM in service has been away. A list that is
// out of reach says nothing of anybody.
func (mr *Maintainer) noteGone(vm recorder.VM, fs facts, now time.Time) {
	listed, ok := fs.listed[vm.Name]
	if fs.listed == nil {
		return
	}
	if vm.State != recorder.InService || ok && listed.State == storer.Live {
		delete(mr.gone, vm.Name)
		return
	}
	if _, noted := mr.gone[vm.Name]; !noted {
		mr.gone[vm.Name] = now
	}
}

// refresh takes the settings' floors and registers VMs that the platform lists
// for the first time.
func (mr *Maintainer) refresh(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, fs facts) (recorder.Zone, error) {
	var changes []recorder.Change
	if settings, ok := mr.settings.Settings(); ok && settings.Revision > ze.SettingsRevision {
		zones, err := mr.records.Zones(ctx)
		if err != nil {
			return ze, err
		}
		changes = append(changes, recorder.TakeFloors{
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
	return mr.records.ChangeUnder(ctx, hd, mr.zone, "seen by the steward", changes...)
}

// advance applies the events that are due, all in one write.
func (mr *Maintainer) advance(ctx context.Context, hd leaser.HeldDuty, ze recorder.Zone, fs facts) (recorder.Zone, error) {
	var changes []recorder.Change
	now := time.Now()
	for _, vm := range ze.VMs {
		if ad, ok := fs.next(vm, now); ok {
			changes = append(changes, ad)
		}
	}
	if len(changes) == 0 {
		return ze, nil
	}
	for _, change := range changes {
		mr.logger.Info("VM goes on", zap.String("zone", mr.zone), zap.String("change", recorder.Describe(change)))
	}
	return mr.records.ChangeUnder(ctx, hd, mr.zone, "life of the VM", changes...)
}

// reboot asks the platform to reboot the VMs that the record shows rebooting
// and that the platform still lists as live in their old boot.
func (mr *Maintainer) reboot(ctx context.Context, ze recorder.Zone, fs facts) {
	for _, vm := range ze.VMs {
		listed, ok := fs.listed[vm.Name]
		if vm.State != recorder.Rebooting || !ok || listed.State != storer.Live || listed.Boot > vm.Boot {
			continue
		}
		if asked, ok := mr.asked[vm.Name]; ok && time.Since(asked) < rebootRepeat {
			continue
		}
		if err := mr.platform.Reboot(ctx, vm.Name); err != nil {
			mr.logger.Warn("reboot refused", zap.String("vm", vm.Name), zap.Error(err))
			continue
		}
		mr.asked[vm.Name] = time.Now()
	}
}
