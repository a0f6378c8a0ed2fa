package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/shared/jobs/modeller"
)

// pendingScheduler is a Scheduler that only answers Pending and Status.
type pendingScheduler struct {
	Scheduler
	asked  modeller.Queue
	status modeller.JobStatus
}

func (ps *pendingScheduler) Status(context.Context, modeller.JobID) (modeller.JobStatus, error) {
	return ps.status, nil
}

func (ps *pendingScheduler) Pending(_ context.Context, queue modeller.Queue) (int, error) {
	ps.asked = queue
	return 7, nil
}

func (ps *pendingScheduler) ServeKeeper(http.ResponseWriter, *http.Request) {}

func TestPendingNamesTheQueueAndItsAddress(t *testing.T) {
	ps := &pendingScheduler{}
	sr := httptest.NewServer(NewHandler(ps, zap.NewNop()))
	t.Cleanup(sr.Close)
	queue := modeller.Queue{Name: "r/1", Host: "jobs.example", Prefix: "/a b/?"}
	pending, err := NewClient().Pending(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(sr.URL, "http://")), queue)
	must.NoError(t, err)
	must.Eq(t, 7, pending)
	must.Eq(t, queue, ps.asked)
}

// TestStatusNamesTheQueueAndTheTeam guards against states that are shown to the callers
// of other queues or teams, and against a response of an earlier version that can't be read.
func TestStatusNamesTheQueueAndTheTeam(t *testing.T) {
	for _, status := range []modeller.JobStatus{
		{State: modeller.JobRunning, Queue: "q", Host: "jobs.example", Prefix: "/q/", Team: "t"},
		{State: modeller.JobRunning},
	} {
		sr := httptest.NewServer(NewHandler(&pendingScheduler{status: status}, zap.NewNop()))
		t.Cleanup(sr.Close)
		received, err := NewClient().Status(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(sr.URL, "http://")), "j")
		must.NoError(t, err)
		must.Eq(t, status, received)
	}
}
