package conductor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
)

// answering returns a Conductor whose questions are asked of an allocator.
func answering(t *testing.T, al *allocator.Allocator) *Conductor {
	t.Helper()
	cd := New(Settings{})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case qu := <-cd.questions:
				qu.ask(al)
				close(qu.done)
			case <-stop:
				return
			}
		}
	}()
	return cd
}

func TestFiguresOfAnOldWatchAreNotTold(t *testing.T) {
	al := allocator.New(timekeeper.Now(), allocator.Bounds{})
	cd := answering(t, al)
	_, err := cd.Pending(t.Context(), "q")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("the records aren't loaded"))
	al.Apply(timekeeper.Now(), allocator.Loaded{})
	cd.jobsSyncedAt.Store(timekeeper.Now().Add(-maxJobsAge - time.Second).UnixNano())
	_, err = cd.Pending(t.Context(), "q")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("the watch has not answered for long"))
	cd.jobsSyncedAt.Store(timekeeper.Now().Add(time.Hour).UnixNano())
	pending, err := cd.Pending(t.Context(), "q")
	must.NoError(t, err)
	must.Eq(t, 0, pending)
}

func TestQuestionsWithoutTheDutyAreRefused(t *testing.T) {
	_, err := New(Settings{}).State(t.Context(), "j")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err))
}
