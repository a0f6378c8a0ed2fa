package allocator

import (
	"time"
)

// moveStalled stops runs that make no progress, so that they start elsewhere.
func (al *Allocator) moveStalled(now time.Time) {
	for _, wk := range al.inOrder() {
		for _, rn := range wk.runsInOrder() {
			isStuck := rn.state == runRunning && !rn.isStopping && rn.task != nil && now.Sub(wk.reportedAt) < reportFreshness &&
				now.Sub(rn.progressAt) > stallTimeout
			if !isStuck || rn.progress >= 100 || rn.task.step.spec.IsFilling {
				continue
			}
			rn.task.avoid(now, wk)
			al.note(LogEntry{Message: "run stalled", Task: rn.name.String(), Worker: wk.info.ID, Attempt: rn.attempt, Reason: "no progress"})
			al.stop(now, rn)
		}
	}
}
