package allocator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// capPlay is a fleet on which teams with caps run random jobs, while workers lose starts,
// fail and become unreachable, and caps and jobs change.
type capPlay struct {
	*busyFleet
	random *rand.Rand
	caps   map[string]int
	// hasTakeOvers is true if holders change. Then there are no gangs, since the workers
	// of this fleet don't end the other members with the first.
	hasTakeOvers bool
	// highest is the highest cap of each team so far, and widest the widest task.
	highest map[string]int
	widest  int
	// charges are what the tasks of each job count for.
	charges map[modeller.JobID]charge
	// readySince is since when a job could have been started.
	readySince map[modeller.JobID]time.Time
}

const playedTeams = 6

func newCapPlay(t *testing.T, seed uint64) *capPlay {
	cp := &capPlay{
		busyFleet:  newFleetInPools(t, 6, 2),
		random:     rand.New(rand.NewPCG(seed, 3)),
		caps:       map[string]int{},
		highest:    map[string]int{},
		charges:    map[modeller.JobID]charge{},
		readySince: map[modeller.JobID]time.Time{},
	}
	cp.busyFleet.random = rand.New(rand.NewPCG(seed, 4))
	for number := range playedTeams - 1 {
		cp.caps[teamName(number)] = 4000 + cp.random.IntN(30_000)
	}
	cp.configure()
	return cp
}

func (cp *capPlay) configure() {
	cf := cp.al.configuration
	cf.Version++
	cf.Teams = map[string]modeller.Team{}
	for number := range playedTeams {
		name := teamName(number)
		cf.Teams[name] = modeller.Team{Name: name, Weight: float64(1 + number), Cap: modeller.Resources{MilliCores: cp.caps[name]}}
		cp.highest[name] = max(cp.highest[name], cp.caps[name])
	}
	cp.apply(ConfigurationLoaded{Configuration: cf})
}

func (cp *capPlay) change() {
	switch cp.random.IntN(40) {
	case 0:
		cp.caps[teamName(cp.random.IntN(playedTeams-1))] = 4000 + cp.random.IntN(30_000)
		cp.configure()
	case 1:
		cp.cancelAny(cp.random)
	case 2, 3, 4, 5:
		st := tasksOf(1+cp.random.IntN(10), 500*(1+cp.random.IntN(12)))
		st.IsFilling = cp.random.IntN(8) == 0
		st.IsGang = !cp.hasTakeOvers && cp.random.IntN(8) == 0
		cp.widest = max(cp.widest, st.Demand.MilliCores)
		second := st
		second.DependsOn = []int{0}
		team := teamName(cp.random.IntN(playedTeams))
		cp.charges[cp.submitOf(team, cp.random.IntN(2), st, second)] = charge{team: team, demand: st.Demand}
	case 6:
		cp.apply(PollFailed{Worker: cp.al.workers.sorted[cp.random.IntN(len(cp.al.workers.sorted))].info.ID, SentAt: cp.now, Outcome: Unanswered})
	case 7:
		if cp.hasTakeOvers && cp.random.IntN(6) == 0 {
			cp.takeOver()
		}
	}
}

// takeOver replaces the holder. Its successor doesn't know all attempts, and some workers
// report late or aren't in the directory at first.
func (cp *capPlay) takeOver() {
	earlier := cp.al
	cp.al = New(cp.now, testBounds)
	cp.apply(ConfigurationLoaded{Configuration: earlier.configuration})
	var roster, unlisted []modeller.Worker
	for _, wk := range earlier.workers.sorted {
		info := wk.info
		info.Capacity = modeller.Resources{}
		roster = append(roster, info)
		if cp.random.IntN(3) == 0 {
			cp.workers[wk.info.ID].silentUntil = cp.now.Add(time.Duration(cp.random.IntN(4000)) * time.Millisecond)
		}
	}
	cp.apply(RosterLoaded{Workers: rosterOf(roster...)})
	for _, wk := range earlier.workers.sorted {
		if cp.random.IntN(3) == 0 {
			unlisted = append(unlisted, wk.info)
			continue
		}
		cp.apply(WorkerListed{Worker: wk.info})
	}
	for _, id := range slices.Sorted(maps.Keys(earlier.jobs)) {
		jb := earlier.jobs[id]
		pg := jb.progress()
		pg.Tasks = slices.DeleteFunc(pg.Tasks, func(tp modeller.TaskProgress) bool { return !tp.IsDone && cp.random.IntN(2) == 0 })
		cp.apply(ProgressLoaded{Progress: pg})
		cp.apply(JobRecorded{Record: modeller.JobRecord{Job: jb.info}})
		if jb.isCancelled {
			cp.apply(CancelRecorded{Job: id})
		}
	}
	for id, ended := range earlier.retained {
		cp.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: id, Team: ended.team}, FinalState: ended.state}})
	}
	cp.apply(RecordsLoaded{})
	cp.run(50 * time.Millisecond)
	for _, info := range unlisted {
		cp.apply(WorkerListed{Worker: info})
	}
	clear(cp.readySince)
}

