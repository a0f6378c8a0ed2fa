package allocator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// withCap returns a configuration in which team t has a cap on its cores, and team u none.
func withCap(version int64, milliCores int) ConfigurationLoaded {
	cf := configurationWith(version, "p")
	cf.Configuration.Teams = map[string]modeller.Team{
		"t": {Name: "t", Cap: modeller.Resources{MilliCores: milliCores}},
		"u": {Name: "u"},
	}
	return cf
}

// newCapFixture returns a fixture with ready workers of four cores and a cap of team t.
func newCapFixture(t testing.TB, milliCores int, workers ...string) *fixture {
	fx := newFixture(t)
	fx.apply(withCap(2, milliCores))
	fx.addReadyWorkers(workers...)
	return fx
}

// teamJobRecorded returns the record of a team's job.
func teamJobRecorded(id, team string, steps ...modeller.Step) JobRecorded {
	return JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: modeller.JobID(id), Queue: "q", Team: team, Steps: steps}}}
}

func (fx *fixture) submitTeamJob(id, team string, steps ...modeller.Step) {
	fx.apply(teamJobRecorded(id, team, steps...))
	fx.storeBatch()
}

// tasksOf returns a step of tasks with some cores each.
func tasksOf(count, milliCores int) modeller.Step {
	st := oneTaskStep()
	st.Count = count
	st.Demand.MilliCores = milliCores
	return st
}

// takeStarts returns the tasks started since the last call, whose starts are accepted.
func (fx *fixture) takeStarts() []modeller.TaskName {
	var names []modeller.TaskName
	for _, so := range takeOrders[StartOrder](fx) {
		fx.acceptStart(so)
		names = append(names, so.Task)
	}
	return names
}

// keepRunning makes workers report the runs that they have for a duration.
func (fx *fixture) keepRunning(duration time.Duration, ids ...modeller.WorkerID) {
	for range duration / (50 * time.Millisecond) {
		fx.advance(50 * time.Millisecond)
		for _, id := range ids {
			fx.report(string(id), fx.runningOn(id))
		}
		fx.storeBatch()
	}
}

func (fx *fixture) runningOn(id modeller.WorkerID) []modeller.Run {
	var running []modeller.Run
	for _, rn := range fx.al.workers.byID[id].sortedRuns() {
		running = append(running, modeller.Run{Task: rn.name, Attempt: rn.attempt, Progress: 99})
	}
	return running
}

// endTask reports the end of a task's run.
func (fx *fixture) endTask(job string, index int, kind modeller.EndKind) {
	rn := fx.al.findTask(taskName(job, index)).run
	running := slices.DeleteFunc(fx.runningOn(rn.worker.info.ID), func(reported modeller.Run) bool { return reported.Task == rn.name })
	fx.report(string(rn.worker.info.ID), running, modeller.End{Number: rn.worker.lastProcessedEnd + 1, Task: rn.name, Attempt: rn.attempt, Kind: kind})
}

func (fx *fixture) usedByTeam() int {
	return fx.al.usage.limiter.Nearest(1)[0].Used.MilliCores
}

// TestCapHoldsTasksBackAndNoOthers guards against usage above a cap, and against jobs
// of other teams that wait behind those that are held back.
func TestCapHoldsTasksBackAndNoOthers(t *testing.T) {
	fx := newCapFixture(t, 2000, "a", "b")
	fx.submitTeamJob("j1", "t", tasksOf(5, 1000))
	fx.submitTeamJob("j2", "u", tasksOf(2, 1000))
	fx.submitTeamJob("j3", "", tasksOf(2, 1000))
	must.Len(t, 6, fx.takeStarts())
	must.Eq(t, 2000, fx.usedByTeam())
	fx.endTask("j1", 0, modeller.EndDone)
	must.Eq(t, []modeller.TaskName{taskName("j1", 2)}, fx.takeStarts(), must.Sprint("a step wider than the cap runs in waves"))
	must.Eq(t, 1, fx.al.Load().Teams[0].HeldJobs)
}

