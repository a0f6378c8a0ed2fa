package distributor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// randomRuns changes the runs of a worker as its tasks go on, end and start.
func randomRuns(random *rand.Rand, runs []modeller.Run) []modeller.Run {
	var next []modeller.Run
	for _, rn := range runs {
		if random.IntN(4) == 0 {
			continue
		}
		rn.Progress = min(rn.Progress+random.IntN(40), 100)
		if rn.Progress == 100 {
			rn.Load = random.IntN(500)
		}
		if random.IntN(3) == 0 {
			rn.Checkpoint = fmt.Sprint(random.IntN(1000))
		}
		next = append(next, rn)
	}
	for range random.IntN(3) {
		next = append(next, modeller.Run{
			Task:    modeller.TaskName{Job: modeller.JobID(fmt.Sprintf("%016x", random.Uint64())), Index: random.IntN(8)},
			Attempt: 1 + random.IntN(3),
		})
	}
	random.Shuffle(len(next), func(a, b int) { next[a], next[b] = next[b], next[a] })
	return next
}

func TestChangesGiveThePresentRuns(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var last, runs []modeller.Run
	for range 2000 {
		runs = randomRuns(random, runs)
		changes, added := compareRuns(last, runs)
		present, err := applyChanges(last, changes, added)
		must.NoError(t, err)
		must.SliceContainsAll(t, runs, present)
		must.Len(t, len(runs), present)
		last = present
	}
}

func TestUnchangedRunsAreNotRepeated(t *testing.T) {
	runs := []modeller.Run{{Task: testTask, Attempt: 1, Progress: 50}, {Task: testTask, Attempt: 2}}
	changes, added := compareRuns(runs, runs)
	must.Eq(t, []RunChange{{}, {}}, changes)
	must.Len(t, 0, added)
}

func TestAnotherAttemptIsAnotherRun(t *testing.T) {
	changes, added := compareRuns([]modeller.Run{{Task: testTask, Attempt: 1}}, []modeller.Run{{Task: testTask, Attempt: 2}})
	must.Eq(t, []RunChange{{IsGone: true}}, changes)
	must.Eq(t, []modeller.Run{{Task: testTask, Attempt: 2}}, added)
}

func TestChangesOfOtherRunsAreAnError(t *testing.T) {
	_, err := applyChanges([]modeller.Run{{Task: testTask, Attempt: 1}}, nil, nil)
	must.ErrorContains(t, err, "changes of 0 runs, want 1")
}
