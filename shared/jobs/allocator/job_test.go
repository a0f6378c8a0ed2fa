package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func (fx *fixture) timedJob(after time.Duration) JobRecorded {
	return JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTask()}, Occurrences: 2, FirstAt: fx.now.Add(after), Interval: time.Second,
	}}}
}

func TestEndOfAnOccurrenceThatIsNotDueByThisClockCounts(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.worker("a")
	fx.apply(RecordsLoaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", nil, modeller.End{Number: 1, Task: name("t", 0), Attempt: 1, Kind: modeller.EndDone})
	for range 2 {
		fx.pass(500 * time.Millisecond)
		fx.report("a", nil)
	}
	must.Len(t, 0, ordersOf[StartOrder](fx), must.Sprint("the first occurrence is done"))
}

func TestRunOfAnOccurrenceThatIsNotDueByThisClockIsAdopted(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q"}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.worker("a")
	fx.apply(RecordsLoaded{})
	fx.store()
	fx.pass(50 * time.Millisecond)
	fx.report("a", []modeller.Run{{Task: name("t", 0), Attempt: 1}})
	must.Len(t, 0, ordersOf[StopOrder](fx))
}

func TestStoredProgressOfAnOccurrenceThatIsNotDueByThisClockIsKept(t *testing.T) {
	fx := newFixture(t)
	fx.apply(ProgressLoaded{Progress: modeller.Progress{ID: "t", Queue: "q", Tasks: []modeller.TaskProgress{{IsDone: true, Attempt: 1}}}})
	fx.apply(fx.timedJob(500 * time.Millisecond))
	fx.apply(RecordsLoaded{})
	fx.al.touch(fx.al.jobs["t"])
	must.Eq(t, []modeller.TaskProgress{{IsDone: true, Attempt: 1}}, fx.al.Batch(fx.now).Progress[0].Tasks)
}

func TestTimedJobStartsAtItsTime(t *testing.T) {
	fx := newFixture(t)
	fx.ready("a")
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID: "t", Queue: "q", Steps: []modeller.Step{oneTask()}, Occurrences: 2, FirstAt: fx.now.Add(time.Second), Interval: 500 * time.Millisecond,
	}}})
	fx.store()
	fx.pass(800 * time.Millisecond)
	fx.report("a", nil)
	must.Len(t, 0, ordersOf[StartOrder](fx))
	fx.pass(250 * time.Millisecond)
	must.Len(t, 1, ordersOf[StartOrder](fx))
	fx.pass(500 * time.Millisecond)
	starts := ordersOf[StartOrder](fx)
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Occurrence)
}
