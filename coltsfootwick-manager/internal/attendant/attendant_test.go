package attendant

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"coltsfootwick.example/coltsfootwick-manager/internal/linker"
	"coltsfootwick.example/platform/adapter"
	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/archiver"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/distributor"
	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/shared/store/keeper"
)

// testEpoch is the fencing token of the holder.
const testEpoch = 42

// fakeHolder is a holder of the duty. It implements Locator.
type fakeHolder struct {
	address  netip.AddrPort
	accepted chan *linker.Conn
	changed  chan struct{}
	// attendant is the one that connects to the holder.
	attendant *Attendant
}

func (fh *fakeHolder) Holder() (netip.AddrPort, bool) { return fh.address, true }
func (fh *fakeHolder) Changed() <-chan struct{}       { return fh.changed }

func addressOf(sr *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(sr.Listener.Addr().String())
}

// startAttendant runs an Attendant that connects to a holder.
func startAttendant(t *testing.T, kr *keeper.Keeper) *fakeHolder {
	t.Helper()
	fh := &fakeHolder{
		accepted: make(chan *linker.Conn, 4),
		changed:  make(chan struct{}),
	}
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		conn, _, err := linker.Accept(rw, rq, testEpoch)
		if err != nil {
			t.Errorf("accept: %v", err)
			return
		}
		select {
		case fh.accepted <- conn:
		case <-t.Context().Done():
			conn.Close()
		}
	}))
	t.Cleanup(sr.Close)
	fh.address = addressOf(sr)
	at := New(Settings{
		Keeper:  assigner.Keeper{ID: "k", Zone: "a", Capacity: 1},
		Locator: fh,
		Workers: adapter.NewWorkers(adapter.NewDialer()),
		Store:   kr.Zone("a"),
		Logger:  zap.NewNop(),
	})
	fh.attendant = at
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = at.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return fh
}

// orderedStart is a start order as a worker receives it.
type orderedStart struct {
	Task         string `json:"task"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"fencing_token"`
}

// startWorker runs a worker that accepts all orders.
func startWorker(t *testing.T) (worker modeller.Worker, starts chan orderedStart) {
	t.Helper()
	starts = make(chan orderedStart, 8)
	sr := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		var od orderedStart
		if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
			t.Errorf("order: %v", err)
		}
		starts <- od
		_, _ = rw.Write([]byte(`{"clock_ms":7}`))
	}))
	t.Cleanup(sr.Close)
	return modeller.Worker{ID: "i-1", Zone: "a", Address: addressOf(sr)}, starts
}

// holderEnd is the scheduler's end of a connection.
type holderEnd struct {
	t           *testing.T
	conn        *linker.Conn
	distributor *distributor.Distributor
	permits     bool
	outcomes    []allocator.Event
}

func newHolderEnd(t *testing.T, conn *linker.Conn, opts ...distributor.Option) *holderEnd {
	t.Helper()
	t.Cleanup(conn.Close)
	he := &holderEnd{
		t:           t,
		conn:        conn,
		distributor: distributor.New(opts...),
		permits:     true,
	}
	he.distributor.Join(time.Now(), assigner.Keeper{ID: "k", Zone: "a", Capacity: 1})
	return he
}

func (he *holderEnd) flush() {
	for _, msg := range he.distributor.Outgoing()["k"] {
		he.conn.Send(distributor.AppendToKeeper(nil, msg))
	}
}

// receive handles the messages of one frame.
func (he *holderEnd) receive() {
	he.t.Helper()
	frame, err := he.conn.Receive()
	must.NoError(he.t, err)
	messages, err := distributor.DecodeToScheduler(frame)
	must.NoError(he.t, err)
	for _, msg := range messages {
		events, err := he.distributor.Receive(time.Now(), "k", msg, he.permits)
		must.NoError(he.t, err)
		he.outcomes = append(he.outcomes, events...)
	}
}

// next returns the next outcome; meanwhile it answers requests for permission.
func (he *holderEnd) next() allocator.Event {
	he.t.Helper()
	for len(he.outcomes) == 0 {
		he.flush()
		he.receive()
	}
	outcome := he.outcomes[0]
	he.outcomes = he.outcomes[1:]
	return outcome
}

// awaitPermission waits until the keeper has asked for a permission, and grants it.
func (he *holderEnd) awaitPermission() {
	he.t.Helper()
	he.receive()
	he.flush()
}

