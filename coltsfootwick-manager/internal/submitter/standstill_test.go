package submitter

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// Guards against cancelled jobs that run since a manager stood still until their tombstones
// were removed, and stores then what it reads.
func TestSubmissionsOfALongStandstillAreRefused(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		var stopped atomic.Int64
		sm.standstill.setClock(func() time.Time { return time.Now().Add(time.Duration(stopped.Load())) })
		submit := func(id string) error { return sm.Submit(callerContext(t), newJob(id)) }
		time.Sleep(time.Minute)
		must.NoError(t, submit("before"))
		stopped.Add(int64(10 * time.Second))
		must.NoError(t, submit("short"))
		time.Sleep(time.Minute)
		stopped.Add(int64(defaultRetention))
		must.Eq(t, classifier.JobRefused, classifier.CodeOf(submit("long")))
		time.Sleep(settleTime / 2)
		must.Eq(t, classifier.JobRefused, classifier.CodeOf(submit("long")))
		time.Sleep(settleTime)
		must.NoError(t, submit("long"))
	})
}

// Guards against a job that is stored after its caller's time, in which the VM was suspended.
func TestSubmissionIsNotStoredAfterASuspension(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		suspended := time.Duration(0)
		sm.now = func() time.Time { return time.Now().Add(suspended) }
		sub := sm.newSubmission(callerContext(t), newJob("j"), nil)
		must.False(t, sub.isAbandoned())
		suspended = time.Minute
		must.True(t, sub.isAbandoned())
		must.Eq(t, classifier.JobOutcomeUnknown, classifier.CodeOf(sm.resolveSubmission(context.WithoutCancel(t.Context()), sub)))
		entries, _, err := kr.Zone("b").List(t.Context(), storer.JobPrefix)
		must.NoError(t, err)
		must.SliceEmpty(t, entries)
		must.Eq(t, modeller.JobID("j"), sub.job.ID)
	})
}

// setClock replaces the clock of a running submitter.
func (ss *standstill) setClock(now func() time.Time) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.now = now
	ss.noticedAt = now()
}
