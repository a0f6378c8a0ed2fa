package distributor

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/allocator"
	"coltsfootwick.example/shared/jobs/modeller"
)

// newAttendingKeeper returns a Keeper with a worker under handle 1 and the payload
// of a job.
func newAttendingKeeper(t *testing.T) *Keeper {
	t.Helper()
	kp := NewKeeper()
	for _, msg := range []ToKeeper{Attend{Handle: 1, Worker: "i-1", Address: testWorker.Address}, Payload{Job: testTask.Job, Text: "text"}} {
		_, _, err := kp.Receive(msg)
		must.NoError(t, err)
	}
	return kp
}

// receiveStart returns the order of a start message.
func receiveStart(t *testing.T, kp *Keeper, attempt int) TimedOrder {
	t.Helper()
	orders, _, err := kp.Receive(Start{Handle: 1, Task: testTask, Attempt: attempt})
	must.NoError(t, err)
	must.Len(t, 1, orders)
	return orders[0]
}

func TestOrderIsValidFromTheAskOfTheLastPermission(t *testing.T) {
	kp := newAttendingKeeper(t)
	now := time.Unix(1_700_000_000, 0)
	must.True(t, receiveStart(t, kp, 1).ValidUntil.IsZero(), must.Sprint("an order without any permission"))
	first := kp.Ask(now)
	second := kp.Ask(now.Add(AskInterval))
	_, _, err := kp.Receive(Permit(first))
	must.NoError(t, err)
	must.Eq(t, now.Add(OrderValidity), receiveStart(t, kp, 2).ValidUntil)
	_, _, err = kp.Receive(Permit(second))
	must.NoError(t, err)
	must.Eq(t, now.Add(AskInterval+OrderValidity), receiveStart(t, kp, 3).ValidUntil)
	// A repeated or unknown permission extends nothing.
	for _, number := range []uint64{first.Number, second.Number, 99} {
		_, _, err = kp.Receive(Permit{Number: number})
		must.NoError(t, err)
		must.Eq(t, now.Add(AskInterval+OrderValidity), receiveStart(t, kp, 4).ValidUntil)
	}
}

// Orders that were held up behind a cut are old when they arrive, as are the
// permissions among them.
func TestOrderThatWasHeldUpIsNoLongerValid(t *testing.T) {
	kp := newAttendingKeeper(t)
	now := time.Unix(1_700_000_000, 0)
	ask := kp.Ask(now)
	arrival := now.Add(3 * time.Second)
	for at := now.Add(AskInterval); at.Before(arrival); at = at.Add(AskInterval) {
		kp.Ask(at)
	}
	_, _, err := kp.Receive(Permit(ask))
	must.NoError(t, err)
	must.True(t, receiveStart(t, kp, 1).ValidUntil.Before(arrival))
}

func TestStartWaitsForAPayloadThatIsRead(t *testing.T) {
	kp := newAttendingKeeper(t)
	other := modeller.TaskName{Job: "other"}
	_, answers, err := kp.Receive(Start{Handle: 1, Task: other, Attempt: 1})
	must.NoError(t, err)
	must.Eq(t, []ToScheduler{StartAnswer{Handle: 1, Task: other, Attempt: 1, Outcome: allocator.NotSent}}, answers, must.Sprint("a start that crosses with a Missing"))
	_, _, err = kp.Receive(Fetch{Job: "other", Queue: "q"})
	must.NoError(t, err)
	for attempt := range 2 {
		orders, _, err := kp.Receive(Start{Handle: 1, Task: other, Attempt: attempt})
		must.NoError(t, err)
		must.Len(t, 0, orders)
	}
	orders := kp.Fetched("other", "its text")
	must.Len(t, 2, orders)
	for _, to := range orders {
		so, ok := to.Order.(allocator.StartOrder)
		must.True(t, ok)
		must.Eq(t, "its text", so.Payload)
	}
}

func TestStartsWithoutAReadablePayloadAreNotSent(t *testing.T) {
	for name, discard := range map[string]func(kp *Keeper) []ToScheduler{
		"failed": func(kp *Keeper) []ToScheduler { return kp.Failed("other")[1:] },
		"forgotten": func(kp *Keeper) []ToScheduler {
			_, answers, _ := kp.Receive(Forget{Job: "other"})
			return answers
		},
	} {
		kp := newAttendingKeeper(t)
		_, _, _ = kp.Receive(Fetch{Job: "other", Queue: "q"})
		_, _, _ = kp.Receive(Start{Handle: 1, Task: modeller.TaskName{Job: "other"}, Attempt: 1})
		must.Eq(t, []ToScheduler{StartAnswer{Handle: 1, Task: modeller.TaskName{Job: "other"}, Attempt: 1, Outcome: allocator.NotSent}}, discard(kp), must.Sprint(name))
		must.Len(t, 0, kp.Fetched("other", "late"), must.Sprint(name))
	}
}

func TestEndsThatWereProcessedAreNotRepeated(t *testing.T) {
	kp := newAttendingKeeper(t)
	orders, _, err := kp.Receive(Poll{Handle: 1, Number: 1, IsFull: true, AcknowledgedEnds: 5, ProcessedEnds: 6})
	must.NoError(t, err)
	must.Len(t, 1, orders)
	msg, ok := kp.Answer(allocator.ReportReceived{
		Worker: "i-1",
		Report: modeller.Report{Ended: []modeller.End{{Number: 6}, {Number: 7}}},
	})
	must.True(t, ok)
	report, ok := msg.(Report)
	must.True(t, ok)
	must.Eq(t, []modeller.End{{Number: 7}}, report.Ended)
}

func TestFullReportRepeatsAllRuns(t *testing.T) {
	kp := newAttendingKeeper(t)
	runs := []modeller.Run{{Task: testTask, Attempt: 1}}
	for _, isFull := range []bool{true, false, true} {
		_, _, err := kp.Receive(Poll{Handle: 1, Number: 1, IsFull: isFull})
		must.NoError(t, err)
		msg, _ := kp.Answer(allocator.ReportReceived{Worker: "i-1", Report: modeller.Report{Running: runs}})
		report, ok := msg.(Report)
		must.True(t, ok)
		must.Eq(t, isFull, len(report.Added) == 1)
		must.Eq(t, isFull, len(report.Changes) == 0)
	}
}

func TestSecondPollOfAWorkerIsAnError(t *testing.T) {
	kp := newAttendingKeeper(t)
	_, _, err := kp.Receive(Poll{Handle: 1, Number: 1})
	must.NoError(t, err)
	_, _, err = kp.Receive(Poll{Handle: 1, Number: 2})
	must.ErrorContains(t, err, "while poll 1 is in flight")
	_, _, err = kp.Receive(Stop{Handle: 5})
	must.ErrorContains(t, err, "handle 5")
}

func TestOutcomesOfAWorkerThatWasLeftAreDropped(t *testing.T) {
	kp := newAttendingKeeper(t)
	_, _, err := kp.Receive(Poll{Handle: 1, Number: 1})
	must.NoError(t, err)
	_, _, err = kp.Receive(Leave{Handle: 1})
	must.NoError(t, err)
	for _, ev := range []allocator.Event{
		allocator.ReportReceived{Worker: "i-1"},
		allocator.PollFailed{Worker: "i-1"},
		allocator.StartResult{Worker: "i-1"},
	} {
		_, ok := kp.Answer(ev)
		must.False(t, ok)
	}
}