func TestOrdersAreSentWithTheHoldersFence(t *testing.T) {
	worker, starts := startWorker(t)
	fh := startAttendant(t, keeper.New())
	he := newHolderEnd(t, <-fh.accepted)
	he.awaitPermission()
	task := modeller.TaskName{Job: "j"}
	he.distributor.Dispatch(time.Now(), []allocator.Order{allocator.StartOrder{Worker: worker, Task: task, Attempt: 1, Payload: "text", HasPayload: true}})
	must.Eq(t, allocator.Event(allocator.StartResult{Worker: "i-1", Task: task, Attempt: 1, Outcome: allocator.Accepted, Clock: 7 * time.Millisecond}), he.next())
	must.Eq(t, orderedStart{Task: "j.0.0.0", Spec: "text", FencingToken: worker.FencingToken(testEpoch)}, <-starts)
}

func TestPayloadIsReadFromTheStore(t *testing.T) {
	worker, starts := startWorker(t)
	kr := keeper.New()
	_, err := kr.Zone("a").Put(t.Context(), archiver.PayloadKey("q", "j"), []byte("stored"), 0, 0)
	must.NoError(t, err)
	fh := startAttendant(t, kr)
	he := newHolderEnd(t, <-fh.accepted)
	he.awaitPermission()
	he.distributor.Dispatch(time.Now(), []allocator.Order{
		allocator.StartOrder{Worker: worker, Task: modeller.TaskName{Job: "absent"}, Attempt: 1, Queue: "q"},
		allocator.StartOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}, Attempt: 1, Queue: "q"},
	})
	outcomes := map[modeller.JobID]allocator.Outcome{}
	for range 2 {
		result, ok := he.next().(allocator.StartResult)
		must.True(t, ok)
		outcomes[result.Task.Job] = result.Outcome
	}
	must.Eq(t, map[modeller.JobID]allocator.Outcome{"absent": allocator.NotSent, "j": allocator.Accepted}, outcomes)
	must.Eq(t, "stored", (<-starts).Spec)
}

// Guards against jobs that stand still after a change of the holder while the store is slow.
func TestPayloadIsReadFromASlowStore(t *testing.T) {
	worker, starts := startWorker(t)
	kr := keeper.New()
	_, err := kr.Zone("a").Put(t.Context(), archiver.PayloadKey("q", "j"), []byte("stored"), 0, 0)
	must.NoError(t, err)
	must.NoError(t, kr.SetFaults(keeper.Slow{Scope: keeper.Scope{Share: 1}, Delay: 820 * time.Millisecond}))
	fh := startAttendant(t, kr)
	he := newHolderEnd(t, <-fh.accepted)
	he.awaitPermission()
	outcome := allocator.NotSent
	for attempt := 1; attempt <= 4 && outcome == allocator.NotSent; attempt++ {
		he.distributor.Dispatch(time.Now(), []allocator.Order{
			allocator.StartOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}, Attempt: attempt, Queue: "q"},
		})
		result, ok := he.next().(allocator.StartResult)
		must.True(t, ok)
		outcome = result.Outcome
	}
	must.Eq(t, allocator.Accepted, outcome)
	must.Eq(t, "stored", (<-starts).Spec)
}

func TestNothingIsSentWithoutPermission(t *testing.T) {
	worker, starts := startWorker(t)
	fh := startAttendant(t, keeper.New())
	he := newHolderEnd(t, <-fh.accepted)
	he.permits = false
	he.distributor.Dispatch(time.Now(), []allocator.Order{allocator.StopOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}, Attempt: 1}})
	result, ok := he.next().(allocator.StopResult)
	must.True(t, ok)
	must.Eq(t, allocator.NotSent, result.Outcome)
	must.Eq(t, 0, len(starts))
}

// A malformed message costs the connection, not the process.
func TestMalformedFrameEndsTheConnectionOnly(t *testing.T) {
	worker, starts := startWorker(t)
	fh := startAttendant(t, keeper.New())
	first := <-fh.accepted
	t.Cleanup(first.Close)
	first.Send([]byte{255, 1, 2, 3})
	for {
		if _, err := first.Receive(); err != nil {
			break
		}
	}
	he := newHolderEnd(t, <-fh.accepted)
	he.awaitPermission()
	he.distributor.Dispatch(time.Now(), []allocator.Order{allocator.StartOrder{Worker: worker, Task: modeller.TaskName{Job: "j"}, Attempt: 1, HasPayload: true}})
	he.next()
	must.Eq(t, "j.0.0.0", (<-starts).Task)
}

func TestKeeperLeavesAHolderThatIsReplaced(t *testing.T) {
	fh := startAttendant(t, keeper.New())
	first := <-fh.accepted
	t.Cleanup(first.Close)
	close(fh.changed)
	for {
		if _, err := first.Receive(); err != nil {
			break
		}
	}
	second := <-fh.accepted
	second.Close()
}
