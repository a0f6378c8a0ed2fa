package sloper

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"coltsfootwick.example/shared/store/storer"

	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/standin/internal/launcher"
	"coltsfootwick.example/standin/internal/platform"
)

// zoneCounts double four times.
var zoneCounts = []int{1, 2, 4, 8, 16}

const (
	vmsPerZone = 8
	// settleTime lets the calls of the start pass.
	settleTime = 3 * time.Second
	// changeTime is the time in which a change of the settings spreads.
	changeTime = 2 * time.Second
	// inForceTimeout is the letter's bound for a change.
	inForceTimeout = 9 * time.Second
	askInterval    = 5 * time.Millisecond
)

// site is one platform with availability zones, each with an entry and a
// steward.
type site struct {
	// size is what the site's series are measured against.
	size      int
	platform  *platform.Platform
	processes []*launcher.Process
	before    snapshot
	after     snapshot
	// changed are the calls of one change of the settings, of all processes.
	changed map[keeper.Kind]uint64
	// spread is the time until all processes had the change in force.
	spread time.Duration
}

// snapshot is what the processes have cost since their start.
type snapshot struct {
	calls   keeper.Counts
	bytes   map[string]uint64
	metrics map[string]map[string]float64
}

// startSite starts a platform with zones of VMs, and the processes of each.
func startSite(ctx context.Context, lr *launcher.Launcher, label string, size, zones, vms int) (*site, error) {
	options := []keeper.Option{keeper.WithRates(0, 0)}
	st := &site{size: size}
	var names []string
	for idx := range zones {
		name := fmt.Sprintf("z%02d", idx)
		names = append(names, name)
		options = append(options, keeper.WithVMs(listedFleet(names, vms)...))
	}
	st.platform = platform.New(options...)
	_, err := configurer.NewRepository(st.platform.Keeper().Zone("operator")).Apply(ctx, configurer.Change{
		Author: "slopes",
		Source: settingsSource(max(vms/vmsPerPool, 1)),
	})
	if err != nil {
		return nil, err
	}
	for _, zone := range names {
		steward, err := lr.StartSteward(st.platform, label+zone+"-steward", zone)
		if err != nil {
			return nil, err
		}
		entry, err := lr.StartEntry(st.platform, label+zone+"-entry", zone)
		if err != nil {
			return nil, err
		}
		st.processes = append(st.processes, steward, entry)
	}
	return st, nil
}

