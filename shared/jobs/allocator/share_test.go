package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// teamLoad is a load that teams of equal weights put on a pool of 64 cores.
type teamLoad struct {
	*busyFleet
	// submittedAt holds when the jobs of all teams but the first were submitted, and
	// delays the time until the last task of each was started.
	submittedAt, delays map[modeller.JobID]time.Duration
}

const loadedTeams = 10

func newTeamLoad(t testing.TB) *teamLoad {
	tl := &teamLoad{
		busyFleet:   newFleetInPools(t, 2, 1),
		submittedAt: map[modeller.JobID]time.Duration{},
		delays:      map[modeller.JobID]time.Duration{},
	}
	cf := tl.al.configuration
	cf.Version++
	cf.Teams = map[string]modeller.Team{}
	for number := range loadedTeams {
		cf.Teams[teamName(number)] = modeller.Team{Name: teamName(number), Weight: 1}
	}
	tl.apply(ConfigurationLoaded{Configuration: cf})
	tl.onStart = func(so StartOrder) {
		if at, ok := tl.submittedAt[so.Task.Job]; ok {
			tl.delays[so.Task.Job] = tl.elapsed() - at
		}
	}
	return tl
}

func teamName(number int) string { return fmt.Sprintf("t%04d", number) }

func (tl *teamLoad) elapsed() time.Duration { return tl.now.Sub(tl.al.startedAt) }

// play submits jobs of four tasks of two cores for 30 s, at a rate per second of each team.
// From 8 to 18 s the first team submits a multiple of that. It returns the delays of the
// other teams' jobs by the order of their submission.
func (tl *teamLoad) play(rate, flood float64) []time.Duration {
	var ids []modeller.JobID
	for turn := range 6000 {
		for number := range loadedTeams {
			jobs := rate / 200
			if number == 0 && turn >= 1600 && turn < 3600 {
				jobs *= flood
			}
			// The others' jobs come at the same times with and without the flood.
			for count := int(jobs*float64(turn+1)+0.1*float64(number)) - int(jobs*float64(turn)+0.1*float64(number)); count > 0; count-- {
				id := tl.submitOf(teamName(number), 0, tasksOf(4, 2000))
				if number > 0 {
					tl.submittedAt[id] = tl.elapsed()
					ids = append(ids, id)
				}
			}
		}
		tl.run(5 * time.Millisecond)
	}
	tl.run(time.Second)
	var delays []time.Duration
	for _, id := range ids {
		delays = append(delays, tl.delays[id])
	}
	return delays
}

// TestFloodOfATeamCostsTheOthersNothing guards against jobs that wait behind those of a team
// that submits eight times its usual number for 10 s, in a pool that has room for them and
// in one that hasn't.
func TestFloodOfATeamCostsTheOthersNothing(t *testing.T) {
	for name, rate := range map[string]float64{"pool with room": 0.3, "full pool": 0.65} {
		t.Run(name, func(t *testing.T) {
			usual := newTeamLoad(t).play(rate, 1)
			flooded := newTeamLoad(t).play(rate, 8)
			must.Eq(t, len(usual), len(flooded))
			var usualSum, floodedSum time.Duration
			for idx := range usual {
				usualSum += usual[idx]
				floodedSum += flooded[idx]
				must.Positive(t, flooded[idx])
				must.LessEq(t, time.Second, flooded[idx], must.Sprint("the job can still meet its objective"))
			}
			count := time.Duration(len(usual))
			must.LessEq(t, usualSum/count+100*time.Millisecond, floodedSum/count)
		})
	}
}

// playOrder returns the starts of a load in which the jobs are those of several teams, or
// of none.
func playOrder(t *testing.T, teams int) []string {
	bf := newFleetInPools(t, 6, 2)
	var starts []string
	bf.onStart = func(so StartOrder) { starts = append(starts, fmt.Sprint(so.Task, so.Worker.ID, so.Attempt)) }
	for range 400 {
		team := ""
		if number := bf.random.IntN(7); teams > 0 {
			team = teamName(number % teams)
		}
		second := tasksOf(1+bf.random.IntN(6), 500*(1+bf.random.IntN(8)))
		second.DependsOn = []int{0}
		bf.submitOf(team, bf.random.IntN(2), tasksOf(1+bf.random.IntN(6), 500*(1+bf.random.IntN(8))), second)
		bf.run(30 * time.Millisecond)
	}
	return starts
}

// TestTeamsWithoutCapsAndSharesKeepTheOrder guards against another order of service by the
// division of the waiting lists alone.
func TestTeamsWithoutCapsAndSharesKeepTheOrder(t *testing.T) {
	expected := playOrder(t, 0)
	must.Greater(t, 1000, len(expected))
	must.Eq(t, expected, playOrder(t, 5))
}

// TestOneTeamMayUseAllRoom guards against shares that leave capacity unused.
func TestOneTeamMayUseAllRoom(t *testing.T) {
	tl := newTeamLoad(t)
	for range 100 {
		tl.submitOf(teamName(1), 0, tasksOf(4, 2000))
	}
	for range 20 {
		tl.run(100 * time.Millisecond)
		used := 0
		for _, wk := range tl.al.workers.sorted {
			used += wk.used.MilliCores
		}
		must.GreaterEq(t, 58_000, used)
	}
}

// TestTeamIsServedAgainAfterAFlood guards against a team that stays behind the others for
// good while these always have jobs waiting.
func TestTeamIsServedAgainAfterAFlood(t *testing.T) {
	tl := newTeamLoad(t)
	for range 300 {
		for number := range 3 {
			tl.submitOf(teamName(number), 0, tasksOf(4, 2000))
		}
	}
	tl.run(time.Second)
	tl.al.shares[poolName(0)].Charge(tl.now, teamName(0), 10*time.Minute)
	isServed := false
	tl.onStart = func(so StartOrder) { isServed = isServed || tl.al.jobs[so.Task.Job].info.Team == teamName(0) }
	tl.run(5 * time.Second)
	must.False(t, isServed)
	tl.run(15 * time.Second)
	must.True(t, isServed)
}
