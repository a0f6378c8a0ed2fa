package allocator

import (
	"time"
)

// stopStalledRuns stops runs that make no progress, so that their tasks restart
// on other workers.
func (al *Allocator) stopStalledRuns(now time.Time) {
	for _, wk := range al.sortedWorkers() {
		for _, rn := range wk.sortedRuns() {
			isStalled := rn.state == runRunning && !rn.isStopping && rn.task != nil && now.Sub(wk.reportedAt) < maxReportAge &&
				now.Sub(rn.progressAt) > stallTimeout
			if !isStalled || rn.progress >= 100 || rn.task.step.spec.IsFilling {
				continue
			}
			rn.task.avoid(now, wk)
			al.log(LogEntry{Message: "run stalled", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no progress"})
			al.stopRun(now, rn)
		}
	}
}
