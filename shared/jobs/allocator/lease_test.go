package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// newLastingFixture returns a fixture with two workers, one of which has reported a run of
// a long-running task, and that run.
func newLastingFixture(t *testing.T) (fx *fixture, id, other string, running []modeller.Run) {
	fx = newFixture(t)
	fx.addReadyWorkers("a", "b")
	fx.submitJob("l", longRunningStep(1))
	starts := takeOrders[StartOrder](fx)
	must.Len(t, 1, starts)
	fx.acceptStart(starts[0])
	id = string(starts[0].Worker.ID)
	other = map[string]string{"a": "b", "b": "a"}[id]
	return fx, id, other, []modeller.Run{{Task: starts[0].Task, Attempt: starts[0].Attempt, Progress: 100}}
}

// keepRunsOf lets a worker report its runs for a duration, and the other one none.
func (fx *fixture) keepRunsOf(id, other string, startedAtMS int64, clock func() time.Duration, running []modeller.Run, duration time.Duration) {
	for range duration / (50 * time.Millisecond) {
		fx.advance(50 * time.Millisecond)
		fx.reportOf(id, startedAtMS, clock(), running)
		fx.report(other, nil)
		fx.storeBatch()
	}
}

// succeed returns the fixture of the next holder, whose wall clock is ahead, once it has
// applied one report of each worker.
func (fx *fixture) succeed(id, other string, startedAtMS int64, clock time.Duration, running []modeller.Run, wallAhead time.Duration) *fixture {
	later := newFixture(fx.t)
	later.al = New(fx.now, testBounds)
	later.now = fx.now
	later.wallAhead = wallAhead
	later.apply(configurationWith(1, "p"))
	for _, pg := range fx.progress {
		later.apply(ProgressLoaded{Progress: pg})
	}
	later.apply(RosterLoaded{Workers: fx.roster})
	later.listWorker(id)
	later.listWorker(other)
	later.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{ID: "l", Queue: "q", Steps: []modeller.Step{longRunningStep(1)}}}})
	later.apply(RecordsLoaded{})
	later.advance(25 * time.Millisecond)
	later.reportOf(id, startedAtMS, clock, running)
	later.report(other, nil)
	later.advance(25 * time.Millisecond)
	later.report(other, nil)
	later.orders = nil
	return later
}

// Guards against long-running tasks that wait for the longest lease after a takeover: their
// worker is lost once it has reported to the new holder, and has had a holder's lease only.
func TestWorkerLostAfterATakeoverHasTheLeaseOfAHolder(t *testing.T) {
	longest := maxElapsed(testBounds.MaxRunLease)
	clockOf := func(fx *fixture) time.Duration { return time.Hour + fx.now.Sub(time.Unix(1_700_000_000, 0)) }
	for _, row := range []struct {
		name string
		// restartedFor is how long ago the worker has reported with another start time, or
		// zero if it hasn't.
		restartedFor time.Duration
		// startAhead and clockAhead are by how much the start time and the clock differ
		// that the new holder gets.
		startAhead            int64
		clockAhead, wallAhead time.Duration
		isLongest             bool
	}{
		{name: "same incarnation"},
		{name: "wall clock of the new holder ahead", wallAhead: 3 * time.Second},
		{name: "wall clock of the new holder far ahead", wallAhead: time.Minute, isLongest: true},
		{name: "next incarnation", startAhead: 1, isLongest: true},
		{name: "next incarnation with the same start time", clockAhead: -time.Minute, isLongest: true},
		{name: "restarted shortly before", restartedFor: 9 * time.Second, isLongest: true},
		{name: "restarted long before", restartedFor: 13 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			fx, id, other, running := newLastingFixture(t)
			clock := func() time.Duration { return clockOf(fx) }
			startedAtMS := int64(1)
			fx.keepRunsOf(id, other, startedAtMS, clock, running, 2*time.Second)
			if row.restartedFor > 0 {
				startedAtMS = 2
				fx.listNextIncarnation(id, startedAtMS)
				fx.keepRunsOf(id, other, startedAtMS, clock, nil, row.restartedFor)
			}
			later := fx.succeed(id, other, startedAtMS+row.startAhead, clock()+row.clockAhead, running, row.wallAhead)
			wait := later.silenceUntilStart(id, other)
			if row.isLongest {
				must.GreaterEq(t, longest, wait)
				return
			}
			must.GreaterEq(t, maxElapsed(testBounds.RunLease), wait)
			must.LessEq(t, 6*time.Second, wait)
		})
	}
}

// Guards against the same after two takeovers in a row, since the second holder has
// stored the roster before the workers have reported to it.
func TestRosterKeepsSettledIncarnationsUntilTheyReport(t *testing.T) {
	fx, id, other, running := newLastingFixture(t)
	fx.keepRunsOf(id, other, 1, func() time.Duration { return time.Hour + fx.now.Sub(time.Unix(1_700_000_000, 0)) }, running, 2*time.Second)
	later := newFixture(t)
	later.apply(RosterLoaded{Workers: fx.roster})
	later.apply(RecordsLoaded{})
	later.storeBatch()
	must.Len(t, 2, later.roster)
	must.Positive(t, fx.roster[0].Settled.StartedAtMS)
	must.Eq(t, fx.roster[0].Settled, later.roster[0].Settled)
}

// Guards against a settled incarnation in the roster that is another one by now, with the
// same start time.
func TestRosterLacksAnIncarnationThatIsSuspected(t *testing.T) {
	fx, id, other, running := newLastingFixture(t)
	fx.keepRunsOf(id, other, 1, func() time.Duration { return time.Hour + fx.now.Sub(time.Unix(1_700_000_000, 0)) }, running, 2*time.Second)
	fx.advance(50 * time.Millisecond)
	fx.reportOf(id, 1, time.Second, nil)
	fx.storeBatch()
	for _, re := range fx.roster {
		must.Eq(t, string(re.Worker.ID) != id, re.Settled.StartedAtMS == 1)
	}
}
