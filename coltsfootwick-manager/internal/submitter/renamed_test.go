package submitter

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
)

// renamedQueue is queueQ under another name.
var renamedQueue = modeller.Queue{Name: "renamed", Host: queueQ.Host, Prefix: queueQ.Prefix}

// TestJobOfRenamedQueueIsCancelled guards against jobs that run on, since their
// queue has another name than when they were accepted.
func TestJobOfRenamedQueueIsCancelled(t *testing.T) {
	for _, queue := range []modeller.Queue{
		renamedQueue,
		{Name: queueQ.Name, Host: "h2", Prefix: "/moved/"},
		{Name: otherQueue.Name, Host: queueQ.Host, Prefix: queueQ.Prefix},
	} {
		runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
			must.NoError(t, sm.Submit(callerContext(t), newJob("j")))
			must.NoError(t, sm.Cancel(callerContext(t), queue, "", "j"))
			state, err := sm.State(callerContext(t), queueQ, "", "j")
			must.NoError(t, err)
			must.Eq(t, modeller.JobCancelled, state)
		})
	}
}

// TestJobOfRemovedQueueIsCancelled guards against jobs that run on, since their
// queue was removed and another one has their path.
func TestJobOfRemovedQueueIsCancelled(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		must.NoError(t, sm.Submit(callerContext(t), newJobOf(modeller.Queue{Name: "removed", Host: "h", Prefix: "/removed/"}, "j")))
		must.NoError(t, sm.Cancel(callerContext(t), queueQ, "", "j"))
	})
}

// TestSubmissionRepeatedAfterARenameIsOneJob guards against a second job with the
// same ID, which would run again once the first one's record has expired.
func TestSubmissionRepeatedAfterARenameIsOneJob(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, sm.Submit(callerContext(t), newJob("j")))
		must.NoError(t, sm.Submit(callerContext(t), newJobOf(renamedQueue, "j")))
		entries, _, err := kr.Zone("b").List(t.Context(), storer.JobPrefix)
		must.NoError(t, err)
		must.Len(t, 1, entries)
	})
}

// TestIDOfAnotherQueuesJobIsRefused guards against a job that is accepted and never
// runs, since workers know tasks by the ID of their job alone.
func TestIDOfAnotherQueuesJobIsRefused(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		must.NoError(t, sm.Submit(callerContext(t), newJob("j")))
		must.Eq(t, classifier.JobIDTaken, classifier.CodeOf(sm.Submit(callerContext(t), newJobOf(otherQueue, "j"))))
		must.Eq(t, classifier.JobUnknown, classifier.CodeOf(sm.Cancel(callerContext(t), otherQueue, "", "j")))
		must.NoError(t, sm.Submit(callerContext(t), newJob("j")))
	})
}

// TestOneIDInABatchOfTwoQueuesIsAcceptedOnce guards against two jobs with one ID
// that are stored in one transaction.
func TestOneIDInABatchOfTwoQueuesIsAcceptedOnce(t *testing.T) {
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		answers := make(chan error, 2)
		for _, queue := range []modeller.Queue{queueQ, otherQueue} {
			go func() { answers <- sm.Submit(callerContext(t), newJobOf(queue, "j")) }()
		}
		accepted, refused := 0, 0
		for range 2 {
			switch classifier.CodeOf(<-answers) {
			case classifier.OK:
				accepted++
			case classifier.JobIDTaken:
				refused++
			}
		}
		must.Eq(t, 1, accepted)
		must.Eq(t, 1, refused)
	})
}
