package dispatcher_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/coltsfootwick-entry/internal/budgeter"
	"coltsfootwick.example/coltsfootwick-entry/internal/dispatcher"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/requests/scheduler"
	"coltsfootwick.example/shared/settings/configurer"
)

func newScheduler(config scheduler.Config) scheduler.Scheduler { return scheduler.New(config) }

func testService() configurer.Service {
	return configurer.Service{
		Name:             "claims",
		LongFrom:         5,
		MaxQueued:        10,
		MaxQueuedBytes:   1 << 20,
		MaxQueueDelay:    time.Second,
		TargetQueueDelay: time.Second,
		RetryShare:       1,
	}
}

// withDispatcher runs a test in virtual time on a dispatcher with two targets of
// one slot each.
func withDispatcher(t *testing.T, test func(ctx context.Context, dr *dispatcher.Dispatcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		share := budgeter.New(1 << 20).Divide([]string{"claims"})["claims"]
		dr := dispatcher.New(testService(), share, newScheduler)
		go func() { _ = dr.Run(ctx) }()
		var targets []dispatcher.Target
		for _, vm := range []string{"a-01", "a-02"} {
			targets = append(targets, dispatcher.Target{
				Scheduled:   scheduler.Target{VM: vm, Slots: 1},
				Address:     netip.MustParseAddrPort("127.0.0.1:1"),
				Connections: 8,
			})
		}
		dr.Assign(targets)
		test(ctx, dr)
		cancel()
		synctest.Wait()
	})
}

func submit(ctx context.Context, t *testing.T, dr *dispatcher.Dispatcher) *dispatcher.Ticket {
	t.Helper()
	tt, ok := dr.Submit(ctx, scheduler.Request{
		Deadline:   time.Now().Add(time.Minute),
		Repeatable: true,
	}, false)
	must.True(t, ok)
	return tt
}

// TestHedgingEnabledAfterSubmission enables hedging while a request that was
// submitted without it has a slow attempt. All its slots must be released.
func TestHedgingEnabledAfterSubmission(t *testing.T) {
	withDispatcher(t, func(ctx context.Context, dr *dispatcher.Dispatcher) {
		first := submit(ctx, t, dr)
		second := submit(ctx, t, dr)
		started := (<-first.Events()).(dispatcher.Started)
		other := (<-second.Events()).(dispatcher.Started)
		third := submit(ctx, t, dr)
		hedging := testService()
		hedging.HedgeAfter = 10 * time.Millisecond
		dr.Configure(hedging)
		dr.Finish(started.Attempt, scheduler.Succeeded, time.Millisecond)
		slow := (<-third.Events()).(dispatcher.Started)
		dr.Finish(other.Attempt, scheduler.Succeeded, time.Millisecond)
		time.Sleep(time.Second)
		dr.Finish(slow.Attempt, scheduler.Succeeded, time.Second)
		must.Eq(t, dispatcher.Event(dispatcher.Closed{}), <-third.Events())
		synctest.Wait()
		must.EqOp(t, 0, dr.Stats().Running)
	})
}

// TestPendingRequestsEndWithTheDispatcher retires a dispatcher, which must finish
// its requests first, and stops another, which must refuse its queued request.
func TestPendingRequestsEndWithTheDispatcher(t *testing.T) {
	withDispatcher(t, func(ctx context.Context, dr *dispatcher.Dispatcher) {
		first := submit(ctx, t, dr)
		second := submit(ctx, t, dr)
		third := submit(ctx, t, dr)
		started := (<-first.Events()).(dispatcher.Started)
		other := (<-second.Events()).(dispatcher.Started)
		dr.Retire()
		dr.Finish(started.Attempt, scheduler.Succeeded, time.Millisecond)
		last := (<-third.Events()).(dispatcher.Started)
		dr.Finish(other.Attempt, scheduler.Failed, time.Millisecond)
		dr.Cancel(second)
		dr.Finish(last.Attempt, scheduler.Succeeded, time.Millisecond)
		<-dr.Done()
	})
	withDispatcher(t, func(ctx context.Context, dr *dispatcher.Dispatcher) {
		ctx, cancel := context.WithCancel(ctx)
		share := budgeter.New(1 << 20).Divide([]string{"claims"})["claims"]
		dr = dispatcher.New(testService(), share, newScheduler)
		go func() { _ = dr.Run(ctx) }()
		tt := submit(ctx, t, dr)
		synctest.Wait()
		cancel()
		<-dr.Done()
		must.EqOp(t, classifier.EntryStopping, (<-tt.Events()).(dispatcher.Refused).Code)
	})
}
