package allocator

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// TestStatusNamesTheQueueOfTheJob guards against states that are shown to the callers of
// other queues, since the queue of a job isn't known once it has ended.
func TestStatusNamesTheQueueOfTheJob(t *testing.T) {
	expected := modeller.JobStatus{State: modeller.JobQueued, Queue: "q", Host: "h", Prefix: "/q/"}
	fx := newFixture(t)
	recorded := oneTaskJobRecorded("j")
	recorded.Record.Job.Origin = modeller.Queue{Name: "q", Host: "h", Prefix: "/q/"}
	fx.apply(RecordsLoaded{})
	fx.apply(recorded)
	status, _ := fx.al.Status("j")
	must.Eq(t, expected, status)
	fx.apply(CancelRecorded{Job: "j"})
	expected.State = modeller.JobCancelled
	fx.storeBatch()
	must.MapContainsKey(t, fx.al.retained, "j")
	recorded.Record.FinalState = modeller.JobCancelled
	for _, holder := range []*fixture{fx, fx.takeOver(configurationWith(1, "p"), recorded)} {
		status, _ = holder.al.Status("j")
		must.Eq(t, expected, status)
	}
}
