package provider

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/store/keeper"
)

// awaitWorker waits until an incarnation of a VM's worker runs.
func (rg *rig) awaitWorker(vm string, incarnation int) {
	rg.t.Helper()
	must.Wait(rg.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		rg.provider.mu.Lock()
		defer rg.provider.mu.Unlock()
		machine := rg.provider.vms[vm]
		return machine.incarnation == incarnation && machine.worker != nil
	}), wait.Timeout(patience), wait.Gap(time.Millisecond)))
}

// runs returns the number of runs that a worker reports.
func (rg *rig) runs(vm string) int { return len(rg.poll(vm, 0).Running) }

// entry returns a field of a worker's directory entry, or nil without an entry.
func (rg *rig) entry(id, field string) any {
	rg.t.Helper()
	et, err := rg.provider.Keeper().Zone("z").Get(rg.t.Context(), "servers/"+id)
	if err != nil {
		return nil
	}
	var entry map[string]any
	must.NoError(rg.t, json.Unmarshal(et.Value, &entry))
	return entry[field]
}

// awaitEntry waits until a field of a worker's directory entry has a value; nil means
// that there is no entry.
func (rg *rig) awaitEntry(id, field string, value any) {
	rg.t.Helper()
	must.Wait(rg.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return rg.entry(id, field) == value }), wait.Timeout(patience), wait.Gap(time.Millisecond)), must.Sprintf("%s of %s is %v", field, id, rg.entry(id, field)))
}

func withLongWork(od *order) { od.Spec = payloadOf(longWork) }

func TestALostAnswerHasAnEffect(t *testing.T) {
	rg := newRig(t)
	rg.provider.SetWorkerFaults("a", LostAnswers{Share: 1})
	must.Zero(t, rg.start("a", taskText(0, 0), 1, withLongWork).status)
	rg.provider.SetWorkerFaults("a")
	must.Eq(t, 1, rg.runs("a"))
	must.Eq(t, 1, rg.provider.Counts().LostAnswers)
}

func TestARefusedOrderHasNone(t *testing.T) {
	rg := newRig(t)
	rg.provider.SetWorkerFaults("a", RefusedOrders{Share: 1, Status: http.StatusServiceUnavailable})
	must.Eq(t, http.StatusServiceUnavailable, rg.start("a", taskText(0, 0), 1, withLongWork).status)
	rg.provider.SetWorkerFaults("a")
	must.Zero(t, rg.runs("a"))
}

func TestALateOrderIsCarriedOutAfterNewerOnes(t *testing.T) {
	rg := newRig(t)
	const delay = 20 * callTimeout
	rg.provider.SetWorkerFaults("a", LateOrders{Share: 1, Delay: delay, Jitter: delay})
	must.Zero(t, rg.start("a", taskText(0, 0), 1, withLongWork).status)
	rg.provider.SetWorkerFaults("a")
	must.Zero(t, rg.runs("a"))
	rg.mustStart("a", taskText(0, 1), 1, withLongWork)
	must.Eq(t, 1, rg.runs("a"))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return rg.runs("a") == 2 }), wait.Timeout(patience), wait.Gap(5*time.Millisecond)))
	must.Eq(t, 1, rg.provider.Counts().LateOrders)
}

func TestALateOrderIsLostWithItsWorker(t *testing.T) {
	rg := newRig(t)
	const delay = 20 * callTimeout
	rg.provider.SetWorkerFaults("a", LateOrders{Share: 1, Delay: delay})
	must.Zero(t, rg.start("a", taskText(0, 0), 1, withLongWork).status)
	rg.provider.SetWorkerFaults("a")
	rg.provider.CrashAndKeepID("a", 0)
	rg.awaitWorker("a", 2)
	time.Sleep(delay + 4*callTimeout)
	must.Zero(t, rg.runs("a"))
	must.Zero(t, rg.provider.Counts().Starts)
}

func TestRunsHangOrAreSlow(t *testing.T) {
	rg := newRig(t)
	rg.provider.SetWorkerFaults("a", HangingRuns{Share: 1})
	rg.provider.SetWorkerFaults("b", SlowRuns{Factor: 1000})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 1), 1)
	rg.mustStart("c", taskText(0, 2), 1)
	rg.awaitEnd("c", taskText(0, 2), 1)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 1, rg.runs("a"))
	must.Eq(t, 1, rg.runs("b"))
}

func TestAWorkerCrashesAndKeepsItsID(t *testing.T) {
	rg := newRig(t)
	rg.mustStart("a", taskText(0, 0), 1, withLongWork)
	before := rg.poll("a", 0)
	rg.provider.CrashAndKeepID("a", 500*time.Millisecond)
	must.Zero(t, rg.poll("a", 0).status)
	rg.awaitEntry("i-a-1", "born", float64(before.Born))
	rg.awaitWorker("a", 2)
	after := rg.poll("a", 0)
	must.SliceEmpty(t, after.Running)
	must.Greater(t, before.Born, after.Born)
	rg.awaitEntry("i-a-1", "born", float64(after.Born))
	must.Less(t, patience.Milliseconds(), after.ClockMS)
}

func TestTheEntryOfACrashedWorkerRemainsForATime(t *testing.T) {
	rg := newRig(t, WithEntryExpiry(time.Second))
	rg.provider.Crash("a", 0)
	rg.awaitWorker("a", 2)
	rg.awaitEntry("i-a-2", "state", "ready")
	must.Eq(t, any("ready"), rg.entry("i-a-1", "state"))
	rg.awaitEntry("i-a-1", "state", nil)
	must.Eq(t, any("ready"), rg.entry("i-a-2", "state"))
}

