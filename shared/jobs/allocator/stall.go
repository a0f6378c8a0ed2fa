package allocator

import (
	"time"
)

// stallCheckInterval is the interval between searches for stalled runs.
const stallCheckInterval = 250 * time.Millisecond

// stopStalledRuns stops runs that make no progress, so that their tasks restart
// on other workers.
func (al *Allocator) stopStalledRuns(now time.Time) {
	if now.Sub(al.stallsCheckedAt) < stallCheckInterval {
		return
	}
	al.stallsCheckedAt = now
	isStalled := func(rn *run) bool {
		return rn.state == runRunning && !rn.isStopping && rn.task != nil && now.Sub(rn.progressAt) > stallTimeout &&
			rn.progress < 100 && !rn.task.step.spec.IsFilling
	}
	for _, wk := range al.workers.sorted {
		if now.Sub(wk.reportedAt) >= maxReportAge {
			continue
		}
		for _, rn := range wk.sortedRunsWith(isStalled) {
			rn.task.avoid(now, wk)
			al.log(LogEntry{Message: "run stalled", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no progress"})
			al.stopRun(now, rn)
		}
	}
}
