package submitter

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

// Cap implements Queues. The team narrow has a cap of two cores.
func (fakeScheduler) Cap(team string) modeller.Resources {
	if team == "narrow" {
		return modeller.Resources{MilliCores: 2000}
	}
	return modeller.Resources{}
}

// TestGangWiderThanTheCapIsRefused guards against jobs that are accepted and can't run, and
// against the refusal of one that was accepted before.
func TestGangWiderThanTheCapIsRefused(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		jb := newJob("j")
		jb.Steps = []modeller.Step{{Count: 3, Demand: modeller.Resources{MilliCores: 1000}, IsGang: true}}
		jb.Team = "narrow"
		must.Eq(t, classifier.CapTooLow, classifier.CodeOf(sm.Submit(callerContext(t), jb)))
		_, err := kr.Zone("b").Get(t.Context(), archiver.JobKey("j"))
		must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err))

		accepted, err := modeller.EncodeJob(modeller.JobRecord{Job: jb})
		must.NoError(t, err)
		_, err = kr.Zone("b").Put(t.Context(), archiver.JobKey("j"), accepted, 0, 0)
		must.NoError(t, err)
		must.NoError(t, sm.Submit(callerContext(t), jb), must.Sprint("it was accepted under a higher cap"))
	})
}
