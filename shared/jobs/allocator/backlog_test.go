package allocator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/jobs/ranker"
)

// workOf returns the work in all bands.
func workOf(bands []admitter.Band) time.Duration {
	var sum time.Duration
	for _, bd := range bands {
		sum += bd.Work
	}
	return sum
}

// TestBacklogHasTheWaitingWorkOfJobsOnTime guards against refusals for work that no job
// waits behind: that which runs, that of late jobs and that which caps hold back.
func TestBacklogHasTheWaitingWorkOfJobsOnTime(t *testing.T) {
	bf := newFleetInPools(t, 2, 1, WithCostOrder())
	pool := poolName(0)
	must.MapLen(t, 0, bf.al.Backlogs(bf.now))
	cf := bf.al.configuration
	cf.Version++
	cf.Teams = map[string]modeller.Team{
		"narrow": {Name: "narrow", Weight: 1, Cap: modeller.Resources{MilliCores: 1000}},
		"wide":   {Name: "wide", Weight: 1},
	}
	bf.apply(ConfigurationLoaded{Configuration: cf})
	for range 4 {
		bf.submitOf("narrow", 0, tasksOf(1, 1000))
	}
	for range 50 {
		bf.submitOf("wide", 0, tasksOf(4, 2000))
	}
	bf.run(300 * time.Millisecond)
	bl := bf.al.Backlogs(bf.now)[pool]
	must.True(t, bl.IsShort)
	must.Eq(t, 64, bl.Cores)
	must.Eq(t, 64, bl.TargetCores)
	must.Less(t, 2000, bl.FreeMilliCores)
	must.Eq(t, bf.al.shares[pool].Excess(bf.now, "wide"), bl.Excess["wide"])
	started := 0
	for _, wk := range bf.al.workers.sorted {
		started += wk.used.MilliCores / 2000
	}
	must.Eq(t, time.Duration(50*4-started)*2*time.Second, workOf(bl.Bands))

	for _, wk := range bf.al.workers.sorted {
		wk.isCordoned = true
	}
	bf.now = bf.now.Add(time.Second)
	bl = bf.al.Backlogs(bf.now)[pool]
	must.Eq(t, 0, bl.Cores)
	must.SliceEmpty(t, bl.Bands, must.Sprint("all jobs are late"))
}

// TestPoolWithRoomHasNoBands guards against refusals while the fleet has room, and against
// figures that nobody asks for.
func TestPoolWithRoomHasNoBands(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithCostOrder()}} {
		bf := newFleetInPools(t, 2, 1, opts...)
		bf.submitOf("", 0, tasksOf(1, 1000), modeller.Step{Count: 2, Demand: modeller.Resources{MilliCores: 1000}, Estimate: time.Second, DependsOn: []int{0}})
		bf.run(100 * time.Millisecond)
		backlogs := bf.al.Backlogs(bf.now)
		if opts == nil {
			must.MapLen(t, 0, backlogs)
			continue
		}
		bl := backlogs[poolName(0)]
		must.False(t, bl.IsShort)
		must.SliceEmpty(t, bl.Bands)
		must.Eq(t, 32000, bl.FreeMilliCores)
	}
}

// TestBandsDivideTheWork guards against bands that lose work, that are too many to send, or
// that put work ahead of jobs which it is behind.
func TestBandsDivideTheWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var all []jobWork
		priorities := 1 + random.IntN(12)
		for range random.IntN(300) {
			all = append(all, jobWork{
				excess: random.IntN(4),
				key:    ranker.Key{Priority: random.IntN(priorities), VirtualStart: now.Add(time.Duration(random.IntN(9000)) * time.Millisecond)},
				work:   time.Duration(1 + random.IntN(1_000_000_000)),
			})
		}
		slices.SortFunc(all, jobWork.compare)
		bands := bandsOf(now, all)
		must.LessEq(t, admitter.MaxBands, len(bands))
		var sum time.Duration
		next := 0
		for _, bd := range bands {
			sum += bd.Work
			end := jobWork{excess: bd.Excess, key: ranker.Key{Priority: bd.Priority, VirtualStart: now.Add(bd.Until)}, work: 1 << 62}
			for next < len(all) && all[next].compare(end) <= 0 {
				sum -= all[next].work
				next++
			}
			must.LessEq(t, 0, sum, must.Sprint("work before the end of its order"))
		}
		must.Eq(t, len(all), next)
		must.Zero(t, sum)
	}
}

// BenchmarkBacklogs measures the figures of an overloaded pool.
func BenchmarkBacklogs(b *testing.B) {
	for _, jobs := range []int{400, 4000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			bf := newFleetInPools(b, 20, 1, WithCostOrder())
			for range jobs {
				second := tasksOf(4, 2000)
				second.DependsOn = []int{0}
				bf.submitOf("", 0, tasksOf(4, 2000), second)
			}
			bf.run(300 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				bf.al.Backlogs(bf.now)
			}
		})
	}
}