// checkWorkers bounds what the workers really run by the caps.
func (cp *capPlay) checkWorkers() {
	used := map[string]int{}
	runs := map[string]int{}
	for _, wk := range cp.workers {
		for name := range wk.running {
			cg := cp.charges[name.Job]
			used[cg.team] += cg.demand.MilliCores
			runs[cg.team]++
		}
	}
	for team, amount := range used {
		must.True(cp.t, cp.caps[team] == 0 || amount <= cp.highest[team] || runs[team] == 1, must.Sprintf("%s runs %d of %d", team, amount, cp.highest[team]))
	}
}

// check compares the accounted usage with the runs, and bounds it by the caps.
func (cp *capPlay) check() {
	used := map[string]int{}
	runs := map[string]int{}
	isEstimated := !cp.al.usage.isCertain && len(cp.al.usage.uncertain) > 0
	for _, wk := range cp.al.workers.sorted {
		isEstimated = isEstimated || wk.unknownDemands > 0
		for _, rn := range wk.runs {
			used[rn.charge.team] += rn.charge.demand.MilliCores
			runs[rn.charge.team]++
		}
	}
	for _, us := range cp.al.usage.limiter.Nearest(playedTeams) {
		if isEstimated {
			must.LessEq(cp.t, us.Used.MilliCores, used[us.Team])
			continue
		}
		must.Eq(cp.t, used[us.Team], us.Used.MilliCores)
		must.True(cp.t, us.Used.MilliCores <= cp.highest[us.Team] || runs[us.Team] == 1, must.Sprintf("%s uses %d of %d", us.Team, us.Used.MilliCores, cp.highest[us.Team]))
	}
}

// checkLiveness fails for a job that waits although its cap and a worker have room for it.
func (cp *capPlay) checkLiveness() {
	for id, jb := range cp.al.jobs {
		if !cp.couldStart(jb) {
			delete(cp.readySince, id)
			continue
		}
		if _, ok := cp.readySince[id]; !ok {
			cp.readySince[id] = cp.now
		}
		must.Less(cp.t, 3*time.Second, cp.now.Sub(cp.readySince[id]), must.Sprintf("job %s of %s", id, jb.info.Team))
	}
}

func (cp *capPlay) couldStart(jb *job) bool {
	if !jb.mayWait() || !jb.hasStoredProgress {
		return false
	}
	for _, oc := range jb.occurrences {
		for _, st := range oc.steps {
			if st.waitingCount == 0 || !oc.areDependenciesDone(st) || st.spec.IsGang || !cp.al.usage.allows(st, 1) {
				continue
			}
			for _, wk := range cp.al.workers.byPool[jb.queue.Pool] {
				if st.reserved.FitsIn(wk.free()) && cp.al.isEligible(cp.now, wk) {
					return true
				}
			}
		}
	}
	return false
}

// TestUsageAndCapsAgreeInRandomPlays guards against runs that are counted twice, not at all
// or for good, against usage above the caps, and against held-back jobs that aren't
// considered again.
func TestUsageAndCapsAgreeInRandomPlays(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cp := newCapPlay(t, seed)
			cp.hasTakeOvers = seed%2 == 1
			for range 4000 {
				cp.change()
				cp.run(5 * time.Millisecond)
				cp.check()
				cp.checkWorkers()
				cp.checkLiveness()
			}
			must.Positive(t, cp.starts)
			cp.run(5 * time.Second)
			for _, jb := range cp.al.jobs {
				cp.apply(CancelRecorded{Job: jb.info.ID})
			}
			cp.run(5 * time.Second)
			for _, us := range cp.al.usage.limiter.Nearest(playedTeams) {
				must.Eq(t, 0, us.Used.MilliCores)
			}
		})
	}
}
