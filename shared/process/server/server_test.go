package server_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/server"
)

func TestInterruptCancelsWaitingRequests(t *testing.T) {
	must.Eq(t, "ended", interruptWaitingRequest(t))
}

// Guards against connections that are closed before waiting requests are answered.
func TestDrainLeavesNoRequestWithoutAnswer(t *testing.T) {
	closeBy := func() time.Time { return time.Now().Add(time.Second) }
	must.Eq(t, "ended", interruptWaitingRequest(t, server.WithDrainFirst(), server.WithGrace(time.Second)))
	must.Eq(t, "ended", interruptWaitingRequest(t, server.WithDrainFirst(), server.WithGrace(0), server.WithDeadline(closeBy)))
}

// interruptWaitingRequest interrupts a server with a request that waits until its
// context is done, and returns the body of the answer.
func interruptWaitingRequest(t *testing.T, opts ...server.Option) string {
	t.Helper()
	arrived := make(chan struct{})
	handler := http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		close(arrived)
		<-rq.Context().Done()
		_, _ = io.WriteString(rw, "ended")
	})
	sr, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), handler, opts...)
	must.NoError(t, err)
	executed := make(chan error)
	go func() { executed <- sr.Execute() }()
	bodies := make(chan string)
	go func() {
		rs, gerr := http.Get("http://" + sr.Address().String())
		if gerr != nil {
			bodies <- gerr.Error()
			return
		}
		defer rs.Body.Close()
		body, _ := io.ReadAll(rs.Body)
		bodies <- string(body)
	}()
	<-arrived
	sr.Interrupt(nil)
	must.NoError(t, <-executed)
	return <-bodies
}

func TestAddressInUse(t *testing.T) {
	first, err := server.New(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler())
	must.NoError(t, err)
	defer first.Interrupt(nil)
	_, err = server.New(first.Address(), http.NotFoundHandler())
	must.Eq(t, classifier.ListenFailed, classifier.CodeOf(err))
}