// TestStartInDoubtCountsAgainstCap guards against a second start while the first may
// still be carried out.
func TestStartInDoubtCountsAgainstCap(t *testing.T) {
	fx := newCapFixture(t, 1000, "a", "b")
	fx.submitTeamJob("j", "t", tasksOf(2, 1000))
	so := takeOrders[StartOrder](fx)[0]
	fx.apply(StartResult{Worker: so.Worker.ID, Task: so.Task, Attempt: so.Attempt, Outcome: Unanswered})
	fx.keepReporting("b", 500*time.Millisecond)
	must.Len(t, 0, fx.takeStarts())
	// The stop that follows the doubt settles it.
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil)
	fx.apply(StopResult{Worker: so.Worker.ID, Task: so.Task, Attempt: so.Attempt, Outcome: Accepted})
	fx.advance(50 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 1, fx.takeStarts())
}

// TestStoppedRunCountsUntilItsEnd guards against usage above the cap while the runs of a
// cancelled job end.
func TestStoppedRunCountsUntilItsEnd(t *testing.T) {
	fx := newCapFixture(t, 1000, "a")
	fx.submitTeamJob("j1", "t", tasksOf(1, 1000))
	must.Len(t, 1, fx.takeStarts())
	fx.submitTeamJob("j2", "t", tasksOf(1, 1000))
	fx.apply(CancelRecorded{Job: "j1"})
	fx.keepRunning(300*time.Millisecond, "a")
	must.Len(t, 0, fx.takeStarts())
	fx.endRun("a", 1, modeller.EndStopped)
	must.Eq(t, []modeller.TaskName{taskName("j2", 0)}, fx.takeStarts())
}

// TestUnreachableWorkersRunsCount guards against usage above the cap while a worker that
// is cut off may still have runs.
func TestUnreachableWorkersRunsCount(t *testing.T) {
	fx := newCapFixture(t, 4000, "a", "b")
	fx.submitTeamJob("j", "t", tasksOf(8, 1000))
	must.Len(t, 4, fx.takeStarts())
	lost := fx.al.findTask(taskName("j", 0)).run.worker.info.ID
	other := map[modeller.WorkerID]modeller.WorkerID{"a": "b", "b": "a"}[lost]
	fx.apply(PollFailed{Worker: lost, SentAt: fx.now, Outcome: Unanswered})
	expiry := fx.al.leaseExpiry(fx.al.workers.byID[lost])
	for range 400 {
		fx.keepRunning(50*time.Millisecond, other)
		fx.failPendingPolls(lost)
		must.Eq(t, 4000, fx.usedByTeam())
		must.True(t, fx.now.After(expiry) || len(fx.al.workers.byID[other].runs) == 0)
	}
	must.MapLen(t, 4, fx.al.workers.byID[other].runs)
}

// TestRestartedWorkersRunsEnd guards against runs of an ended incarnation that hold a
// part of the cap for good.
func TestRestartedWorkersRunsEnd(t *testing.T) {
	fx := newCapFixture(t, 1000, "a", "b")
	fx.submitTeamJob("j", "t", tasksOf(1, 1000))
	must.Len(t, 1, fx.takeStarts())
	wk := fx.al.findTask(taskName("j", 0)).run.worker
	fx.keepRunning(100*time.Millisecond, "a", "b")
	fx.apply(PollFailed{Worker: wk.info.ID, SentAt: fx.now, Outcome: Restarted})
	must.Eq(t, 0, fx.usedByTeam())
	must.Len(t, 1, fx.takeStarts())
	must.Eq(t, 1000, fx.usedByTeam())
}

// TestChangedCap guards against runs that a lowered cap ends, against starts above it,
// and against jobs that don't notice a raised one.
func TestChangedCap(t *testing.T) {
	fx := newCapFixture(t, 3000, "a")
	fx.submitTeamJob("j", "t", tasksOf(6, 1000))
	must.Len(t, 3, fx.takeStarts())
	fx.apply(withCap(3, 2000))
	fx.keepRunning(200*time.Millisecond, "a")
	must.MapLen(t, 3, fx.al.workers.byID["a"].runs)
	fx.endRun("a", 1, modeller.EndDone)
	must.Len(t, 0, fx.takeStarts())
	fx.endRun("a", 2, modeller.EndDone)
	must.Len(t, 1, fx.takeStarts())
	fx.apply(withCap(4, 4000))
	must.Len(t, 2, fx.takeStarts())
}

// TestWideTasksRunAlone guards against a task that its cap keeps waiting for good, and
// against others beside it.
func TestWideTasksRunAlone(t *testing.T) {
	fx := newCapFixture(t, 1000, "a", "b")
	fx.submitTeamJob("j1", "t", tasksOf(2, 2000))
	must.Len(t, 1, fx.takeStarts())
	fx.submitTeamJob("j2", "t", tasksOf(1, 100))
	must.Len(t, 0, fx.takeStarts())
}

