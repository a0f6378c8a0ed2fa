package allocator

import (
	"fmt"
	"testing"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

var benchmarkedTeams = []int{20, 200, 2000}

// addTeams configures teams with weights and a cap on their cores.
func (fx *fixture) addTeams(count, milliCores int) {
	cf := fx.al.configuration
	cf.Version++
	cf.Teams = make(map[string]modeller.Team, count)
	for number := range count {
		cf.Teams[teamName(number)] = modeller.Team{
			Name:   teamName(number),
			Weight: 1,
			Cap:    modeller.Resources{MilliCores: milliCores},
		}
	}
	fx.apply(ConfigurationLoaded{Configuration: cf})
}

// BenchmarkBusyTeams is BenchmarkBusyFleet with the jobs of many teams. The caps hold back
// some jobs at 20 teams, and hardly any at more.
func BenchmarkBusyTeams(b *testing.B) {
	for _, teams := range benchmarkedTeams {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			bf := newBusyFleet(b, 550)
			bf.addTeams(teams, 400_000)
			bf.teams = teams
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				for range 200 {
					bf.submitTurn(75.0 / 200)
					bf.run(5 * time.Millisecond)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(bf.starts, 1)), "ns/start")
			b.ReportMetric(float64(bf.starts)/float64(b.N), "starts/s")
		})
	}
}

// BenchmarkPlanAfterEndWithTeams measures the report of a run's end, and the plan that
// starts the next task, while 4,000 jobs of many teams wait. Without a cap all of them
// are in order of service; with the cap of a task all teams with a run are held back.
func BenchmarkPlanAfterEndWithTeams(b *testing.B) {
	for _, milliCores := range []int{0, 2000} {
		for _, teams := range benchmarkedTeams {
			b.Run(fmt.Sprintf("cap=%d/teams=%d", milliCores, teams), func(b *testing.B) {
				ff := newFullFleet(b, 0)
				ff.addTeams(teams, milliCores)
				for number := range 4000 {
					ff.submitWideOf(fmt.Sprintf("w%05d", number), teamName(number%teams), number%len(fullFleetPools), number%2)
				}
				ff.storeAll()
				ff.advance(50 * time.Millisecond)
				b.ReportAllocs()
				for b.Loop() {
					ff.endOneRun()
				}
			})
		}
	}
}
