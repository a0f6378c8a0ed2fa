package submitter

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

// fakeScheduler knows no job, and is not known itself.
type fakeScheduler struct{ isOut bool }

func (fakeScheduler) State(context.Context, netip.AddrPort, modeller.JobID) (modeller.JobState, error) {
	return "", classifier.New(classifier.JobUnknown, "as told")
}

func (fakeScheduler) Pending(context.Context, netip.AddrPort, string) (int, error) { return 0, nil }
func (fakeScheduler) Announce(context.Context, netip.AddrPort, []byte) error       { return nil }

func (fakeScheduler) Holder() (netip.AddrPort, bool) { return netip.AddrPort{}, false }
func (fs fakeScheduler) IsOut() bool                 { return fs.isOut }

// run runs a test in virtual time with a submitter and its store.
func run(t *testing.T, isOut bool, test func(t *testing.T, sm *Submitter, kr *keeper.Keeper)) {
	synctest.Test(t, func(t *testing.T) {
		kr := keeper.New()
		fs := fakeScheduler{isOut: isOut}
		sm := New(kr.Zone("a", keeper.WithCallTimeout(time.Second)), fs, fs, fs, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = sm.Run(ctx)
		}()
		test(t, sm, kr)
		cancel()
		<-done
		synctest.Wait()
	})
}

func jobOf(id string) modeller.Job {
	return modeller.Job{
		ID:    modeller.JobID(id),
		Queue: "q",
		Steps: []modeller.Step{{Count: 1}},
	}
}

// within returns a context that ends as a caller's deadline does.
func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestAcceptedJobIsStored(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, sm.Submit(within(t), jobOf("j")))
		_, err := kr.Zone("b").Get(t.Context(), archiver.JobKey("q", "j"))
		must.NoError(t, err)
		state, err := sm.State(within(t), "q", "j")
		must.NoError(t, err)
		must.Eq(t, modeller.JobRunning, state)
	})
}

func TestRepeatedSubmissionIsAccepted(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, sm.Submit(within(t), jobOf("j")))
		before, _ := kr.Zone("b").Get(t.Context(), archiver.JobKey("q", "j"))
		must.NoError(t, sm.Submit(within(t), jobOf("j")))
		after, _ := kr.Zone("b").Get(t.Context(), archiver.JobKey("q", "j"))
		must.Eq(t, before.Revision, after.Revision)
	})
}

func TestSubmissionsTogetherAreEachAnswered(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		must.NoError(t, sm.Submit(within(t), jobOf("old")))
		answers := make(chan error, 20)
		for _, id := range []string{"old", "a", "a", "b", "c"} {
			go func() { answers <- sm.Submit(within(t), jobOf(id)) }()
		}
		for range 5 {
			must.NoError(t, <-answers)
		}
	})
}

func TestLostAnswerIsSettledAndNeverRefused(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, kr.SetFaults(keeper.AnswerLost{Scope: keeper.Scope{Share: 1}}))
		err := sm.Submit(within(t), jobOf("j"))
		if err != nil {
			must.Eq(t, classifier.JobOutcomeUnknown, classifier.CodeOf(err))
		}
		must.NoError(t, kr.SetFaults())
		must.NoError(t, sm.Submit(within(t), jobOf("j")))
	})
}

func TestJobIsRefusedWhileTheStoreIsOut(t *testing.T) {
	run(t, true, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		err := sm.Submit(within(t), jobOf("j"))
		must.Eq(t, classifier.JobRefused, classifier.CodeOf(err))
		_, err = kr.Zone("b").Get(t.Context(), archiver.JobKey("q", "j"))
		must.Eq(t, classifier.PlatformNotFound, classifier.CodeOf(err), must.Sprint("a refused job never runs"))
	})
}

func TestRefusalByTheStoreIsTrue(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.NoError(t, kr.SetFaults(keeper.Out{Scope: keeper.Scope{Share: 1}}))
		err := sm.Submit(within(t), jobOf("j"))
		must.Eq(t, classifier.JobRefused, classifier.CodeOf(err))
		must.NoError(t, kr.SetFaults())
		_, err = sm.State(within(t), "q", "j")
		must.Eq(t, classifier.JobUnknown, classifier.CodeOf(err))
	})
}

func TestCancellationIsStoredForLiveJobsOnly(t *testing.T) {
	run(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
		must.Eq(t, classifier.JobUnknown, classifier.CodeOf(sm.Cancel(within(t), "q", "j")))
		must.NoError(t, sm.Submit(within(t), jobOf("j")))
		must.NoError(t, sm.Cancel(within(t), "q", "j"))
		state, err := sm.State(within(t), "q", "j")
		must.NoError(t, err)
		must.Eq(t, modeller.JobCancelled, state)
		_, err = kr.Zone("b").Get(t.Context(), archiver.CancelKey("q", "j"))
		must.NoError(t, err)
	})
}
