package submitter

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

// answeringScheduler is a fakeScheduler whose holder is known and has a job.
type answeringScheduler struct {
	fakeScheduler
	status modeller.JobStatus
}

func (answeringScheduler) Holder() (netip.AddrPort, bool) { return netip.AddrPort{}, true }

func (as answeringScheduler) Status(context.Context, netip.AddrPort, modeller.JobID) (modeller.JobStatus, error) {
	return as.status, nil
}

// TestStateOfAnotherQueuesJobIsUnknown guards against callers of a queue who see the jobs
// of another one, by the holder's answer or by the store.
func TestStateOfAnotherQueuesJobIsUnknown(t *testing.T) {
	for _, status := range []modeller.JobStatus{
		{State: modeller.JobRunning, Queue: queueQ.Name},
		{State: modeller.JobRunning, Queue: queueQ.Name, Host: queueQ.Host, Prefix: queueQ.Prefix},
		{State: modeller.JobCompleted, Queue: otherQueue.Name, Host: queueQ.Host, Prefix: queueQ.Prefix},
		{State: modeller.JobQueued, Queue: "removed", Host: "h", Prefix: "/removed/"},
		{State: modeller.JobRunning},
	} {
		as := answeringScheduler{status: status}
		kr := keeper.New()
		must.NoError(t, kr.SetFaults(keeper.Outage{Scope: keeper.Scope{Share: 1}}))
		sm := New(kr.Zone("a"), as, as, as, as, zap.NewNop())
		state, err := sm.State(t.Context(), queueQ, "", "j")
		must.NoError(t, err, must.Sprint("no read of the store is needed"))
		must.Eq(t, status.State, state)
		_, err = sm.State(t.Context(), modeller.Queue{Name: "third", Host: "h", Prefix: "/third/"}, "", "j")
		isConfigured := as.HasQueue(status.Queue)
		must.Eq(t, isConfigured, classifier.CodeOf(err) == classifier.JobUnknown, must.Sprintf("%+v", status))
	}
	runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, _ *keeper.Keeper) {
		must.NoError(t, sm.Submit(callerContext(t), newJob("j")))
		_, err := sm.State(callerContext(t), otherQueue, "", "j")
		must.Eq(t, classifier.JobUnknown, classifier.CodeOf(err))
	})
}
