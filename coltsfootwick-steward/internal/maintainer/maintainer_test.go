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

// fakeObserver is an Observer for which all VMs are idle and VMs that are listed
// as live are healthy.
type fakeObserver struct {
	kr *keeper.Keeper
}

func (fo fakeObserver) Idle(context.Context, recorder.VM) bool { return true }

func (fo fakeObserver) Healthy(_ context.Context, vm recorder.VM) bool {
	for _, listed := range fo.kr.VMs() {
		if listed.Name == vm.Name {
			return listed.State == storer.Live
		}
	}
	return false
}

func (fo fakeObserver) UrgentDemand(context.Context) (map[string]float64, bool) { return nil, false }

type fixedSettings configurer.Settings

func (fs fixedSettings) Settings() (configurer.Settings, bool) { return configurer.Settings(fs), true }

// testFleet is an in-memory platform with VMs and stewards.
type testFleet struct {
	t        *testing.T
	kr       *keeper.Keeper
	settings configurer.Settings

	mu              sync.Mutex
	reboots         map[string]int
	loseAfterReboot func(vm string) bool
	stewards        sync.WaitGroup
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newFleet(t *testing.T, loseAfterReboot func(vm string) bool) *testFleet {
	ft := &testFleet{
		t:               t,
		reboots:         map[string]int{},
		loseAfterReboot: loseAfterReboot,
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
		keeper.WithRebootHook(ft.handleReboot),
	)
	return ft
}

func (ft *testFleet) handleReboot(vm storer.VM) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.reboots[vm.Name]++
	if ft.loseAfterReboot(vm.Name) {
		go func() { _ = ft.kr.SetVMState(vm.Name, storer.Leaving) }()
	}
}

// startSteward starts a steward of a zone, which runs until the context is done.
func (ft *testFleet) startSteward(ctx context.Context, zone, name string) {
	store := ft.kr.Zone(zone)
	mr := maintainer.New(zone,
		recorder.NewRepository(store, recorder.WithAuthor(name)),
		planner.NewRepository(store),
		store,
		fakeObserver{kr: ft.kr},
		fixedSettings(ft.settings),
		zap.NewNop(),
		maintainer.WithFollow(store),
	)
	lr := leaser.New(store, zone, maintainer.Duty, name)
	ft.stewards.Go(func() { _ = lr.Run(ctx, mr.Serve) })
}

// zones reads the records from a zone without faults.
func (ft *testFleet) zones() []recorder.Zone {
	zones, err := recorder.NewRepository(ft.kr.Zone("reader")).Zones(ft.t.Context())
	if err != nil {
		return nil
	}
	return zones
}

// checkBudgets fails if planned work takes more VMs of a pool out of service, over
// all zones, than the budget of 20% allows.
func (ft *testFleet) checkBudgets(seed uint64) {
	for _, pool := range []string{"claims", "checks"} {
		members, out := 0, 0
		for _, ze := range ft.zones() {
			ct := ze.Count(pool)
			members += ct.Members
			out += ct.PlannedOutages
		}
		must.LessEq(ft.t, 0.2*float64(members)+1e-9, float64(out), must.Sprintf("seed %d pool %s", seed, pool))
	}
}

func (ft *testFleet) wave() planner.Wave {
	wv, err := planner.NewRepository(ft.kr.Zone("reader")).Wave(ft.t.Context(), "w1")
	must.NoError(ft.t, err)
	return wv
}

func (ft *testFleet) startWave(maxLost int) {
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

// TestWaveCompletesDespiteFaults kills and replaces stewards, loses answers, and
// takes the platform's service down for a minute. The wave must complete, every VM
// must have been rebooted, and no budget may be exceeded at any second.
func TestWaveCompletesDespiteFaults(t *testing.T) {
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
		ft.startSteward(stewardCtx, zone, fmt.Sprintf("%s-%d", zone, rd.IntN(1000)))
		ft.startSteward(ctx, zone, zone+"-second")
	}
	start("a")
	start("b")
	time.Sleep(10 * time.Second)
	ft.startWave(1)
	ended := false
	for second := range 3600 {
		time.Sleep(time.Second)
		ft.injectFaults(second, rd, kills, start, seed)
		ft.checkBudgets(seed)
		if wv := ft.wave(); wv.State == planner.Done {
			ended = true
			break
		}
	}
	must.NoError(t, ft.kr.SetFaults())
	must.True(t, ended, must.Sprintf("seed %d: %+v", seed, ft.wave()))
	cancel()
	ft.stewards.Wait()
	must.MapLen(t, zoneCount*vmsPerZone, ft.reboots, must.Sprintf("seed %d", seed))
}

// injectFaults injects the faults due in a second. The zone that the test reads
// from has none.
func (ft *testFleet) injectFaults(second int, rd *rand.Rand, kills map[string]context.CancelFunc, start func(string), seed uint64) {
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

// TestWavePausesWhenVMsDoNotReturn lets no VM return from its reboot. The wave must
// pause before it drains VMs of a second rack.
func TestWavePausesWhenVMsDoNotReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFleet(t, func(string) bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		ft.startSteward(ctx, "a", "a-1")
		ft.startSteward(ctx, "b", "b-1")
		time.Sleep(10 * time.Second)
		ft.startWave(1)
		time.Sleep(2 * time.Hour)
		must.EqOp(t, planner.Paused, ft.wave().State)
		must.LessEq(t, perRack, len(ft.reboots))
		cancel()
		ft.stewards.Wait()
	})
}

// TestLostVMIsReplacedFromSparePool removes a VM permanently. A spare VM of its
// zone must replace it, and the lost VM is quarantined in the spare pool.
func TestLostVMIsReplacedFromSparePool(t *testing.T) {
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
		ft.startSteward(ctx, "a", "a-1")
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
		ft.stewards.Wait()
	})
}

// TestIdleMaintainerMakesFewCalls counts the calls of an idle steward: the VM list
// once per second, the lease renewals, and two long-polling watches.
func TestIdleMaintainerMakesFewCalls(t *testing.T) {
	const idleSeconds = 60
	synctest.Test(t, func(t *testing.T) {
		ft := newFleet(t, func(string) bool { return false })
		ctx, cancel := context.WithCancel(t.Context())
		ft.startSteward(ctx, "a", "a-1")
		time.Sleep(10 * time.Second)
		before := ft.kr.Counts().Total()
		time.Sleep(idleSeconds * time.Second)
		const renewalsAndWatches = idleSeconds
		must.LessEq(t, idleSeconds+renewalsAndWatches, ft.kr.Counts().Total()-before)
		cancel()
		ft.stewards.Wait()
	})
}
