package maintainer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-steward/internal/maintainer"
	"coltsfootwick.example/shared/fleet/planner"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/settings/configurer"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/leaser"
	"coltsfootwick.example/shared/store/storer"
)

const (
	zoneCount  = 2
	vmsPerZone = 8
	perRack    = 4
	rebootTime = 30 * time.Second
)

// observed is an Observer for which drained VMs are idle at once and listed VMs
// are healthy.
type observed struct {
	kr *keeper.Keeper
}

func (ob observed) Idle(context.Context, recorder.VM) bool { return true }

func (ob observed) Healthy(_ context.Context, vm recorder.VM) bool {
	for _, listed := range ob.kr.VMs() {
		if listed.Name == vm.Name {
			return listed.State == storer.Live
		}
	}
	return false
}

func (ob observed) UrgentDemand(context.Context) (map[string]float64, bool) { return nil, false }

type fixed configurer.Settings

func (fd fixed) Settings() (configurer.Settings, bool) { return configurer.Settings(fd), true }

// fleet is a platform with VMs and stewards, in virtual time.
type fleet struct {
	t        *testing.T
	kr       *keeper.Keeper
	settings configurer.Settings

	mu      sync.Mutex
	reboots map[string]int
	lose    func(vm string) bool
	wait    sync.WaitGroup
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newFleet(t *testing.T, lose func(vm string) bool) *fleet {
	ft := &fleet{
		t:       t,
		reboots: map[string]int{},
		lose:    lose,
		settings: configurer.Settings{
			Revision: 1,
			Services: map[string]configurer.Service{
				"claims": {Name: "claims", Pool: "claims", MinInService: 0.8},
				"checks": {Name: "checks", Pool: "checks", MinInService: 0.8},
			},
			Pools: map[string]configurer.Pool{
				"claims": {Name: "claims", MaxDraining: 1},
				"checks": {Name: "checks", MaxDraining: 1},
			},
		},
	}
	var vms []storer.VM
	for i := range zoneCount * vmsPerZone {
		zone := zoneName(i / vmsPerZone)
		vms = append(vms, storer.VM{
			Name:    fmt.Sprintf("%s-%02d", zone, i%vmsPerZone),
			Zone:    zone,
			Rack:    fmt.Sprintf("%s-r%d", zone, i%vmsPerZone/perRack),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.1.1"), uint16(9000+i)),
			Pool:    []string{"claims", "checks"}[i%2],
			State:   storer.Live,
		})
	}
	ft.kr = keeper.New(
		keeper.WithRates(0, 0),
		keeper.WithListLag(3*time.Second),
		keeper.WithRebootTime(rebootTime),
		keeper.WithVMs(vms...),
		keeper.WithRebootHook(ft.rebooted),
	)
	return ft
}

func (ft *fleet) rebooted(vm storer.VM) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.reboots[vm.Name]++
	if ft.lose(vm.Name) {
		go func() { _ = ft.kr.SetVMState(vm.Name, storer.Leaving) }()
	}
}

// steward runs one steward of a zone until the context is done.
func (ft *fleet) steward(ctx context.Context, zone, name string) {
	store := ft.kr.Zone(zone)
	mr := maintainer.New(zone,
		recorder.NewRepository(store, recorder.WithAuthor(name)),
		planner.NewRepository(store),
		store,
		observed{kr: ft.kr},
		fixed(ft.settings),
		zap.NewNop(),
		maintainer.WithFollow(store),
	)
	lr := leaser.New(store, zone, maintainer.Duty, name)
	ft.wait.Go(func() { _ = lr.Run(ctx, mr.Serve) })
}

// zones reads the records past all faults.
func (ft *fleet) zones() []recorder.Zone {
	zones, err := recorder.NewRepository(ft.kr.Zone("reader")).Zones(ft.t.Context())
	if err != nil {
		return nil
	}
	return zones
}

// checkBudgets fails if planned work has more of a pool out of service than
// the budget allows over all zones.
func (ft *fleet) checkBudgets(seed uint64) {
	for _, pool := range []string{"claims", "checks"} {
		members, planned := 0, 0
		for _, ze := range ft.zones() {
			ct := ze.Count(pool)
			members += ct.Members
			planned += ct.OutOnPurpose
		}
		must.LessEq(ft.t, 0.2*float64(members)+1e-9, float64(planned), must.Sprintf("seed %d pool %s", seed, pool))
	}
}

func (ft *fleet) wave() planner.Wave {
	wv, err := planner.NewRepository(ft.kr.Zone("reader")).Wave(ft.t.Context(), "w1")
	must.NoError(ft.t, err)
	return wv
}

func (ft *fleet) startWave(maxLost int) {
	ry := planner.NewRepository(ft.kr.Zone("reader"))
	_, err := ry.Plan(ft.t.Context(), planner.Wave{
		Name:        "w1",
		Zones:       []string{"a", "b"},
		ZonesAtOnce: 1,
		MaxLost:     maxLost,
	})
	must.NoError(ft.t, err)
	_, err = ry.Command(ft.t.Context(), "w1", planner.StartEvent, "test")
	must.NoError(ft.t, err)
}

