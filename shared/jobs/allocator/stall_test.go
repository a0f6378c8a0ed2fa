package allocator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Guards against long tasks that are stopped and started again without end.
func TestTaskWhoseProgressIsSlowEnds(t *testing.T) {
	fx := newFixture(t)
	fx.addReadyWorkers("a", "b")
	start := fx.startOneTaskJob("j")
	ends := map[modeller.WorkerID]int64{}
	startedAt := fx.now
	for end := fx.now.Add(time.Minute); fx.now.Before(end); {
		fx.advance(100 * time.Millisecond)
		for _, od := range fx.orders {
			switch od := od.(type) {
			case StopOrder:
				start = StartOrder{}
				ends[od.Worker.ID]++
				fx.report(string(od.Worker.ID), nil, modeller.End{Number: ends[od.Worker.ID], Task: od.Task, Attempt: od.Attempt, Kind: modeller.EndStopped})
			case StartOrder:
				start, startedAt = od, fx.now
				fx.acceptStart(od)
			default:
			}
		}
		fx.orders = nil
		fx.storeBatch()
		for _, id := range []modeller.WorkerID{"a", "b"} {
			var running []modeller.Run
			if start.Worker.ID == id {
				running = []modeller.Run{{Task: start.Task, Attempt: start.Attempt, Progress: int(fx.now.Sub(startedAt) / (4 * time.Second))}}
			}
			fx.report(string(id), running)
		}
	}
	must.Eq(t, taskName("j", 0), start.Task)
	must.Greater(t, 10, fx.al.findTask(start.Task).run.progress)
}