// TestGangStartsWholeWithinItsCap guards against a part of a gang that runs and waits for
// the rest, and against a whole one above the cap.
func TestGangStartsWholeWithinItsCap(t *testing.T) {
	fx := newCapFixture(t, 2000, "a", "b")
	gang := tasksOf(3, 1000)
	gang.IsGang = true
	fx.submitTeamJob("j1", "t", gang)
	fx.submitTeamJob("j2", "t", tasksOf(1, 1000))
	must.Eq(t, []modeller.TaskName{taskName("j2", 0)}, fx.takeStarts())
	fx.apply(withCap(3, 4000))
	must.Len(t, 3, fx.takeStarts())
}

// TestFillingTasksCountWhole guards against a cap that tasks without reserved processors
// pass.
func TestFillingTasksCountWhole(t *testing.T) {
	fx := newCapFixture(t, 2000, "a")
	filling := tasksOf(4, 1000)
	filling.IsFilling = true
	fx.submitTeamJob("j", "t", filling)
	must.Len(t, 2, fx.takeStarts())
}

// TestUnknownRunsCountAfterTakeOver guards against usage above the cap while workers that
// haven't reported may have runs of an earlier holder.
func TestUnknownRunsCountAfterTakeOver(t *testing.T) {
	for name, test := range map[string]struct {
		tasks, milliCores int
		// starts is how many tasks of one core start while worker a hasn't reported.
		starts int
	}{
		"demand of the inherited tasks":     {3, 1000, 2},
		"capacity of the unreported worker": {9, 1000, 1},
		"no inherited tasks":                {0, 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.addReadyWorkers("a")
			var records []JobRecorded
			if test.tasks > 0 {
				records = append(records, teamJobRecorded("old", "t", tasksOf(test.tasks, test.milliCores)))
				fx.apply(records[0])
				fx.storeBatch()
				fx.takeStarts()
				fx.storeBatch()
			}
			cf := configurationWith(3, "p2")
			cf.Configuration.Teams = withCap(3, 5000).Configuration.Teams
			later := fx.takeOver(cf, records...)
			for number := range 4 {
				later.submitTeamJob(fmt.Sprintf("new%d", number), "t", tasksOf(2, 1000))
			}
			later.advance(50 * time.Millisecond)
			later.keepRunning(100*time.Millisecond, "b")
			started := len(later.al.workers.byID["b"].runs)
			must.Eq(t, min(test.starts, 4), started)
			later.report("a", nil)
			later.keepRunning(100*time.Millisecond, "b")
			must.Eq(t, 4000, later.al.workers.byID["b"].used.MilliCores)
			later.keepRunning(100*time.Millisecond, "b")
			must.LessEq(t, 5000, later.usedByTeam())
		})
	}
}

// TestOrphanedRunsCount guards against usage above the cap through runs that no job needs:
// of a known job by its step, of an ended one by the worker's capacity.
func TestOrphanedRunsCount(t *testing.T) {
	fx := newCapFixture(t, 3000, "a")
	fx.submitTeamJob("j", "t", tasksOf(1, 1000))
	must.Len(t, 1, fx.takeStarts())
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: "ended", Team: "t"}, FinalState: modeller.JobFailed}})
	running := append(fx.runningOn("a"), modeller.Run{Task: taskName("j", 0), Attempt: 3})
	fx.report("a", running[1:])
	must.Eq(t, 1000, fx.usedByTeam())
	fx.report("a", append(running[1:], modeller.Run{Task: taskName("ended", 0), Attempt: 1}))
	must.Eq(t, 5000, fx.usedByTeam())
	fx.report("a", running[1:], modeller.End{Number: 1, Task: taskName("ended", 0), Attempt: 1, Kind: modeller.EndStopped})
	must.Eq(t, 1000, fx.usedByTeam())
}

// TestLongRunningTaskAboveCapIsNotMoved guards against a task that is stopped for a move
// and may not start again, since its team's cap was lowered.
func TestLongRunningTaskAboveCapIsNotMoved(t *testing.T) {
	fx := newCapFixture(t, 2000, "a", "b", "c")
	fx.submitTeamJob("j", "t", longRunningStep(2))
	fx.takeStarts()
	fx.keepRunning(100*time.Millisecond, "a", "b", "c")
	rn := fx.al.findTask(taskName("j", 0)).run
	must.True(t, fx.al.hasOtherPlace(fx.now, rn))
	fx.apply(withCap(3, 1000))
	must.False(t, fx.al.hasOtherPlace(fx.now, rn))
}

