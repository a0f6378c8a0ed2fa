package allocator

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// idleEvents are events that free no room and bring no job.
var idleEvents = map[string]func(ff *fullFleet){
	"start accepted": func(ff *fullFleet) {
		rn := ff.al.workers.byID[ff.ids[0]].sortedRuns()[0]
		ff.apply(StartResult{
			Worker:  rn.worker.info.ID,
			Task:    rn.name,
			Attempt: rn.attempt,
			Outcome: Accepted,
		})
	},
	"report without ends": func(ff *fullFleet) { ff.reportRuns(ff.ids[0]) },
	"worker listed again": func(ff *fullFleet) {
		ff.apply(WorkerListed{
			Worker: ff.al.workers.byID[ff.ids[0]].info,
		})
	},
}

// planEffort returns the effort of a plan after an event.
func planEffort(t *testing.T, waitingJobs int, isPeriodic bool, applyEvent func(ff *fullFleet)) effort {
	ff := newFullFleet(t, waitingJobs)
	applyEvent(ff)
	ff.al.effort = effort{}
	ff.plan(isPeriodic)
	return ff.al.effort
}

func TestPlanWorkDoesNotGrowWithWaitingJobs(t *testing.T) {
	for name, applyEvent := range idleEvents {
		for _, isPeriodic := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, periodic %t", name, isPeriodic), func(t *testing.T) {
				few := planEffort(t, 50, isPeriodic, applyEvent)
				many := planEffort(t, 1000, isPeriodic, applyEvent)
				must.LessEq(t, few.jobs, many.jobs, must.Sprint("jobs examined with 1000 waiting jobs, against 50"))
				must.LessEq(t, few.workers, many.workers, must.Sprint("workers examined with 1000 waiting jobs, against 50"))
			})
		}
	}
}

// TestPlanAfterAnEndExaminesFewJobs guards the plans of a saturated fleet: the
// room of one task leads to one start, and the jobs behind it aren't examined.
func TestPlanAfterAnEndExaminesFewJobs(t *testing.T) {
	ff := newFullFleet(t, 1000)
	rn := ff.al.workers.byID[ff.ids[0]].sortedRuns()[0]
	ff.reportRuns(rn.worker.info.ID, modeller.End{
		Task:    rn.name,
		Attempt: rn.attempt,
		Kind:    modeller.EndDone,
		Number:  1,
	})
	ff.al.effort = effort{}
	starts := 0
	for _, od := range ff.plan(false) {
		if _, ok := od.(StartOrder); ok {
			starts++
		}
	}
	must.Eq(t, 1, starts)
	must.LessEq(t, 10, ff.al.effort.jobs)
	must.LessEq(t, len(ff.ids), ff.al.effort.workers)
}
