package provider

import "coltsfootwick.example/shared/jobs/modeller"

// Progress counts the tasks of an expected job, over all occurrences. All members of a
// gang count as done once one of them is.
type Progress struct {
	// Tasks counts all tasks.
	Tasks int
	// Started, Running and Done count the tasks of which a run was started, runs now,
	// or has ended as done.
	Started, Running, Done int
}

// Progress returns what the workers have done of an expected job.
func (pv *Provider) Progress(id modeller.JobID) Progress {
	pv.mu.Lock()
	defer pv.mu.Unlock()
	var pg Progress
	ej := pv.expected[id]
	if ej == nil {
		return pg
	}
	for occurrence := range max(ej.job.Occurrences, 1) {
		for step, st := range ej.job.Steps {
			for index := range st.Count {
				pv.count(&pg, modeller.TaskName{
					Job:        id,
					Occurrence: occurrence,
					Step:       step,
					Index:      index,
				})
			}
		}
	}
	return pg
}

// count adds a task to the counts of its job.
func (pv *Provider) count(pg *Progress, name modeller.TaskName) {
	pg.Tasks++
	ut := pv.unit(name)
	if len(ut.starts) > 0 {
		pg.Started++
	}
	if ut.isDone() {
		pg.Done++
	}
	for _, machine := range pv.vms {
		if machine.worker == nil {
			continue
		}
		if _, isRunning := machine.worker.Runs()[name]; isRunning {
			pg.Running++
			return
		}
	}
}
