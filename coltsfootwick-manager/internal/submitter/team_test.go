package submitter

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/store/keeper"
)

// publicQueue is queueQ as a public queue.
var publicQueue = modeller.Queue{Name: queueQ.Name, Host: queueQ.Host, Prefix: queueQ.Prefix, IsPublic: true}

// newJobOfTeam returns a job that a team submits to a queue.
func newJobOfTeam(queue modeller.Queue, team string) modeller.Job {
	jb := newJobOf(queue, "j")
	jb.Team = team
	return jb
}

// Guards against jobs that callers of another team see, cancel or take for their own,
// while they run and after their end.
func TestJobBelongsToItsTeam(t *testing.T) {
	for _, tc := range []struct {
		name         string
		owner, asker string
		queue        modeller.Queue
		isOpen       bool
	}{
		{"same team", "a", "a", queueQ, true},
		{"another team", "a", "b", queueQ, false},
		{"job without a team", "", "b", queueQ, true},
		{"public queue", "a", "b", publicQueue, true},
		{"public queue without a key", "a", "", publicQueue, true},
		{"keys not enabled", "a", "", queueQ, true},
		{"another team under another name of the queue", "a", "b", renamedQueue, false},
	} {
		for _, isEnded := range []bool{false, true} {
			runWithSubmitter(t, false, func(t *testing.T, sm *Submitter, kr *keeper.Keeper) {
				must.NoError(t, sm.Submit(callerContext(t), newJobOfTeam(queueQ, tc.owner)))
				if isEnded {
					endJob(t, kr, tc.owner)
				}
				_, stateErr := sm.State(callerContext(t), tc.queue, tc.asker, "j")
				submitErr := sm.Submit(callerContext(t), newJobOfTeam(tc.queue, tc.asker))
				cancelErr := sm.Cancel(callerContext(t), tc.queue, tc.asker, "j")
				state, err := sm.State(callerContext(t), queueQ, tc.owner, "j")
				must.NoError(t, err)
				if tc.isOpen {
					must.NoError(t, stateErr, must.Sprint(tc.name))
					must.NoError(t, submitErr, must.Sprint(tc.name))
					must.NoError(t, cancelErr, must.Sprint(tc.name))
					return
				}
				must.Eq(t, classifier.JobUnknown, classifier.CodeOf(stateErr), must.Sprint(tc.name))
				must.Eq(t, classifier.JobIDTaken, classifier.CodeOf(submitErr), must.Sprint(tc.name))
				must.Eq(t, classifier.JobUnknown, classifier.CodeOf(cancelErr), must.Sprint(tc.name))
				must.NotEq(t, modeller.JobCancelled, state)
			})
		}
	}
}

// endJob stores the end of the job j as the holder of the scheduler's duty does.
func endJob(t *testing.T, kr *keeper.Keeper, team string) {
	data, err := modeller.EncodeJob(modeller.JobRecord{
		Job:        modeller.Job{ID: "j", Queue: queueQ.Name, Origin: queueQ, Team: team},
		FinalState: modeller.JobCompleted,
	})
	must.NoError(t, err)
	store := kr.Zone("b")
	et, err := store.Get(t.Context(), archiver.JobKey("j"))
	must.NoError(t, err)
	_, err = store.Put(t.Context(), et.Key, data, et.Revision, 0)
	must.NoError(t, err)
}

// knowingScheduler is a fakeScheduler whose holder knows the job j of team a.
type knowingScheduler struct {
	fakeScheduler
	team string
}

func (knowingScheduler) Holder() (netip.AddrPort, bool) { return netip.AddrPort{}, true }

func (ks knowingScheduler) Status(context.Context, netip.AddrPort, modeller.JobID) (modeller.JobStatus, error) {
	return modeller.JobStatus{State: modeller.JobQueued, Queue: queueQ.Name, Team: ks.team}, nil
}

// Guards against states that the holder gives to another team's callers, against a
// holder of an earlier version whose states nobody gets, and against reads of the store
// for each query.
func TestHoldersAnswerIsCheckedWithoutTheStore(t *testing.T) {
	kr := keeper.New()
	for _, tc := range []struct {
		team, asker string
		code        classifier.Code
	}{
		{"a", "a", classifier.OK},
		{"a", "b", classifier.JobUnknown},
		{"", "b", classifier.OK},
	} {
		ks := knowingScheduler{team: tc.team}
		sm := New(kr.Zone("a"), ks, ks, ks, ks, zap.NewNop())
		_, err := sm.State(t.Context(), queueQ, tc.asker, "j")
		must.Eq(t, tc.code, classifier.CodeOf(err))
	}
	must.MapEmpty(t, kr.Counts().Zones)
}
