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

// serviceOrder returns the waiting jobs in the order of service, ranked anew.
func serviceOrder(fx *fixture) []modeller.JobID {
	var ranked []rankedJob
	for _, jb := range fx.al.jobs {
		if jb.mayWait() {
			ranked = append(ranked, fx.al.rankedJob(fx.now, jb))
		}
	}
	slices.SortFunc(ranked, rankedJob.compare)
	return jobIDs(ranked)
}

func jobIDs(ranked []rankedJob) []modeller.JobID {
	ids := []modeller.JobID{}
	for _, rj := range ranked {
		if rj.job.mayWait() {
			ids = append(ids, rj.job.info.ID)
		}
	}
	return ids
}

// submitTwoSteps submits a job of two steps, one after the other.
func (fx *fixture) submitTwoSteps(id string, estimate time.Duration) {
	first, second := oneTaskStep(), oneTaskStep()
	first.Estimate, second.Estimate = estimate, estimate
	first.Demand.MilliCores = 1500
	second.DependsOn = []int{0}
	fx.apply(JobRecorded{
		Record: modeller.JobRecord{
			Job: modeller.Job{
				ID:    modeller.JobID(id),
				Queue: "q",
				Steps: []modeller.Step{first, second},
			},
		},
	})
	fx.storeBatch()
}

// endRun reports the end of the first run of a worker, if it has one.
func (fx *fixture) endRun(id string, number int64, kind modeller.EndKind) {
	var running []modeller.Run
	var ended []modeller.End
	for idx, rn := range fx.al.workers.byID[modeller.WorkerID(id)].sortedRuns() {
		if idx == 0 {
			ended = append(ended, modeller.End{
				Task:    rn.name,
				Attempt: rn.attempt,
				Kind:    kind,
				Number:  number,
			})
			continue
		}
		running = append(running, modeller.Run{
			Task:     rn.name,
			Attempt:  rn.attempt,
			Progress: int(number),
		})
	}
	fx.report(id, running, ended...)
}

// cancelAny cancels a random job.
func (fx *fixture) cancelAny(rng *rand.Rand) {
	if ids := slices.Sorted(maps.Keys(fx.al.jobs)); len(ids) > 0 {
		fx.apply(CancelRecorded{Job: ids[rng.IntN(len(ids))]})
	}
}

// TestWaitingListKeepsServiceOrder compares the list after each plan with a
// ranking of all jobs, while jobs arrive, end, are requeued, are cancelled and
// become late.
func TestWaitingListKeepsServiceOrder(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		fx := newFixture(t)
		fx.addReadyWorkers("a", "b")
		longest := 0
		for number := range int64(150) {
			for range rng.IntN(3) {
				fx.submitTwoSteps(fmt.Sprintf("j%d-%d", number, rng.IntN(1000)), time.Duration(1+rng.IntN(8))*250*time.Millisecond)
			}
			kinds := []modeller.EndKind{modeller.EndDone, modeller.EndDone, modeller.EndStopped, modeller.EndFailed}
			for _, id := range []string{"a", "b"} {
				fx.endRun(id, number+1, kinds[rng.IntN(len(kinds))])
			}
			if rng.IntN(10) == 0 {
				fx.cancelAny(rng)
			}
			fx.advance(25 * time.Millisecond)
			fx.storeBatch()
			wl := fx.al.waiting["p"]
			if wl == nil {
				continue
			}
			fx.al.rerankDue(fx.now, wl)
			ranked := wl.teams[""].ranked
			must.Eq(t, serviceOrder(fx), jobIDs(ranked))
			longest = max(longest, len(ranked))
			must.LessEq(t, 2*longest+minDueChanges+1, len(wl.due))
			for _, rj := range ranked {
				if rj.job.mayWait() {
					must.Eq(t, wl.smallest, wl.smallest.Min(rj.job.leastDemand().reserved))
				}
			}
		}
	}
}
