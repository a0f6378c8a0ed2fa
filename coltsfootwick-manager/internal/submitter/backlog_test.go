package submitter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/admitter"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
	"coltsfootwick.example/shared/store/keeper"
)

// fakeBacklogs implements Backlogs for pool p, which has ten minutes of work for a core, of
// teams within their shares.
type fakeBacklogs struct {
	age      time.Duration
	isAbsent bool
}

func (fb *fakeBacklogs) Backlog(pool string) (bl admitter.Backlog, publishedAt time.Time, ok bool) {
	if fb.isAbsent || pool != "p" {
		return admitter.Backlog{}, time.Time{}, false
	}
	return admitter.Backlog{
		Cores:       1,
		TargetCores: 1,
		IsShort:     true,
		Bands:       []admitter.Band{{Until: -time.Hour, Work: 10 * time.Minute}},
	}, timekeeper.Now().Add(-fb.age), true
}

// newSizedJob returns a job of a queue of pool p that takes a second of a core.
func newSizedJob(id string) modeller.Job {
	jb := newJob(id)
	jb.Origin.Pool = "p"
	jb.Origin.Stretch = 1.6
	jb.Origin.Slack = 600 * time.Millisecond
	jb.Steps = []modeller.Step{{Count: 1, Demand: modeller.Resources{MilliCores: 1000}, Estimate: time.Second}}
	return jb
}

// TestJobBehindABacklogIsRefused guards against a refused job that runs, a stored one that is
// refused when its submission is repeated, and a refusal without the time to come back.
func TestJobBehindABacklogIsRefused(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, sm.Submit(callerContext(t), newSizedJob("stored")))
		var refused []string
		WithBacklogs(&fakeBacklogs{}, func(queue string) { refused = append(refused, queue) })(sm)
		err := sm.Submit(callerContext(t), newSizedJob("j"))
		must.Eq(t, classifier.BacklogTooLong, classifier.CodeOf(err))
		must.StrContains(t, err.Error(), "all of it takes ")
		delay, ok := classifier.RetryAfter(err)
		must.True(t, ok)
		must.Between(t, 9*time.Minute, delay, 15*time.Minute)
		must.Eq(t, []string{queueQ.Name}, refused)
		_, err = kr.Zone("b").Get(t.Context(), archiver.JobKey("j"))
		must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))

		must.NoError(t, sm.Submit(callerContext(t), newSizedJob("stored")))
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		err = sm.Submit(callerContext(t), newSizedJob("stored"))
		must.NotEq(t, classifier.BacklogTooLong, classifier.CodeOf(err), must.Sprint("it is unknown whether it is stored"))
		must.Len(t, 1, refused)
	})
}

// TestJobIsAcceptedWithoutPresentFigures guards against refusals by what is no longer so, and
// of jobs without an objective.
func TestJobIsAcceptedWithoutPresentFigures(t *testing.T) {
	longRunning, scheduled, elsewhere := newSizedJob("j"), newSizedJob("j"), newSizedJob("j")
	longRunning.Steps[0].IsLongRunning = true
	scheduled.Occurrences = 1
	elsewhere.Origin.Pool = "other"
	for _, tc := range []struct {
		name     string
		backlogs fakeBacklogs
		job      modeller.Job
	}{
		{"stale figures", fakeBacklogs{age: 1100 * time.Millisecond}, newSizedJob("j")},
		{"no holder yet", fakeBacklogs{isAbsent: true}, newSizedJob("j")},
		{"other pool", fakeBacklogs{}, elsewhere},
		{"long-running", fakeBacklogs{}, longRunning},
		{"scheduled", fakeBacklogs{}, scheduled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
				WithBacklogs(&tc.backlogs, func(string) { t.Error("refused") })(sm)
				must.NoError(t, sm.Submit(callerContext(t), tc.job))
			})
		})
	}
}
