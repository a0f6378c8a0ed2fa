// Package conductor applies settings, directory and membership: it runs a
// dispatcher for each service, assigns its targets, and maintains the routing
// table.
package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/coltsfootwick-entry/internal/follower"
	"coltsfootwick.example/coltsfootwick-entry/internal/meter"
	"coltsfootwick.example/coltsfootwick-entry/internal/router"
	"coltsfootwick.example/coltsfootwick-entry/internal/sharer"
	"coltsfootwick.example/shared/fleet/registrar"
	"coltsfootwick.example/shared/fleet/surveyor"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

// Conductor applies the updates of one entry's configuration.
type Conductor struct {
	name         string
	updates      <-chan follower.Update
	meter        *meter.Meter
	logger       *zap.Logger
	sharer       sharer.Sharer
	newScheduler dispatcher.SchedulerFunc
	options      []dispatcher.Option

	revision         atomic.Uint64
	ready            atomic.Bool
	active           atomic.Pointer[[]*dispatcher.Dispatcher]
	liveIncarnations atomic.Pointer[map[string]bool]
	table            atomic.Pointer[router.Table[*dispatcher.Dispatcher]]

	// The fields below belong to the goroutine of Run.
	budget    *budgeter.Budget
	settings  configurer.Settings
	directory *registrar.Directory
	entries   []string
	// leavingByPeers lists the VMs of targets that peers report as leaving.
	leavingByPeers []string
	dispatchers    map[string]*dispatcher.Dispatcher
	group          sync.WaitGroup
}

// Option configures a Conductor.
type Option func(*Conductor)

// WithScheduler sets the function that returns a service's scheduler.
func WithScheduler(newScheduler dispatcher.SchedulerFunc) Option {
	return func(cr *Conductor) { cr.newScheduler = newScheduler }
}

// WithSharer sets how the capacity of targets is shared among the entries.
func WithSharer(sr sharer.Sharer) Option {
	return func(cr *Conductor) { cr.sharer = sr }
}

// WithDispatcherOptions adds options for each dispatcher.
func WithDispatcherOptions(options ...dispatcher.Option) Option {
	return func(cr *Conductor) { cr.options = append(cr.options, options...) }
}

// New returns a conductor for the entry with the given name. The bodies of
// requests and answers are accounted in the memory budget.
func New(name string, updates <-chan follower.Update, budget *budgeter.Budget, mr *meter.Meter, logger *zap.Logger, options ...Option) *Conductor {
	cr := &Conductor{
		name:         name,
		updates:      updates,
		meter:        mr,
		logger:       logger,
		sharer:       sharer.NewEven(),
		newScheduler: defaultScheduler,
		budget:       budget,
		dispatchers:  map[string]*dispatcher.Dispatcher{},
	}
	for _, option := range options {
		option(cr)
	}
	cr.active.Store(&[]*dispatcher.Dispatcher{})
	return cr
}

func defaultScheduler(config scheduler.Config) scheduler.Scheduler { return scheduler.New(config) }

// Revision returns the revision of the applied settings; zero if there are none.
func (cr *Conductor) Revision() uint64 { return cr.revision.Load() }

// Ready reports whether settings and a directory have been applied.
func (cr *Conductor) Ready() bool { return cr.ready.Load() }

// ServiceStats implements meter.Source.
func (cr *Conductor) ServiceStats() []meter.ServiceStats {
	active := *cr.active.Load()
	stats := make([]meter.ServiceStats, 0, len(active))
	for _, dr := range active {
		stats = append(stats, meter.ServiceStats{
			Service:     dr.Service().Name,
			Stats:       dr.Stats(),
			MemoryBytes: dr.Memory().Used(),
		})
	}
	return stats
}

// Load returns the attempts in flight at each target and the urgent demand on
// each pool, summed over all services. A target used by several services counts
// as leaving only if it is leaving for all of them.
func (cr *Conductor) Load() surveyor.Load {
	targets := map[string]surveyor.TargetLoad{}
	urgent := map[string]float64{}
	for _, dr := range *cr.active.Load() {
		ld := dr.Load()
		for _, tl := range ld.Targets {
			sum, known := targets[tl.VM]
			tl.InFlight += sum.InFlight
			tl.Leaving = tl.Leaving && (!known || sum.Leaving)
			targets[tl.VM] = tl
		}
		for _, pl := range ld.Pools {
			urgent[pl.Pool] += pl.UrgentSlots
		}
	}
	var ld surveyor.Load
	for _, tl := range targets {
		ld.Targets = append(ld.Targets, tl)
	}
	for pool, slots := range urgent {
		ld.Pools = append(ld.Pools, surveyor.PoolLoad{
			Pool:        pool,
			UrgentSlots: slots,
		})
	}
	return ld
}

