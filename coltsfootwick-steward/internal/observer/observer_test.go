package observer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-steward/internal/observer"
	"coltsfootwick.example/shared/fleet/recorder"
	"coltsfootwick.example/shared/fleet/surveyor"
)

// entries is an EntrySource with fixed entries.
type entries map[string]netip.AddrPort

func (es entries) Entries(context.Context) (map[string]netip.AddrPort, bool) { return es, es != nil }

func serve(t *testing.T, ld surveyor.Load) netip.AddrPort {
	t.Helper()
	data, err := surveyor.Encode(ld)
	must.NoError(t, err)
	sr := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	t.Cleanup(sr.Close)
	return netip.MustParseAddrPort(sr.Listener.Addr().String())
}

func load(leaving bool, inFlight int, urgent float64) surveyor.Load {
	return surveyor.Load{
		Targets: []surveyor.TargetLoad{{VM: "a-01", Leaving: leaving, InFlight: inFlight}},
		Pools:   []surveyor.PoolLoad{{Pool: "claims", UrgentSlots: urgent}},
	}
}

func TestIdle(t *testing.T) {
	drained := serve(t, load(true, 0, 1))
	busy := serve(t, load(true, 1, 2))
	inService := serve(t, load(false, 0, 0))
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	cases := []struct {
		name    string
		entries entries
		idle    bool
	}{
		{"all entries drained", entries{"e1": drained, "e2": drained}, true},
		{"an entry with a request in flight", entries{"e1": drained, "e2": busy}, false},
		{"an entry that still uses the VM", entries{"e1": drained, "e2": inService}, false},
		{"an entry that does not answer", entries{"e1": drained, "e2": unreachable}, false},
		{"entries unknown", nil, false},
		{"no entries", entries{}, true},
	}
	for _, ce := range cases {
		t.Run(ce.name, func(t *testing.T) {
			or := observer.New(ce.entries)
			must.EqOp(t, ce.idle, or.Idle(t.Context(), recorder.VM{Name: "a-01"}))
		})
	}
}

func TestVMIsNotIdleWhileVanishedEntryMayHaveRequests(t *testing.T) {
	live := entries{"e1": serve(t, load(true, 0, 0)), "e2": serve(t, load(true, 0, 0))}
	or := observer.New(live, observer.WithInFlightGrace(time.Hour))
	must.True(t, or.Idle(t.Context(), recorder.VM{Name: "a-01"}))
	delete(live, "e2")
	must.False(t, or.Idle(t.Context(), recorder.VM{Name: "a-01"}))
}

func TestUrgentDemandSumsEntriesThatAnswer(t *testing.T) {
	or := observer.New(entries{
		"e1": serve(t, load(true, 0, 1)),
		"e2": serve(t, load(true, 0, 2)),
		"e3": netip.MustParseAddrPort("127.0.0.1:1"),
	})
	demand, ok := or.UrgentDemand(t.Context())
	must.True(t, ok)
	must.Eq(t, map[string]float64{"claims": 3}, demand)
}
