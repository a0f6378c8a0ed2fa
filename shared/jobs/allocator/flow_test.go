package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// flow is a worker with room for all tasks, whose calls take a round trip.
type flow struct {
	*fixture
	roundTrip time.Duration
	calls     []call
	runs      map[modeller.TaskName]flowRun
	ends      []modeller.End
	ended     int64
	// acknowledged is the number of the last end that a poll has acknowledged.
	acknowledged int64
}

// call is what happens at a time.
type call struct {
	at     time.Time
	handle func()
}

type flowRun struct {
	order StartOrder
	endAt time.Time
}

func newFlow(t *testing.T, roundTrip time.Duration) *flow {
	fw := &flow{
		fixture:   newFixture(t),
		roundTrip: roundTrip,
		runs:      map[modeller.TaskName]flowRun{},
	}
	fw.addReadyWorkers("w1")
	info := fw.al.workers.byID["w1"].info
	info.Capacity = modeller.Resources{MilliCores: 400_000, MemoryMB: 400_000}
	fw.apply(WorkerListed{Worker: info})
	fw.storeBatch()
	fw.apply(PollFailed{Worker: "w1", SentAt: fw.now, Outcome: KeeperLost})
	return fw
}

func (fw *flow) after(delay time.Duration, handle func()) {
	fw.calls = append(fw.calls, call{
		at:     fw.now.Add(delay),
		handle: handle,
	})
}

// step advances the time by 5 ms.
func (fw *flow) step() {
	fw.now = fw.now.Add(5 * time.Millisecond)
	fw.al.ConfirmDuty(fw.now)
	due := fw.calls
	fw.calls = nil
	for _, cl := range due {
		if cl.at.After(fw.now) {
			fw.calls = append(fw.calls, cl)
			continue
		}
		cl.handle()
	}
	for name, rn := range fw.runs {
		if !rn.endAt.After(fw.now) {
			delete(fw.runs, name)
			fw.ended++
			fw.ends = append(fw.ends, doneEnd(fw.ended, rn.order))
		}
	}
	for _, od := range fw.al.Plan(fw.now, fw.now) {
		switch od := od.(type) {
		case StartOrder:
			fw.after(fw.roundTrip/2, func() {
				fw.runs[od.Task] = flowRun{
					order: od,
					endAt: fw.now.Add(200 * time.Millisecond),
				}
			})
			fw.after(fw.roundTrip, func() { fw.acceptStart(od) })
		case PollOrder:
			sentAt := fw.now
			fw.after(fw.roundTrip/2, func() { fw.poll(od, sentAt, fw.now.Add(od.Wait)) })
		}
	}
}

// poll answers a poll once there is an end, or at a time.
func (fw *flow) poll(od PollOrder, sentAt, until time.Time) {
	fw.acknowledged = max(fw.acknowledged, od.AcknowledgedEnds)
	for len(fw.ends) > 0 && fw.ends[0].Number <= fw.acknowledged {
		fw.ends = fw.ends[1:]
	}
	if len(fw.ends) == 0 && fw.now.Before(until) {
		fw.after(5*time.Millisecond, func() { fw.poll(od, sentAt, until) })
		return
	}
	var running []modeller.Run
	for name, rn := range fw.runs {
		running = append(running, modeller.Run{Task: name, Attempt: rn.order.Attempt})
	}
	ends := fw.ends[:len(fw.ends):len(fw.ends)]
	fw.after(fw.roundTrip/2, func() { fw.reportPollSentAt(sentAt, "w1", running, ends...) })
}

// Guards against ends that are never acknowledged, since there is always a start whose
// answer is awaited.
func TestEndsAreAcknowledgedUnderASteadyFlowOfStarts(t *testing.T) {
	for _, tc := range []struct{ roundTrip, interval time.Duration }{
		{10 * time.Millisecond, 10 * time.Millisecond},
		{20 * time.Millisecond, 20 * time.Millisecond},
		{40 * time.Millisecond, 20 * time.Millisecond},
		{100 * time.Millisecond, 50 * time.Millisecond},
	} {
		fw := newFlow(t, tc.roundTrip)
		began := fw.now
		for jobs := 0; fw.now.Sub(began) < 5*time.Second; {
			if fw.now.Sub(began) >= time.Duration(jobs)*tc.interval {
				fw.submitJob(fmt.Sprintf("j%04d", jobs), oneTaskStep())
				jobs++
			}
			fw.storeBatch()
			fw.step()
		}
		must.Positive(t, fw.ended)
		must.GreaterEq(t, fw.ended*4/5, fw.acknowledged, must.Sprintf("round trip %s, a job each %s", tc.roundTrip, tc.interval))
	}
}
