package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Guards against long-running tasks that run on after their job has failed, and that no
// cancellation ends any more, since the first orders to stop them were lost.
func TestStopsOfAFailedJobAreRepeated(t *testing.T) {
	fx := newFixture(t)
	workers := []string{"a", "b", "c"}
	fx.addReadyWorkers(workers...)
	fx.apply(JobRecorded{Record: modeller.JobRecord{Job: modeller.Job{
		ID:    "j",
		Queue: "q",
		Steps: []modeller.Step{longRunningStep(2), oneTaskStep()},
	}}})
	fx.storeBatch()
	running := map[modeller.WorkerID][]modeller.Run{}
	ends := map[modeller.WorkerID][]modeller.End{}
	failures := 0
	for len(running) < 2 || failures < 2 {
		for _, so := range takeOrders[StartOrder](fx) {
			fx.acceptStart(so)
			if so.Task.Step == 0 {
				running[so.Worker.ID] = append(running[so.Worker.ID], modeller.Run{Task: so.Task, Attempt: so.Attempt, Progress: 100})
				continue
			}
			failures++
			ends[so.Worker.ID] = append(ends[so.Worker.ID], modeller.End{
				Number:  int64(len(ends[so.Worker.ID]) + 1),
				Task:    so.Task,
				Attempt: so.Attempt,
				Kind:    modeller.EndFailed,
			})
		}
		for _, id := range workers {
			fx.report(id, running[modeller.WorkerID(id)], ends[modeller.WorkerID(id)]...)
		}
		fx.storeBatch()
	}
	must.Len(t, 2, takeOrders[StopOrder](fx), must.Sprint("the stops that are lost"))
	must.Eq(t, modeller.JobFailed, fx.state("j"))
	stopped := map[modeller.TaskName]bool{}
	for range 20 {
		fx.advance(100 * time.Millisecond)
		for _, id := range workers {
			fx.report(id, running[modeller.WorkerID(id)], ends[modeller.WorkerID(id)]...)
		}
		fx.storeBatch()
		for _, so := range takeOrders[StopOrder](fx) {
			stopped[so.Task] = true
		}
	}
	must.MapLen(t, 2, stopped, must.Sprint("tasks whose stops are repeated"))
}
