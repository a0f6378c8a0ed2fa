package soaker

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// history is what the workers have run.
type history struct {
	runs []provider.Run
	// isRunning holds the jobs with a run in progress, and current these runs.
	isRunning map[modeller.JobID]bool
	current   map[modeller.TaskName]*provider.Run
	// endedAt holds the end of the latest run of a task.
	endedAt map[modeller.TaskName]time.Time
	// doneAt holds when a task was done first, and isNoted the tasks that are done
	// and whose end has been acknowledged or stored.
	doneAt  map[modeller.TaskName]time.Time
	isNoted map[modeller.TaskName]bool
}

func newHistory(runs []provider.Run) history {
	hy := history{
		runs:      runs,
		isRunning: map[modeller.JobID]bool{},
		current:   map[modeller.TaskName]*provider.Run{},
		endedAt:   map[modeller.TaskName]time.Time{},
		doneAt:    map[modeller.TaskName]time.Time{},
		isNoted:   map[modeller.TaskName]bool{},
	}
	for idx := range runs {
		rn := &runs[idx]
		if rn.EndedAt.IsZero() {
			hy.isRunning[rn.Task.Job] = true
			hy.current[rn.Task] = rn
			continue
		}
		if rn.EndedAt.After(hy.endedAt[rn.Task]) {
			hy.endedAt[rn.Task] = rn.EndedAt
		}
		if rn.Kind != modeller.EndDone {
			continue
		}
		if before, ok := hy.doneAt[rn.Task]; !ok || rn.EndedAt.Before(before) {
			hy.doneAt[rn.Task] = rn.EndedAt
		}
		if rn.IsAcknowledged {
			hy.isNoted[rn.Task] = true
		}
	}
	return hy
}

// noteStored notes the ends that the managers have stored. The acknowledgement of such
// an end may be lost with its worker, or doesn't count since the lease has expired; the
// managers don't start its task again.
func (hy history) noteStored(pg modeller.Progress) {
	for _, tp := range pg.Tasks {
		name := modeller.TaskName{
			Job:        pg.ID,
			Occurrence: tp.Occurrence,
			Step:       tp.Step,
			Index:      tp.Index,
		}
		if _, isDone := hy.doneAt[name]; isDone && tp.IsDone {
			hy.isNoted[name] = true
		}
	}
}

// ready returns the tasks of a job whose turn has come and that aren't done.
func (hy history) ready(jb *job, now time.Time) []modeller.TaskName {
	var names []modeller.TaskName
	for _, name := range jb.tasks() {
		isDue := jb.Occurrences == 0 || !now.Before(jb.dueAt(name.Occurrence))
		if isDue && !hy.isTaken(jb, name) && hy.isReady(jb, name) {
			names = append(names, name)
		}
	}
	return names
}

// isReady reports whether the steps before a task are done.
func (hy history) isReady(jb *job, name modeller.TaskName) bool {
	for _, before := range dependencies(jb, name) {
		if !hy.isTaken(jb, before) {
			return false
		}
	}
	return true
}

// isTaken reports whether it is noted that a task is done. The end of one member of a
// gang represents all.
func (hy history) isTaken(jb *job, name modeller.TaskName) bool {
	for _, member := range jb.members(name) {
		if hy.isNoted[member] {
			return true
		}
	}
	return false
}

// isDoneBy reports whether a task, or a member of its gang, was done at a time.
func (hy history) isDoneBy(jb *job, name modeller.TaskName, at time.Time) bool {
	for _, member := range jb.members(name) {
		if doneAt, ok := hy.doneAt[member]; ok && !doneAt.After(at) {
			return true
		}
	}
	return false
}

// dependencies returns the tasks that have to be done before a task starts.
func dependencies(jb *job, name modeller.TaskName) []modeller.TaskName {
	var names []modeller.TaskName
	for _, step := range jb.Steps[name.Step].DependsOn {
		for index := range jb.Steps[step].Count {
			names = append(names, modeller.TaskName{
				Job:        name.Job,
				Occurrence: name.Occurrence,
				Step:       step,
				Index:      index,
			})
		}
	}
	return names
}
