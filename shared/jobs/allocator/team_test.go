package allocator

import (
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Guards against jobs that lose their team at their end or at a takeover, and are then
// shown to the callers of all teams.
func TestStatusKeepsTheTeam(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a")
	recorded := oneTaskJobRecorded("j")
	recorded.Record.Job.Team = "t"
	fx.apply(recorded)
	want := modeller.JobStatus{State: modeller.JobQueued, Queue: recorded.Record.Job.Queue, Team: "t"}
	status, ok := fx.al.Status("j")
	must.True(t, ok)
	must.Eq(t, want, status)

	fx.apply(CancelRecorded{Job: "j"})
	bt := fx.al.Batch(fx.now)
	must.Len(t, 1, bt.Ended)
	must.Eq(t, "t", bt.Ended[0].Team)
	fx.apply(BatchStored{Batch: bt})
	want.State = modeller.JobCancelled
	status, _ = fx.al.Status("j")
	must.Eq(t, want, status)

	recorded.Record.FinalState = modeller.JobCancelled
	status, _ = fx.takeOver(configurationWith(1, "p"), recorded).al.Status("j")
	must.Eq(t, want, status)
	_, ok = fx.al.Status("unknown")
	must.False(t, ok)
}