// TestWaveGoesOnThroughFaults kills and replaces stewards, loses answers, and
// takes the platform's service away for a minute. The wave ends, every VM was
// rebooted, and no budget was overdrawn at any second.
func TestWaveGoesOnThroughFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { runWave(t, seed) })
	}
}

func runWave(t *testing.T, seed uint64) {
	rd := rand.New(rand.NewPCG(seed, 2))
	ft := newFleet(t, func(string) bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	kills := map[string]context.CancelFunc{}
	start := func(zone string) {
		stewardCtx, kill := context.WithCancel(ctx)
		kills[zone] = kill
		ft.steward(stewardCtx, zone, fmt.Sprintf("%s-%d", zone, rd.IntN(1000)))
		ft.steward(ctx, zone, zone+"-second")
	}
	start("a")
	start("b")
	time.Sleep(10 * time.Second)
	ft.startWave(1)
	ended := false
	for second := range 3600 {
		time.Sleep(time.Second)
		ft.disturb(second, rd, kills, start, seed)
		ft.checkBudgets(seed)
		if wv := ft.wave(); wv.State == planner.Done {
			ended = true
			break
		}
	}
	must.NoError(t, ft.kr.SetFaults())
	must.True(t, ended, must.Sprintf("seed %d: %+v", seed, ft.wave()))
	cancel()
	ft.wait.Wait()
	must.MapLen(t, zoneCount*vmsPerZone, ft.reboots, must.Sprintf("seed %d", seed))
}

// disturb brings a fault about now and then; the reader's own zone is spared.
func (ft *fleet) disturb(second int, rd *rand.Rand, kills map[string]context.CancelFunc, start func(string), seed uint64) {
	switch {
	case second%200 == 60:
		must.NoError(ft.t, ft.kr.SetFaults(
			keeper.Outage{Scope: keeper.Scope{Zone: "a", Share: 1}},
			keeper.Outage{Scope: keeper.Scope{Zone: "b", Share: 1}},
		))
	case second%200 == 120:
		must.NoError(ft.t, ft.kr.SetFaults(
			keeper.AnswerLost{Scope: keeper.Scope{Zone: "a", Share: 0.3, Seed: seed}},
			keeper.AnswerLost{Scope: keeper.Scope{Zone: "b", Share: 0.3, Seed: seed}},
		))
	case rd.IntN(60) == 0:
		zone := zoneName(rd.IntN(zoneCount))
		kills[zone]()
		start(zone)
	}
}

// TestWavePausesWhenVMsStayAway has every VM stay away after its reboot. The
// wave pauses before it takes a second rack.
func TestWavePausesWhenVMsStayAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFleet(t, func(string) bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		ft.steward(ctx, "a", "a-1")
		ft.steward(ctx, "b", "b-1")
		time.Sleep(10 * time.Second)
		ft.startWave(1)
		time.Sleep(2 * time.Hour)
		must.EqOp(t, planner.Paused, ft.wave().State)
		must.LessEq(t, perRack, len(ft.reboots))
		cancel()
		ft.wait.Wait()
	})
}

// TestLostVMIsMadeUpForFromTheSparePool removes a VM for good. One spare VM of
// its zone takes its place, and the lost one is quarantined in the spare pool.
func TestLostVMIsMadeUpForFromTheSparePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFleet(t, func(string) bool { return false })
		ft.settings.Pools["spare"] = configurer.Pool{Name: "spare", Spare: true}
		for _, name := range []string{"a-90", "a-91"} {
			ft.kr.PutVM(storer.VM{
				Name:    name,
				Zone:    "a",
				Rack:    "a-r9",
				Address: netip.MustParseAddrPort("127.0.1.1:9090"),
				Pool:    "spare",
				State:   storer.Live,
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		ft.steward(ctx, "a", "a-1")
		time.Sleep(10 * time.Second)
		must.NoError(t, ft.kr.RemoveVM("a-01"))
		time.Sleep(10 * time.Minute)
		ze := ft.zones()[0]
		lost, err := ze.Find("a-01")
		must.NoError(t, err)
		must.EqOp(t, recorder.Quarantined, lost.State)
		must.EqOp(t, "spare", lost.Pool)
		must.EqOp(t, 4, ze.Count("checks").InService)
		must.EqOp(t, 1, ze.Count("spare").InService)
		spare, err := ze.Find("a-90")
		must.NoError(t, err)
		must.EqOp(t, "checks", spare.Pool)
		must.EqOp(t, recorder.InService, spare.State)
		cancel()
		ft.wait.Wait()
	})
}

// TestRestCostsFewCalls counts the calls of a steward with nothing to do: the
// VM list once a second, the renewals of its lease, and two waiting watches.
func TestRestCostsFewCalls(t *testing.T) {
	const rest = 60
	synctest.Test(t, func(t *testing.T) {
		ft := newFleet(t, func(string) bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		ft.steward(ctx, "a", "a-1")
		time.Sleep(10 * time.Second)
		before := ft.kr.Counts().Total()
		time.Sleep(rest * time.Second)
		const renewalsAndWatches = rest
		must.LessEq(t, rest+renewalsAndWatches, ft.kr.Counts().Total()-before)
		cancel()
		ft.wait.Wait()
	})
}