// TestJobUnderHalfOfItsCapStartsInTime guards against jobs that wait although their team
// and the pool have room: behind one that the cap holds back, and after the team was held.
func TestJobUnderHalfOfItsCapStartsInTime(t *testing.T) {
	fx := newCapFixture(t, 4000, "a", "b")
	fx.submitTeamJob("j1", "t", tasksOf(1, 1900))
	must.Len(t, 1, fx.takeStarts())
	fx.submitTeamJob("wide", "t", tasksOf(1, 3000))
	must.Len(t, 0, fx.takeStarts())
	must.True(t, fx.al.waiting["p"].teams["t"].isHeld)
	fx.submitTeamJob("j2", "t", tasksOf(1, 2000))
	must.Eq(t, []modeller.TaskName{taskName("j2", 0)}, fx.takeStarts())
	fx.keepRunning(100*time.Millisecond, "a", "b")
	fx.endTask("j1", 0, modeller.EndDone)
	fx.endTask("j2", 0, modeller.EndDone)
	must.Eq(t, []modeller.TaskName{taskName("wide", 0)}, fx.takeStarts())
}

// TestHeldJobsAreNotExamined guards against plans whose work grows with the jobs that a cap
// holds back, while the pool has room and its other runs end.
func TestHeldJobsAreNotExamined(t *testing.T) {
	fx := newCapFixture(t, 1000, "a")
	fx.apply(teamJobRecorded("small", "t", tasksOf(1, 100)))
	for number := range 500 {
		fx.apply(teamJobRecorded(fmt.Sprintf("h%03d", number), "t", tasksOf(2, 600)))
	}
	for batch := fx.al.Batch(fx.now); batch != nil; batch = fx.al.Batch(fx.now) {
		fx.apply(BatchStored{Batch: batch})
	}
	must.Len(t, 2, fx.takeStarts())
	fx.submitTeamJob("other", "u", tasksOf(1, 100))
	must.Len(t, 1, fx.takeStarts())
	fx.al.effort = effort{}
	fx.keepRunning(500*time.Millisecond, "a")
	must.LessEq(t, 10, fx.al.effort.jobs)
}

// takeOverFromRoster returns a later holder's fixture with a cap of four cores. Worker a runs
// three tasks of one core of the job old, and is known from the stored roster alone, which
// has no capacities. Worker b is ready.
func takeOverFromRoster(t *testing.T, isCancelled bool) *fixture {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	old := teamJobRecorded("old", "t", tasksOf(3, 1000))
	fx.apply(old)
	fx.storeBatch()
	fx.takeStarts()
	fx.storeBatch()
	later := newFixture(t)
	later.apply(withCap(2, 4000))
	later.apply(ProgressLoaded{Progress: fx.progress["old"]})
	unlisted := workerIn("a", "p")
	unlisted.Capacity = modeller.Resources{}
	later.apply(RosterLoaded{Workers: rosterOf(unlisted)})
	later.apply(old)
	if isCancelled {
		later.apply(CancelRecorded{Job: "old"})
	}
	later.addReadyWorkers("b")
	later.submitTeamJob("new", "t", tasksOf(4, 1000))
	return later
}

// TestWorkersOfUnknownCapacityBoundNothing guards against usage above the cap after a
// take-over by workers that the directory doesn't list.
func TestWorkersOfUnknownCapacityBoundNothing(t *testing.T) {
	later := takeOverFromRoster(t, false)
	must.Len(t, 1, later.takeStarts())
	later.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: "ended", Team: "t"}, FinalState: modeller.JobFailed}})
	later.report("a", []modeller.Run{{Task: taskName("ended", 0), Attempt: 1}})
	must.Eq(t, 8000, later.usedByTeam(), must.Sprint("with the greatest known capacity for the orphaned run"))
	listed := workerIn("a", "p")
	listed.Capacity = modeller.Resources{MilliCores: 3000}
	later.apply(WorkerListed{Worker: listed})
	later.advance(50 * time.Millisecond)
	must.Eq(t, 4000, later.usedByTeam())
}

