package conductor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/timekeeper"
)

// newServingConductor returns a Conductor whose requests are run on al.
func newServingConductor(t *testing.T, al *allocator.Allocator) *Conductor {
	t.Helper()
	cd := New(Settings{})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case rq := <-cd.requests:
				rq.run(al)
				close(rq.done)
			case <-stop:
				return
			}
		}
	}()
	return cd
}

func TestPendingIsUnavailableWhenJobWatchIsStale(t *testing.T) {
	al := allocator.New(timekeeper.Now(), allocator.Bounds{})
	cd := newServingConductor(t, al)
	_, err := cd.Pending(t.Context(), modeller.Queue{Name: "q"})
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("the records are not loaded yet"))
	al.Apply(timekeeper.Now(), allocator.RecordsLoaded{})
	cd.jobsSyncedAt.Store(timekeeper.Now().Add(-maxJobListAge - time.Second).UnixNano())
	_, err = cd.Pending(t.Context(), modeller.Queue{Name: "q"})
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err), must.Sprint("the job list is older than maxJobListAge"))
	cd.jobsSyncedAt.Store(timekeeper.Now().Add(time.Hour).UnixNano())
	pending, err := cd.Pending(t.Context(), modeller.Queue{Name: "q"})
	must.NoError(t, err)
	must.Eq(t, 0, pending)
}

func TestStatusIsUnavailableWithoutDuty(t *testing.T) {
	_, err := New(Settings{}).Status(t.Context(), "j")
	must.Eq(t, classifier.JobUnavailable, classifier.CodeOf(err))
}
