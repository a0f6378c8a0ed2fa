package allocator

import (
	"fmt"
	"math/rand/v2"
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
	// highest is the highest cap of each team so far, and widest the widest task.
	highest map[string]int
	widest  int
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
		st.IsGang = cp.random.IntN(8) == 0
		cp.widest = max(cp.widest, st.Demand.MilliCores)
		second := st
		second.DependsOn = []int{0}
		cp.submitOf(teamName(cp.random.IntN(playedTeams)), cp.random.IntN(2), st, second)
	case 6:
		for id := range cp.workers {
			cp.apply(PollFailed{Worker: id, SentAt: cp.now, Outcome: Unanswered})
			break
		}
	}
}

// check compares the accounted usage with the runs, and bounds it by the caps.
func (cp *capPlay) check() {
	used := map[string]int{}
	runs := map[string]int{}
	for _, wk := range cp.al.workers.sorted {
		for _, rn := range wk.runs {
			used[rn.charge.team] += rn.charge.demand.MilliCores
			runs[rn.charge.team]++
		}
	}
	for _, us := range cp.al.usage.limiter.Nearest(playedTeams) {
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
			for range 4000 {
				cp.change()
				cp.run(5 * time.Millisecond)
				cp.check()
				cp.checkLiveness()
			}
			must.Positive(t, cp.starts)
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
