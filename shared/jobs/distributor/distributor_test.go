package distributor

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/assigner"
	"coltsfootwick.example/shared/jobs/modeller"
)

var testWorker = modeller.Worker{ID: "i-1", Zone: "a", Address: netip.MustParseAddrPort("10.1.64.9:8661")}

// newConnected returns a Distributor with keepers of zone a.
func newConnected(ids ...assigner.KeeperID) (*Distributor, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	di := New()
	for _, id := range ids {
		di.Join(now, assigner.Keeper{ID: id, Zone: "a", Capacity: 1})
	}
	return di, now
}

// sent returns the messages to a keeper of one type since the last call for the
// keeper, and discards the others.
func sent[T ToKeeper](di *Distributor, id assigner.KeeperID) []T {
	var found []T
	for _, msg := range di.Outgoing()[id] {
		if match, ok := msg.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

func start(attempt int) allocator.StartOrder {
	return allocator.StartOrder{Worker: testWorker, Task: testTask, Attempt: attempt, Payload: "text", HasPayload: true}
}

func TestOrdersGoToTheWorkersKeeper(t *testing.T) {
	di, now := newConnected("k")
	must.Len(t, 0, di.Dispatch(now, []allocator.Order{start(1), allocator.VMOrder{VM: "m"}}))
	messages := di.Outgoing()["k"]
	must.Eq(t, []ToKeeper{
		Attend{Handle: 1, Worker: "i-1", Address: testWorker.Address},
		Payload{Job: testTask.Job, Text: "text"},
		Start{Handle: 1, Task: testTask, Attempt: 1},
	}, messages)
	di.Dispatch(now, []allocator.Order{start(2)})
	must.Eq(t, []ToKeeper{Start{Handle: 1, Task: testTask, Attempt: 2}}, di.Outgoing()["k"], must.Sprint("the keeper knows worker and payload"))
}

// TestOrdersAreForOneIncarnation guards against orders that the next incarnation of a
// worker carries out.
func TestOrdersAreForOneIncarnation(t *testing.T) {
	di, now := newConnected("k")
	kp := NewKeeper()
	for generation, startedAtMS := range []int64{7, 7, 8, 0} {
		worker := testWorker
		worker.StartedAtMS = startedAtMS
		worker.Generation = generation
		di.Dispatch(now, []allocator.Order{allocator.StopOrder{Worker: worker, Task: testTask, Attempt: 1}})
		for _, msg := range di.Outgoing()["k"] {
			orders, _, err := kp.Receive(msg)
			must.NoError(t, err)
			for _, to := range orders {
				must.Eq(t, startedAtMS, to.Order.(allocator.StopOrder).Worker.StartedAtMS)
				must.Eq(t, generation, to.Order.(allocator.StopOrder).Worker.Generation)
			}
		}
	}
}

func TestOrdersWithoutAKeeperAreNotSent(t *testing.T) {
	di, now := newConnected()
	events := di.Dispatch(now, []allocator.Order{start(1), allocator.PollOrder{Worker: testWorker}})
	must.Eq(t, []allocator.Event{
		allocator.StartResult{Worker: "i-1", Task: testTask, Attempt: 1, Outcome: allocator.NotSent},
		allocator.PollFailed{Worker: "i-1", SentAt: now, Outcome: allocator.KeeperLost},
	}, events)
}

// Orders of a lost keeper may have been sent, and its polls say nothing about the
// workers.
func TestLostKeeperLeavesItsOrdersInDoubt(t *testing.T) {
	di, now := newConnected("k")
	di.Dispatch(now, []allocator.Order{
		allocator.PollOrder{Worker: testWorker},
		start(1),
		allocator.StopOrder{Worker: testWorker, Task: testTask, Attempt: 7},
	})
	must.Eq(t, []allocator.Event{
		allocator.PollFailed{Worker: "i-1", SentAt: now, Outcome: allocator.KeeperLost},
		allocator.StartResult{Worker: "i-1", Task: testTask, Attempt: 1, Outcome: allocator.Unanswered},
		allocator.StopResult{Worker: "i-1", Task: testTask, Attempt: 7, Outcome: allocator.Unanswered},
	}, di.Leave("k"))
	must.Len(t, 0, di.Leave("k"))
}

func TestSilentKeeperIsLost(t *testing.T) {
	di, now := newConnected("k", "l")
	di.Dispatch(now, []allocator.Order{allocator.PollOrder{Worker: testWorker, Wait: time.Second}})
	silent, _ := di.assigner.KeeperOf("i-1")
	other := map[assigner.KeeperID]assigner.KeeperID{"k": "l", "l": "k"}[silent]
	for range 4 {
		now = now.Add(AskInterval)
		_, err := di.Receive(now, other, Ask{Number: 1}, true)
		must.NoError(t, err)
	}
	lost, events := di.Tick(now)
	must.Eq(t, []assigner.KeeperID{silent}, lost)
	must.Len(t, 1, events)
	di.Dispatch(now, []allocator.Order{allocator.PollOrder{Worker: testWorker}})
	must.Len(t, 1, sent[Poll](di, other), must.Sprint("the other keeper polls the worker, well within a third of its lease"))
}

func TestKeeperThatDoesNotAnswerIsLost(t *testing.T) {
	di, now := newConnected("k")
	di.Dispatch(now, []allocator.Order{start(1)})
	for now2 := now; now2.Before(now.Add(maxAnswerDelay)); now2 = now2.Add(AskInterval) {
		_, _ = di.Receive(now2, "k", Ask{Number: 1}, true)
		lost, _ := di.Tick(now2)
		must.Len(t, 0, lost)
	}
	end := now.Add(maxAnswerDelay)
	_, _ = di.Receive(end, "k", Ask{Number: 1}, true)
	lost, events := di.Tick(end)
	must.Eq(t, []assigner.KeeperID{"k"}, lost)
	must.Len(t, 1, events)
}

func TestPermissionIsGivenOnlyWhileTheDutyIsHeld(t *testing.T) {
	di, now := newConnected("k")
	for _, isHeld := range []bool{false, true} {
		_, err := di.Receive(now, "k", Ask{Number: 3}, isHeld)
		must.NoError(t, err)
		permits := sent[Permit](di, "k")
		must.Eq(t, isHeld, slices.Contains(permits, Permit{Number: 3}))
	}
}

func TestReportIsDatedByItsPoll(t *testing.T) {
	di, now := newConnected("k")
	di.Dispatch(now, []allocator.Order{allocator.PollOrder{Worker: testWorker}})
	poll := sent[Poll](di, "k")[0]
	must.True(t, poll.IsFull, must.Sprint("the first report on a connection"))
	runs := []modeller.Run{{Task: testTask, Attempt: 2}}
	later := now.Add(time.Second)
	events, err := di.Receive(later, "k", Report{Handle: poll.Handle, Number: poll.Number, Clock: time.Minute, Added: runs}, true)
	must.NoError(t, err)
	must.Eq(t, []allocator.Event{allocator.ReportReceived{
		Worker:     "i-1",
		SentAt:     now,
		ReceivedAt: later,
		Report:     modeller.Report{Clock: time.Minute, Running: runs},
	}}, events)
	di.Dispatch(later, []allocator.Order{allocator.PollOrder{Worker: testWorker}})
	poll = sent[Poll](di, "k")[0]
	must.False(t, poll.IsFull)
	events, err = di.Receive(later, "k", Report{Handle: poll.Handle, Number: poll.Number, Changes: []RunChange{{Progress: pointer(50)}}}, true)
	must.NoError(t, err)
	report, ok := events[0].(allocator.ReportReceived)
	must.True(t, ok)
	must.Eq(t, []modeller.Run{{Task: testTask, Attempt: 2, Progress: 50}}, report.Report.Running)
}

func TestOutcomeOfAnUnknownPollEndsTheConnection(t *testing.T) {
	di, now := newConnected("k")
	for _, msg := range []ToScheduler{Report{Handle: 1, Number: 1}, PollFailure{Handle: 9, Number: 1}, StartAnswer{Handle: 9}} {
		_, err := di.Receive(now, "k", msg, true)
		must.Error(t, err)
	}
}

// A keeper that is cut off from a worker must not make the worker appear silent.
func TestAnotherKeeperPollsAWorkerThatIsNotReached(t *testing.T) {
	di, now := newConnected("k", "l")
	first, _ := assigner.KeeperID(""), now
	for failure := range maxUnreachedPolls {
		di.Dispatch(now, []allocator.Order{allocator.PollOrder{Worker: testWorker}})
		keeper, _ := di.assigner.KeeperOf("i-1")
		if failure == 0 {
			first = keeper
		}
		poll := sent[Poll](di, keeper)[0]
		_, err := di.Receive(now, keeper, PollFailure{Handle: poll.Handle, Number: poll.Number, Outcome: allocator.Unanswered}, true)
		must.NoError(t, err)
	}
	second, _ := di.assigner.KeeperOf("i-1")
	must.NotEq(t, first, second)
}

func TestPayloadsBeyondTheRateAreReadByTheKeeper(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	di := New(WithPayloadRate(1000))
	di.Join(now, assigner.Keeper{ID: "k", Zone: "a", Capacity: 1})
	for number := range 4 {
		so := start(1)
		so.Task.Index = number
		so.Task.Job = modeller.JobID([]string{"j0", "j1", "j2", "j3"}[number])
		so.Payload = string(make([]byte, 200))
		so.Queue = "q"
		di.Dispatch(now, []allocator.Order{so})
	}
	var payloads, fetches int
	for _, msg := range di.Outgoing()["k"] {
		switch msg.(type) {
		case Payload:
			payloads++
		case Fetch:
			fetches++
		default:
		}
	}
	must.Eq(t, 2, payloads, must.Sprint("half a second's worth"))
	must.Eq(t, 2, fetches)
	_, err := di.Receive(now, "k", Missing{Job: "j3"}, true)
	must.NoError(t, err)
	so := start(2)
	so.Task.Job = "j3"
	di.Dispatch(now, []allocator.Order{so})
	must.Len(t, 1, sent[Payload](di, "k"), must.Sprint("a payload that the keeper could not read is sent at any rate"))
}

func TestIdleWorkersAreForgotten(t *testing.T) {
	di, now := newConnected("k")
	di.Dispatch(now, []allocator.Order{allocator.StopOrder{Worker: testWorker, Task: testTask, Attempt: 1}})
	_, err := di.Receive(now, "k", StopAnswer{Handle: 1, Task: testTask, Attempt: 1}, true)
	must.NoError(t, err)
	later := now.Add(workerRetention)
	_, _ = di.Receive(later, "k", Ask{Number: 1}, true)
	di.Tick(later)
	must.Eq(t, []Leave{{Handle: 1}}, sent[Leave](di, "k"))
	_, ok := di.assigner.KeeperOf("i-1")
	must.False(t, ok)
}

// Guards against a holder that gives its duty up, since a worker has refused an order
// from before its restart.
func TestOrderOfAnEarlierGenerationIsNotRefusedForALaterHolder(t *testing.T) {
	di, now := newConnected("k")
	later := testWorker
	later.Generation = 1
	di.Dispatch(now, []allocator.Order{start(1), allocator.StopOrder{Worker: later, Task: testTask, Attempt: 1}})
	answers := []ToScheduler{
		StartAnswer{Handle: 1, Task: testTask, Attempt: 1, Outcome: allocator.Fenced},
		StopAnswer{Handle: 1, Task: testTask, Attempt: 1, Outcome: allocator.Fenced},
	}
	var events []allocator.Event
	for _, answer := range answers {
		received, err := di.Receive(now, "k", answer, true)
		must.NoError(t, err)
		events = append(events, received...)
	}
	must.Eq(t, []allocator.Event{
		allocator.StartResult{Worker: "i-1", Task: testTask, Attempt: 1, Outcome: allocator.NotSent},
		allocator.StopResult{Worker: "i-1", Task: testTask, Attempt: 1, Outcome: allocator.Fenced},
	}, events)
}

// Guards against a holder that gives its duty up for a stop that it has repeated itself.
func TestRepeatedOrderIsMatchedToItsGeneration(t *testing.T) {
	for _, tc := range []struct{ first, second, wantFirst, wantSecond allocator.Outcome }{
		{allocator.Fenced, allocator.Accepted, allocator.NotSent, allocator.Accepted},
		{allocator.Unanswered, allocator.Fenced, allocator.Unanswered, allocator.Fenced},
	} {
		di, now := newConnected("k")
		later := testWorker
		later.Generation = 1
		di.Dispatch(now, []allocator.Order{
			allocator.StopOrder{Worker: testWorker, Task: testTask, Attempt: 1},
			allocator.StopOrder{Worker: later, Task: testTask, Attempt: 1},
		})
		for _, outcomes := range [][2]allocator.Outcome{{tc.first, tc.wantFirst}, {tc.second, tc.wantSecond}} {
			events, err := di.Receive(now, "k", StopAnswer{Handle: 1, Task: testTask, Attempt: 1, Outcome: outcomes[0]}, true)
			must.NoError(t, err)
			must.Eq(t, []allocator.Event{allocator.StopResult{Worker: "i-1", Task: testTask, Attempt: 1, Outcome: outcomes[1]}}, events)
		}
	}
}
