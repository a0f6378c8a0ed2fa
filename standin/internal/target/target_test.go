package target_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/standin/internal/sampler"
	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

var instant = target.RunnerFunc(func(ctx context.Context, _ target.Work) error { return ctx.Err() })

// gate is a Runner that signals the start of each request and blocks the request
// until it is released.
type gate struct {
	started chan string
	release chan struct{}
}

func newGate() *gate {
	return &gate{
		started: make(chan string, 100),
		release: make(chan struct{}),
	}
}

func (ge *gate) Run(ctx context.Context, work target.Work) error {
	ge.started <- work.Identifier
	select {
	case <-ge.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func start(t *testing.T, opts ...target.Option) *target.Target {
	t.Helper()
	tt := target.New(opts...)
	must.NoError(t, tt.Start())
	t.Cleanup(tt.Close)
	return tt
}

// client returns an HTTP client with its own connections.
func client(t *testing.T, h2c bool) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!h2c)
	protocols.SetUnencryptedHTTP2(h2c)
	transport := &http.Transport{
		Protocols: protocols,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport: transport,
	}
}

type reply struct {
	status  int
	attempt string
	body    []byte
	err     error
}

func call(ct *http.Client, tt *target.Target, identifier string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+tt.Address().String()+"/claims/file",
		bytes.NewReader(sealer.Seal(identifier, 64)))
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil
	req.Header.Set(sealer.Header, identifier)
	req.Header.Set(target.KeyHeader, "key-"+identifier)
	req.Header.Set(target.AttemptHeader, "attempt-"+identifier)
	rsp, err := ct.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	return reply{
		status:  rsp.StatusCode,
		attempt: rsp.Header.Get(target.AttemptHeader),
		body:    body,
		err:     err,
	}
}

func TestAnswerIdentifiesTheRequest(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		tt := start(t, target.WithRunner(instant))
		rp := call(client(t, h2c), tt, "one")
		must.NoError(t, rp.err)
		must.Eq(t, http.StatusOK, rp.status)
		must.Eq(t, "attempt-one", rp.attempt)
		identifier, err := sealer.Open(rp.body)
		must.NoError(t, err)
		must.Eq(t, "one", identifier)

		rt := tt.Report()
		must.Len(t, 1, rt.Executions)
		en := rt.Executions[0]
		must.Eq(t, "key-one", en.Key)
		must.True(t, en.Finished)
		must.True(t, en.BodyWhole)
		must.False(t, en.End.Before(en.Begin))
	}
}

func TestOvercommitIsCounted(t *testing.T) {
	ge := newGate()
	tt := start(t, target.WithRunner(ge), target.WithSlots(2))
	replies := make(chan reply, 3)
	for _, identifier := range []string{"a", "b", "c"} {
		go func() { replies <- call(client(t, false), tt, identifier) }()
	}
	for range 3 {
		<-ge.started
	}
	close(ge.release)
	for range 3 {
		must.NoError(t, (<-replies).err)
	}
	rt := tt.Report()
	must.Eq(t, 3, rt.GreatestInFlight)
	must.Positive(t, rt.Overcommit)
}

func TestConnectionsAboveTheBoundAreRefused(t *testing.T) {
	tt := start(t, target.WithRunner(instant), target.WithConnections(1))
	first, err := net.Dial("tcp", tt.Address().String())
	must.NoError(t, err)
	defer func() { _ = first.Close() }()
	_, err = first.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	must.NoError(t, err)
	rsp, err := http.ReadResponse(bufio.NewReader(first), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, rsp.StatusCode)

	must.Error(t, call(client(t, false), tt, "two").err)
	rt := tt.Report()
	must.Eq(t, 1, rt.RefusedConnections)
	must.Eq(t, 1, rt.GreatestConnections)
	must.Len(t, 1, rt.Executions)
}

func TestCrashCancelsExecutionsAndNoneReopens(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		ge := newGate()
		tt := start(t, target.WithRunner(ge))
		replies := make(chan reply, 1)
		go func() { replies <- call(client(t, h2c), tt, "one") }()
		<-ge.started
		must.NoError(t, tt.SetFault(target.Crash{}, 0))
		must.Error(t, (<-replies).err)
		must.ErrorContains(t, call(client(t, h2c), tt, "two").err, "refused")

		must.NoError(t, tt.SetFault(target.None{}, 0))
		close(ge.release)
		must.NoError(t, call(client(t, h2c), tt, "three").err)
		rt := tt.Report()
		must.Len(t, 2, rt.Executions)
		must.False(t, rt.Executions[0].Finished)
		must.True(t, rt.Executions[1].Finished)
	}
}

func TestRebootOpensTheTargetAgain(t *testing.T) {
	tt := start(t, target.WithRunner(instant), target.WithRebootTime(time.Millisecond))
	must.NoError(t, tt.SetFault(target.FailFast{}, 0))
	must.NoError(t, tt.Reboot())
	must.Eq(t, http.StatusOK, call(client(t, false), tt, "one").status)
	tt.Close()
	must.Error(t, tt.SetFault(target.None{}, 0))
}

func TestDrainingRefusesUnreadAndFinishesRequestsInFlight(t *testing.T) {
	ge := newGate()
	tt := start(t, target.WithRunner(ge))
	replies := make(chan reply, 1)
	go func() { replies <- call(client(t, false), tt, "one") }()
	<-ge.started
	must.NoError(t, tt.SetFault(target.Draining{}, 0))
	must.Eq(t, http.StatusServiceUnavailable, call(client(t, false), tt, "two").status)
	close(ge.release)
	rp := <-replies
	must.NoError(t, rp.err)
	must.Eq(t, http.StatusOK, rp.status)
	rt := tt.Report()
	must.Eq(t, 1, rt.RefusedUnread)
	must.Len(t, 1, rt.Executions)
}

func TestSamplingDependsOnTheIdentifierAlone(t *testing.T) {
	runner := target.NewSampling(3, sampler.Fixed{Value: 0}, sampler.Fixed{Value: time.Hour})
	must.NoError(t, runner.Run(t.Context(), target.Work{Identifier: "a"}))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, runner.Run(ended, target.Work{Identifier: "a", Long: true}), context.Canceled)
}
