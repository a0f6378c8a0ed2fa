package provisioner

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
)

// TestOrdersOfAnUnconfirmedHolderAreNotSent guards against queued orders that change
// VMs under the next holder, within the time for which a holder goes on without the
// store.
func TestOrdersOfAnUnconfirmedHolderAreNotSent(t *testing.T) {
	var changes atomic.Int64
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodPost {
			changes.Add(1)
		}
		_, _ = rw.Write([]byte(`{"machines":[]}`))
	}))
	t.Cleanup(sr.Close)
	var isConfirmed atomic.Bool
	events := make(chan allocator.Event, 1)
	pr := New(Settings{
		VMs:    adapter.NewVMs(netip.MustParseAddrPort(sr.Listener.Addr().String()), adapter.NewDialer()),
		Holder: adapter.Holder{Name: "n", FencingToken: 1, IsConfirmed: isConfirmed.Load},
		IsHeld: func() bool { return true },
		Emit:   func(ev allocator.Event) { events <- ev },
		Logger: zap.NewNop(),
	})
	pr.Start(t.Context())
	for _, od := range []allocator.VMOrder{{VM: "m", Pool: "p"}, {VM: "m", Wave: 1}} {
		pr.Dispatch([]allocator.Order{od})
		must.Eq(t, allocator.Event(allocator.VMOrderResult{Order: od, Outcome: allocator.NotSent}), <-events)
	}
	must.Eq(t, 0, changes.Load())
	pr.Dispatch([]allocator.Order{allocator.ListVMsOrder{}})
	listed, ok := (<-events).(allocator.VMsListed)
	must.True(t, ok)
	must.NotNil(t, listed.VMs, must.Sprint("a list changes nothing"))
	isConfirmed.Store(true)
	pr.Dispatch([]allocator.Order{allocator.VMOrder{VM: "m", Pool: "p"}})
	must.Eq(t, allocator.Accepted, (<-events).(allocator.VMOrderResult).Outcome)
}