func TestADrainingWorkerLeaves(t *testing.T) {
	rg := newRig(t)
	rg.mustStart("a", taskText(0, 0), 1, withLongWork)
	rg.provider.Drain("a", time.Second, 10*time.Millisecond)
	rg.awaitEntry("i-a-1", "state", "draining")
	must.Between(t, 1, rg.entry("i-a-1", "remaining_ms").(float64), 1000)
	must.Eq(t, 1, rg.runs("a"))
	rg.awaitWorker("a", 2)
	rg.awaitEntry("i-a-1", "state", nil)
	rg.awaitEntry("i-a-2", "state", "ready")
	must.Zero(t, rg.runs("a"))
	rg.rules()
}

// TestACrashEndsADrain guards against a worker that the end of a drain stops in place
// of the one that drained.
func TestACrashEndsADrain(t *testing.T) {
	rg := newRig(t)
	rg.provider.Drain("a", 50*time.Millisecond, time.Hour)
	rg.provider.Crash("a", 0)
	rg.awaitWorker("a", 2)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, http.StatusOK, rg.poll("a", 0).status)
	rg.awaitEntry("i-a-2", "state", "ready")
}

func TestTheClockOfAWorkerIsOff(t *testing.T) {
	rg := newRig(t)
	rg.addVM("d", poolName, WithClock(Clock{
		Offset:     time.Hour,
		Drift:      0.02,
		WallOffset: -5 * time.Second,
	}))
	report := rg.poll("d", 0)
	must.GreaterEq(t, time.Hour.Milliseconds(), report.ClockMS)
	must.Less(t, time.Now().Add(-4*time.Second).UnixMilli(), report.Born)
	rg.awaitEntry("i-d-1", "born", float64(report.Born))
}

func TestWorkersWriteTheirEntriesAgain(t *testing.T) {
	rg := newRig(t, WithHeartbeat(10*time.Millisecond))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		sequence, ok := rg.entry("i-a-1", "seq").(float64)
		return ok && sequence >= 3
	}), wait.Timeout(patience), wait.Gap(time.Millisecond)))
}

func TestExpiredEntriesReturn(t *testing.T) {
	rg := newRig(t)
	rg.awaitEntry("i-a-1", "seq", 1.0)
	rg.provider.ExpireEntries(50 * time.Millisecond)
	rg.awaitEntry("i-a-1", "seq", 2.0)
	rg.awaitEntry("i-b-1", "seq", 2.0)
}

// TestWritesOutlastFaultsOfTheStore guards against workers that are never listed, and
// against a platform that stands still while the store is slow.
func TestWritesOutlastFaultsOfTheStore(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault keeper.Fault
	}{
		{"outage", keeper.Outage{Scope: keeper.Scope{Share: 1}}},
		{"slow", keeper.Slow{Scope: keeper.Scope{Share: 1}, Delay: 2 * time.Second}},
		{"answer lost", keeper.AnswerLost{Scope: keeper.Scope{Share: 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			rg := newRig(t)
			must.NoError(t, rg.provider.Keeper().SetFaults(test.fault))
			began := time.Now()
			rg.provider.Crash("a", 0)
			rg.awaitWorker("a", 2)
			must.Eq(t, http.StatusOK, rg.poll("a", 0).status)
			must.Less(t, time.Second, time.Since(began))
			time.Sleep(50 * time.Millisecond)
			must.NoError(t, rg.provider.Keeper().SetFaults())
			rg.awaitEntry("i-a-1", "state", nil)
			rg.awaitEntry("i-a-2", "state", "ready")
			rg.provider.Put("k", []byte("v"))
			et, err := rg.provider.Keeper().Zone("z").Get(t.Context(), "k")
			must.NoError(t, err)
			must.Eq(t, "v", string(et.Value))
		})
	}
}

func TestConfigurationIsWritten(t *testing.T) {
	rg := newRig(t)
	rg.provider.Configure(modeller.Configuration{
		Version: 7,
		Queues: map[string]modeller.Queue{queueName: {
			Name:        queueName,
			Host:        "h",
			Prefix:      "/q/",
			Pool:        poolName,
			MaxAttempts: 3,
			Timeout:     3 * time.Second,
			Advice:      &modeller.Advice{DecisionTime: 5 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: time.Second},
		}},
		Pools: map[string]modeller.Pool{poolName: {Name: poolName}, StandbyPool: {Name: StandbyPool, IsStandby: true}},
	})
	et, err := rg.provider.Keeper().Zone("z").Get(t.Context(), configurationKey)
	must.NoError(t, err)
	must.Eq(t, `{"limits":{"max_body_bytes":0},"routes":[{"name":"q","host":"h","prefix":"/q/","service":"p","timeout_ms":3000,"max_attempts":3,"advice":{"decision_ms":5,"period_ms":1,"validity_ms":1000}}],"services":[{"name":"p"},{"name":"standby","standby":true}],"version":7}`, string(et.Value))
}

// A connection to a worker that is back under its ID is a new one.
func TestConnectionsEndWithTheirWorker(t *testing.T) {
	rg := newRig(t)
	server := httptest.NewUnstartedServer(rg.handlers["a"])
	server.Config.ConnState = rg.provider.WorkerConnState("a")
	server.Start()
	t.Cleanup(server.Close)
	isReused := false
	poll := func() error {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused },
		})
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/hold", strings.NewReader(`{}`))
		must.NoError(t, err)
		rs, err := server.Client().Do(rq)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, rs.Body)
		return errors.Join(err, rs.Body.Close())
	}
	must.NoError(t, poll())
	must.NoError(t, poll())
	must.True(t, isReused)
	rg.provider.CrashAndKeepID("a", 20*callTimeout)
	must.Error(t, poll(), must.Sprint("nobody answers until the restart"))
	rg.awaitWorker("a", 2)
	must.NoError(t, poll())
	must.False(t, isReused)
}
