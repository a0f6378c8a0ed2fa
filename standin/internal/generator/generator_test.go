package generator_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

var instant = target.RunnerFunc(func(ctx context.Context, _ target.Work) error { return ctx.Err() })

func start(t *testing.T) *target.Target {
	t.Helper()
	tt := target.New(target.WithRunner(instant))
	must.NoError(t, tt.Start())
	t.Cleanup(tt.Close)
	return tt
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	return netip.MustParseAddrPort(ln.Addr().String())
}

// run sends about a hundred requests straight to the addresses, as if they were entries.
func run(t *testing.T, keyedShare float64, h2c bool, addresses ...netip.AddrPort) *ledger.Ledger {
	t.Helper()
	cg := configOf(1)
	cg.Turn = 0
	cg.Length = 100 * time.Millisecond
	cg.Services[0].Rate = 1000
	cg.Services[0].KeyedShare = keyedShare
	cg.Services[0].Timeout = 30 * time.Second
	cg.RepeatDelay = time.Millisecond
	cg.H2C = h2c
	for _, address := range addresses {
		cg.Zones[0].Entries = append(cg.Zones[0].Entries, generator.Entry{Address: address})
	}
	lr := ledger.New()
	gr := generator.New(cg, lr)
	gr.Run(t.Context())
	must.Zero(t, gr.NotSent())
	return lr
}

func TestSoundTargetsGiveASoundVerdict(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		first, second := start(t), start(t)
		lr := run(t, 0.5, h2c, first.Address(), second.Address(), refusedAddress(t))
		reports, err := ledger.Collect(t.Context(), []netip.AddrPort{first.AdminAddress(), second.AdminAddress()})
		must.NoError(t, err)
		verdict := lr.Judge(reports)
		must.SliceEmpty(t, verdict.Violations)
		must.Eq(t, verdict.Requests, verdict.Answered)
		must.Eq(t, verdict.Requests, verdict.Executions)
		must.Positive(t, verdict.Requests)
		must.Positive(t, verdict.UnsentAttempts)
		summary := generator.Summarise(lr.Requests(), reports)
		must.Len(t, 2, summary)
		must.False(t, summary[0].Long)
		must.Eq(t, verdict.Answered, summary[0].Answered+summary[1].Answered)
	}
}

func TestCrossedAnswersAreSeen(t *testing.T) {
	tt := start(t)
	must.NoError(t, tt.SetFault(target.Crossed{Wait: time.Second}, 2))
	lr := run(t, 0, false, tt.Address())
	must.Eq(t, 2, lr.Judge([]target.Report{tt.Report()}).Count(ledger.Crossed))
}

func TestRepeatsOfAKeyWithoutAJournalAreSeenAsDoubled(t *testing.T) {
	tt := start(t)
	must.NoError(t, tt.SetFault(target.CutShort{}, 3))
	lr := run(t, 1, false, tt.Address())
	verdict := lr.Judge([]target.Report{tt.Report()})
	must.Eq(t, 3, verdict.BrokenAttempts)
	must.Eq(t, 3, verdict.ExtraExecutions)
	must.Positive(t, verdict.Count(ledger.Doubled))
	must.Eq(t, len(verdict.Violations), verdict.Count(ledger.Doubled))
	must.Eq(t, verdict.Requests, verdict.Answered)
}

func TestARefusalIsRepeatedOnlyWhileTheEntryStops(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		code := "204"
		if calls.Add(1) > 1 {
			code = "201"
		}
		rw.Header().Set("Content-Type", "application/problem+json")
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rw.Write([]byte(`{"status":503,"code":` + code + `,"outcome":"notRun","requestId":"` +
			req.Header.Get(sealer.Header) + `"}`))
	}))
	defer server.Close()
	lr := run(t, 0, false, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	verdict := lr.Judge(nil)
	must.SliceEmpty(t, verdict.Violations)
	must.Eq(t, verdict.Requests+1, verdict.Attempts)
	must.Eq(t, verdict.Requests, verdict.Refused[classifier.QueueFull])
}

func TestAnswersThatAreNoProblemDocumentsAreUnsound(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	lr := run(t, 0, false, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	verdict := lr.Judge(nil)
	must.Eq(t, verdict.Requests, verdict.Count(ledger.Unsound))
}