func (st *site) awaitReady(ctx context.Context) error {
	for _, ps := range st.processes {
		if err := ps.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (st *site) snapshot(ctx context.Context) (snapshot, error) {
	sn := snapshot{
		calls:   st.platform.Keeper().Counts(),
		bytes:   map[string]uint64{},
		metrics: map[string]map[string]float64{},
	}
	for _, ps := range st.processes {
		sn.bytes[ps.Name] = ps.Port.Bytes()
	}
	for _, ps := range st.processes {
		metrics, err := ps.Metrics(ctx)
		if err != nil {
			return snapshot{}, err
		}
		if metrics[anonymousBytes], err = ps.AnonymousBytes(); err != nil {
			return snapshot{}, err
		}
		sn.metrics[ps.Name] = metrics
	}
	return sn, nil
}

// measureProcesses starts sites of all sizes at once, watches them at rest and
// then changes the settings of each once.
func (cd *Command) measureProcesses(ctx context.Context) ([]*series, error) {
	files, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(files) }()
	lr := launcher.New(cd.Bin, files)
	defer lr.Close()
	var byZones, byVMs []*site
	for _, zones := range zoneCounts {
		st, err := startSite(ctx, lr, fmt.Sprintf("zones%d-", zones), zones, zones, vmsPerZone)
		if err != nil {
			return nil, err
		}
		byZones = append(byZones, st)
	}
	for _, vms := range sizes {
		st, err := startSite(ctx, lr, fmt.Sprintf("vms%d-", vms), vms, 1, vms)
		if err != nil {
			return nil, err
		}
		byVMs = append(byVMs, st)
	}
	if err := startStandbys(ctx, lr, byVMs); err != nil {
		return nil, err
	}
	if err := cd.watch(ctx, append(byZones, byVMs...)); err != nil {
		return nil, err
	}
	return append(cd.zoneSeries(byZones), cd.vmSeries(byVMs)...), nil
}

// startStandbys starts a second steward in the zone of each site, once the first
// holds the duties.
func startStandbys(ctx context.Context, lr *launcher.Launcher, sites []*site) error {
	for _, st := range sites {
		if err := st.awaitReady(ctx); err != nil {
			return err
		}
		name := fmt.Sprintf("vms%d-z00-%s", st.size, roleStandby)
		standby, err := lr.StartSteward(st.platform, name, "z00")
		if err != nil {
			return err
		}
		st.processes = append(st.processes, standby)
	}
	return nil
}

// watch takes the snapshots of the sites.
func (cd *Command) watch(ctx context.Context, sites []*site) error {
	for _, st := range sites {
		if err := st.awaitReady(ctx); err != nil {
			return err
		}
	}
	if err := storer.Pause(ctx, settleTime); err != nil {
		return err
	}
	for _, st := range sites {
		sn, err := st.snapshot(ctx)
		if err != nil {
			return err
		}
		st.before = sn
	}
	if err := storer.Pause(ctx, cd.Window); err != nil {
		return err
	}
	for _, st := range sites {
		sn, err := st.snapshot(ctx)
		if err != nil {
			return err
		}
		st.after = sn
	}
	return changeSettings(ctx, sites)
}

// changeSettings changes the settings of each site, waits until they are in
// force, and counts the calls until shortly after.
func changeSettings(ctx context.Context, sites []*site) error {
	for _, st := range sites {
		st.changed = kindsOf(st.platform.Keeper().Counts(), "")
		if err := st.change(ctx); err != nil {
			return err
		}
	}
	if err := storer.Pause(ctx, changeTime); err != nil {
		return err
	}
	for _, st := range sites {
		now := kindsOf(st.platform.Keeper().Counts(), "")
		for kind, calls := range now {
			st.changed[kind] = calls - st.changed[kind]
		}
	}
	return nil
}

// change changes the settings once and returns when all processes have the
// change in force.
func (st *site) change(ctx context.Context) error {
	repository := configurer.NewRepository(st.platform.Keeper().Zone("operator"))
	head, err := repository.Head(ctx)
	if err != nil {
		return err
	}
	accepted, err := repository.Apply(ctx, configurer.Change{
		Author: "slopes",
		Source: head.Source + "\n[poolDefaults]\nmaxDraining = 0.3\n",
		Base:   head.Revision,
	})
	if err != nil {
		return err
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	failures := make(chan error, len(st.processes))
	for _, ps := range st.processes {
		go func() { failures <- awaitRevision(ctx, ps, accepted.Revision) }()
	}
	for range st.processes {
		err = errors.Join(err, <-failures)
	}
	st.spread = time.Since(begin)
	return err
}

// awaitRevision asks a process until it has a revision in force.
func awaitRevision(ctx context.Context, ps *launcher.Process, revision uint64) error {
	for {
		got, err := ps.Revision(ctx)
		if err != nil || got >= revision {
			return err
		}
		if err := storer.Pause(ctx, askInterval); err != nil {
			return err
		}
	}
}

// kindsOf sums up the calls by kind of the processes whose names end with a
// role, of all if it is empty.
func kindsOf(counts keeper.Counts, role string) map[keeper.Kind]uint64 {
	sum := map[keeper.Kind]uint64{}
	for name, zc := range counts.Zones {
		if !strings.HasSuffix(name, role) {
			continue
		}
		for kind, calls := range zc.Calls {
			sum[kind] += calls
		}
	}
	return sum
}
