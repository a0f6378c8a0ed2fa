package executor

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Member is a run of a member of a gang.
type Member struct {
	// Executor is the executor with the run.
	Executor *Executor
	// Task is the member.
	Task modeller.TaskName
}

// Assemble lets the members of a gang begin their work, once all of them run. They
// work at the pace of the slowest. If one fails, it alone ends by itself.
func Assemble(now time.Time, members []Member) {
	slowness, isHanging, isFailing := 0.0, false, false
	for _, mb := range members {
		rn := mb.Executor.runs[mb.Task]
		slowness = max(slowness, rn.slowness)
		isHanging = isHanging || rn.isHanging
		isFailing = isFailing || rn.isFailing
	}
	for _, mb := range members {
		rn := mb.Executor.runs[mb.Task]
		rn.isWaiting = false
		rn.beganAt = now
		rn.slowness = slowness
		rn.isHanging = isHanging || isFailing && !rn.isFailing
	}
}

// IsWaiting reports whether a member of a gang runs that waits for the others and
// isn't being stopped.
func (ex *Executor) IsWaiting(name modeller.TaskName, attempt int) bool {
	rn := ex.runs[name]
	return rn != nil && rn.attempt == attempt && rn.isWaiting && rn.stopAt.IsZero()
}

// EndMember ends a member of a gang because another one has ended. It does nothing
// if the member has no such run.
func (ex *Executor) EndMember(now time.Time, name modeller.TaskName, attempt int, kind modeller.EndKind) {
	if rn := ex.runs[name]; rn != nil && rn.attempt == attempt {
		ex.end(now, name, rn, kind)
	}
}
