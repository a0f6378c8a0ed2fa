package distributor

import (
	"github.com/go-faster/errors"

	"coltsfootwick.example/shared/jobs/modeller"
)

// servingProgress is the progress from which the load of a run is reported.
const servingProgress = 100

// compareRuns returns the changes from the runs of the last report to the present
// ones, and the runs that were added.
func compareRuns(last, present []modeller.Run) (changes []RunChange, added []modeller.Run) {
	type key struct {
		task    modeller.TaskName
		attempt int
	}
	presentByKey := make(map[key]modeller.Run, len(present))
	for _, rn := range present {
		presentByKey[key{rn.Task, rn.Attempt}] = rn
	}
	changes = make([]RunChange, 0, len(last))
	for _, before := range last {
		after, ok := presentByKey[key{before.Task, before.Attempt}]
		if !ok {
			changes = append(changes, RunChange{
				IsGone: true,
			})
			continue
		}
		delete(presentByKey, key{before.Task, before.Attempt})
		changes = append(changes, compareRun(before, after))
	}
	for _, rn := range present {
		if _, isAdded := presentByKey[key{rn.Task, rn.Attempt}]; isAdded {
			added = append(added, rn)
		}
	}
	return changes, added
}

func compareRun(before, after modeller.Run) RunChange {
	var rc RunChange
	if after.Progress != before.Progress {
		rc.Progress = &after.Progress
	}
	if after.Load != before.Load && after.Progress >= servingProgress {
		rc.Load = &after.Load
	}
	if after.Checkpoint != before.Checkpoint {
		rc.Checkpoint = &after.Checkpoint
	}
	return rc
}

// applyChanges returns the present runs from those of the last report.
func applyChanges(last []modeller.Run, changes []RunChange, added []modeller.Run) ([]modeller.Run, error) {
	if len(changes) != len(last) {
		return nil, errors.Errorf("report has changes of %d runs, want %d", len(changes), len(last))
	}
	present := make([]modeller.Run, 0, len(last)+len(added))
	for idx, rc := range changes {
		if rc.IsGone {
			continue
		}
		rn := last[idx]
		if rc.Progress != nil {
			rn.Progress = *rc.Progress
		}
		if rc.Load != nil {
			rn.Load = *rc.Load
		}
		if rc.Checkpoint != nil {
			rn.Checkpoint = *rc.Checkpoint
		}
		present = append(present, rn)
	}
	return append(present, added...), nil
}