// TestEntryOfAnUnreportedWorkerBoundsNothing guards against usage above the cap after a
// take-over by an entry with another capacity than that of the incarnation that runs tasks.
func TestEntryOfAnUnreportedWorkerBoundsNothing(t *testing.T) {
	later := takeOverFromRoster(t, false)
	entry := workerIn("a", "p")
	entry.Capacity = modeller.Resources{MilliCores: 1000, MemoryMB: 1000}
	later.apply(WorkerListed{Worker: entry})
	must.Len(t, 1, later.takeStarts())
}

// TestUnknownRunsOfACancelledJobCount guards against usage above the cap after a take-over by
// a job that has no known runs, so that its cancellation ends it at once.
func TestUnknownRunsOfACancelledJobCount(t *testing.T) {
	later := takeOverFromRoster(t, true)
	must.MapNotContainsKey(t, later.al.jobs, "old")
	must.Len(t, 1, later.takeStarts())
	later.report("a", nil)
	later.keepRunning(100*time.Millisecond, "b")
	must.Len(t, 3, later.takeStarts())
}

// TestReleasedTasksAreConsideredBesideLargerOnes guards against held-back tasks that wait on
// after an end of their team's run, since only larger ones are known to wait in the pool.
func TestReleasedTasksAreConsideredBesideLargerOnes(t *testing.T) {
	fx := newCapFixture(t, 500, "a")
	fx.submitTeamJob("j", "t", tasksOf(3, 500))
	must.Len(t, 1, fx.takeStarts())
	fx.submitTeamJob("large", "u", tasksOf(2, 2500))
	must.Len(t, 1, fx.takeStarts())
	fx.keepRunning(100*time.Millisecond, "a")
	must.Eq(t, 2500, fx.al.waiting["p"].smallest.MilliCores)
	fx.endTask("j", 0, modeller.EndDone)
	must.Eq(t, []modeller.TaskName{taskName("j", 1)}, fx.takeStarts())
}

// TestEndInOnePoolReleasesTasksInAnother guards against tasks that wait for an event in their
// own pool after a run of their team has ended elsewhere.
func TestEndInOnePoolReleasesTasksInAnother(t *testing.T) {
	fx := newCapFixture(t, 1000, "a")
	fx.listWorkerIn("b", "p2")
	fx.keepReporting("b", 200*time.Millisecond)
	fx.submitTeamJob("j1", "t", tasksOf(1, 1000))
	must.Len(t, 1, fx.takeStarts())
	cf := withCap(3, 1000)
	cf.Configuration.Queues["q2"] = modeller.Queue{Name: "q2", Pool: "p2", MaxAttempts: 2, Stretch: 1.6}
	fx.apply(cf)
	j2 := teamJobRecorded("j2", "t", tasksOf(1, 1000))
	j2.Record.Job.Queue = "q2"
	fx.apply(j2)
	fx.storeBatch()
	fx.advance(50 * time.Millisecond)
	fx.report("b", nil)
	must.Len(t, 0, fx.takeStarts())
	fx.endTask("j1", 0, modeller.EndDone)
	started := 0
	for _, od := range fx.al.Plan(fx.now, fx.now) {
		if _, ok := od.(StartOrder); ok {
			started++
		}
	}
	must.Eq(t, 1, started, must.Sprint("in the plan that follows, not in the next periodic one"))
}

// TestRejoiningMembersOfAGangNeedTheirCap guards against usage above the cap by members whose
// starts were refused, after another task has taken the place of one.
func TestRejoiningMembersOfAGangNeedTheirCap(t *testing.T) {
	fx := newCapFixture(t, 3000, "a", "b")
	gang := tasksOf(3, 1000)
	gang.IsGang = true
	fx.submitTeamJob("j1", "t", gang)
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 3, starts)
	fx.acceptStart(starts[0])
	fx.submitTeamJob("j2", "t", tasksOf(1, 1000))
	for _, so := range starts[1:] {
		fx.apply(StartResult{Worker: so.Worker.ID, Task: so.Task, Attempt: so.Attempt, Outcome: Malformed})
	}
	must.Eq(t, []modeller.TaskName{taskName("j2", 0)}, fx.takeStarts())
	fx.keepRunning(time.Second, "a", "b")
	must.Eq(t, 3000, fx.usedByTeam())
	must.Len(t, 1, fx.takeStarts())
}
