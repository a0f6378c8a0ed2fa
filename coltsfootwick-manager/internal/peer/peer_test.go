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

// pendingScheduler is a Scheduler that only answers Pending and State.
type pendingScheduler struct {
	Scheduler
	asked  modeller.Queue
	status modeller.JobStatus
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

// State implements Scheduler.
func (ps *pendingScheduler) State(context.Context, modeller.JobID) (modeller.JobStatus, error) {
	return ps.status, nil
}

// Guards against a team that gets lost between the holder and the manager that asks,
// and against a response of an earlier version that can't be read.
func TestStateNamesTheQueueAndTheTeam(t *testing.T) {
	status := modeller.JobStatus{State: modeller.JobRunning, Queue: "q", Team: "t"}
	sr := httptest.NewServer(NewHandler(&pendingScheduler{status: status}, zap.NewNop()))
	t.Cleanup(sr.Close)
	earlier := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write([]byte(`{"state":"running"}`))
	}))
	t.Cleanup(earlier.Close)
	for url, want := range map[string]modeller.JobStatus{sr.URL: status, earlier.URL: {State: modeller.JobRunning}} {
		got, err := NewClient().State(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(url, "http://")), "j")
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
}
