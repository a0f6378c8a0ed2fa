package provider

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestKeptConnectionsLeadToTheNextWorker(t *testing.T) {
	rg := newRig(t)
	rg.mustStart("a", taskText(0, 0), 1, withLongWork)
	rg.provider.CrashAndKeepID("a", callTimeout/4, WithConnections(ConnectionsKept))
	an := rg.start("a", taskText(0, 1), 1, withLongWork)
	must.Eq(t, http.StatusOK, an.status, must.Sprint("the next worker carries the order out"))
	must.SliceLen(t, 1, rg.poll("a", 0).Running)
}

func TestSilentConnectionsStayWithoutAnAnswer(t *testing.T) {
	rg := newRig(t)
	server := httptest.NewUnstartedServer(rg.handlers["a"])
	server.Config.ConnState = rg.provider.WorkerConnState("a")
	server.Config.ConnContext = rg.provider.WorkerConnContext("a")
	server.Start()
	t.Cleanup(server.Close)
	poll := func(client *http.Client) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/hold", strings.NewReader(`{}`))
		must.NoError(t, err)
		rs, err := client.Do(rq)
		if err != nil {
			return err
		}
		return rs.Body.Close()
	}
	before := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	must.NoError(t, poll(before))
	rg.provider.CrashAndKeepID("a", 20*callTimeout, WithConnections(ConnectionsSilent))
	must.ErrorIs(t, poll(before), context.DeadlineExceeded)
	must.NoError(t, poll(&http.Client{Transport: &http.Transport{}}), must.Sprint("a new connection leads to the next worker"))
}

func TestNextWorkerHasTheClocksThatWereSet(t *testing.T) {
	rg := newRig(t)
	before := rg.poll("a", 0)
	rg.provider.CrashAndKeepID("a", 0, WithSameStartTime(), WithNewClock(time.Hour), WithLateEntry(time.Hour))
	rg.awaitWorker("a", 2)
	after := rg.poll("a", 0)
	must.Eq(t, before.Born, after.Born)
	must.Between(t, time.Hour.Milliseconds(), after.ClockMS, (time.Hour + patience).Milliseconds())
}