// Find implements receiver.Router.
func (cr *Conductor) Find(path string) (*dispatcher.Dispatcher, error) {
	table := cr.table.Load()
	if table == nil {
		return nil, classifier.New(classifier.EntryNotReady, "the entry has not received any settings yet")
	}
	dr, ok := table.Find(path)
	if !ok {
		return nil, classifier.New(classifier.UnknownService, "no service has a path prefix that matches %q", path)
	}
	return dr, nil
}

// IsLive implements receiver.Liveness. While the platform's service is
// unavailable, the last known members count as alive.
func (cr *Conductor) IsLive(incarnation string) bool {
	live := cr.liveIncarnations.Load()
	return live != nil && (*live)[incarnation]
}

// Run applies updates until ctx ends, then stops the dispatchers.
func (cr *Conductor) Run(ctx context.Context) error {
	defer cr.group.Wait()
	for {
		select {
		case ue := <-cr.updates:
			cr.apply(ctx, ue)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (cr *Conductor) apply(ctx context.Context, ue follower.Update) {
	switch ue := ue.(type) {
	case follower.SettingsUpdate:
		cr.configure(ctx, ue.Settings)
	case follower.DirectoryUpdate:
		cr.directory = &ue.Directory
	case follower.MembersUpdate:
		cr.entries = ue.Entries
		cr.liveIncarnations.Store(&ue.Incarnations)
	case follower.LeavingUpdate:
		cr.leavingByPeers = ue.VMs
	}
	for _, dr := range cr.dispatchers {
		dr.Assign(cr.targets(*dr.Service()))
	}
	cr.ready.Store(cr.directory != nil && cr.settings.Revision > 0)
}

// configure applies settings. A service that they no longer contain gets no new
// requests; its dispatcher stops once it has no requests left.
func (cr *Conductor) configure(ctx context.Context, se configurer.Settings) {
	cr.settings = se
	names := make([]string, 0, len(se.Services))
	for name := range se.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	shares := cr.budget.Divide(names)
	routes := make([]router.Route[*dispatcher.Dispatcher], 0, len(names))
	active := make([]*dispatcher.Dispatcher, 0, len(names))
	for _, name := range names {
		service := se.Services[name]
		dr := cr.ensureDispatcher(ctx, service, shares[name])
		active = append(active, dr)
		routes = append(routes, router.Route[*dispatcher.Dispatcher]{
			Prefix:  service.PathPrefix,
			Service: dr,
		})
	}
	cr.table.Store(router.New(routes))
	cr.active.Store(&active)
	cr.retireRemoved(se)
	cr.revision.Store(se.Revision)
	cr.meter.SetRevision(se.Revision)
	cr.logger.Info("applied new settings",
		zap.Uint64("settingsRevision", se.Revision),
		zap.String("changeId", se.ChangeID),
	)
}

func (cr *Conductor) ensureDispatcher(ctx context.Context, service configurer.Service, share *budgeter.Share) *dispatcher.Dispatcher {
	if dr := cr.dispatchers[service.Name]; dr != nil {
		dr.Configure(service)
		return dr
	}
	dr := dispatcher.New(service, share, cr.newScheduler, cr.options...)
	cr.dispatchers[service.Name] = dr
	cr.group.Go(func() { _ = dr.Run(ctx) })
	return dr
}

func (cr *Conductor) retireRemoved(se configurer.Settings) {
	for name, dr := range cr.dispatchers {
		if _, ok := se.Services[name]; !ok {
			dr.Retire()
			delete(cr.dispatchers, name)
		}
	}
}

// targets returns the targets of a service with this entry's share of each.
func (cr *Conductor) targets(service configurer.Service) []dispatcher.Target {
	if cr.directory == nil {
		return nil
	}
	limits := sharer.Limits{
		Slots:       service.SlotsPerTarget,
		Connections: service.ConnectionsPerTarget,
	}
	var targets []dispatcher.Target
	for _, tt := range cr.directory.Targets {
		if tt.Pool != service.Pool {
			continue
		}
		share := cr.sharer.Share(tt, limits, cr.name, cr.entries)
		inDirectory := tt.State == registrar.Leaving
		byPeers := slices.Contains(cr.leavingByPeers, tt.VM)
		targets = append(targets, dispatcher.Target{
			Scheduled: scheduler.Target{
				VM:      tt.VM,
				Rack:    tt.Rack,
				Slots:   share.Slots,
				Leaving: inDirectory || byPeers,
			},
			Address:            tt.Address,
			Connections:        share.Connections,
			LeavingByPeersOnly: byPeers && !inDirectory,
		})
	}
	return targets
}
