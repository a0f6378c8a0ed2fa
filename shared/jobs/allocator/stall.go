package allocator

import (
	"time"
)

// stallCheckInterval is the interval between searches for stalled runs.
const stallCheckInterval = 250 * time.Millisecond

// maxStallDoublings limits the doublings of stallTimeout, to 160 s.
const maxStallDoublings = 6

// stopStalledRuns stops runs that make no progress, so that their tasks restart
// on other workers.
func (al *Allocator) stopStalledRuns(now time.Time) {
	if now.Sub(al.stallsCheckedAt) < stallCheckInterval {
		return
	}
	al.stallsCheckedAt = now
	isStalled := func(rn *run) bool {
		return rn.state == runRunning && !rn.isStopping && rn.task != nil && now.Sub(rn.progressAt) > rn.task.stallTimeout() &&
			rn.progress < 100 && !rn.task.step.spec.IsFilling
	}
	for _, wk := range al.workers.sorted {
		if now.Sub(wk.reportedAt) >= maxReportAge {
			continue
		}
		for _, rn := range wk.sortedRunsWith(isStalled) {
			rn.task.avoid(now, wk)
			rn.task.stalls++
			al.log(LogEntry{Message: "run stalled", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no progress"})
			al.stopRun(now, rn)
		}
	}
}

// stallTimeout returns the time without progress after which the task is restarted. It
// doubles with each stall: progress is in whole percent, so that a long task makes none
// for some time. A long-running task, which has to be available soon, is only short of
// full progress while it starts up.
func (tk *task) stallTimeout() time.Duration {
	if tk.step.spec.IsLongRunning {
		return stallTimeout
	}
	return stallTimeout << min(tk.stalls, maxStallDoublings)
}
