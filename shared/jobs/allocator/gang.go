package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// placeGang starts all tasks of a gang or none, if possible on one rack for a
// step that prefers this. Members whose starts had no effect rejoin the running
// members.
func (al *Allocator) placeGang(now time.Time, st *step, eligible []*worker) {
	if current := st.runningAttempt(); current > 0 {
		al.rejoinGang(now, st, eligible, current)
		return
	}
	if !al.usage.allows(st, st.startedTogether()) {
		return
	}
	attempt := 0
	checkpoint := ""
	for _, tk := range st.tasks {
		if tk.isDone || !al.isReady(now, tk) {
			return
		}
		attempt = max(attempt, tk.nextAttempt())
		checkpoint = max(checkpoint, tk.checkpoint)
	}
	// All members have to resume from the same checkpoint.
	for _, tk := range st.tasks {
		tk.checkpoint = checkpoint
	}
	racks := []string{""}
	if st.spec.IsSameRack {
		racks = append(racksOf(eligible), "")
	}
	for _, rack := range racks {
		if al.startGang(now, st, eligible, rack, attempt) {
			return
		}
	}
}

// startedTogether returns how many tasks of the step start at once: all of a gang, unless
// some of its members run.
func (st *step) startedTogether() int {
	if st.spec.IsGang && st.runningAttempt() == 0 {
		return len(st.tasks)
	}
	return 1
}

// runningAttempt returns the attempt of a gang's running members, or zero.
func (st *step) runningAttempt() int {
	for _, tk := range st.tasks {
		if tk.run != nil {
			return tk.run.attempt
		}
	}
	return 0
}

// rejoinGang starts, at the attempt of the running members, those members whose
// starts had no effect. Once a member's run at that attempt has ended, the
// other runs of the gang end as well.
func (al *Allocator) rejoinGang(now time.Time, st *step, eligible []*worker, attempt int) {
	for _, tk := range st.tasks {
		if tk.endedAttempt >= attempt || tk.run != nil && (tk.run.isStopping || tk.run.attempt != attempt) {
			return
		}
	}
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone || !al.isReady(now, tk) {
			continue
		}
		if !al.usage.allows(st, 1) {
			return
		}
		if wk := al.chooseWorker(now, tk, eligible, ""); wk != nil {
			al.startTask(now, tk, wk, attempt)
		}
	}
}

// startGang starts all tasks on workers of a rack, or of any rack if the name
// is empty. It reports whether there was capacity for all.
func (al *Allocator) startGang(now time.Time, st *step, eligible []*worker, rack string, attempt int) bool {
	reserved := map[*worker]modeller.Resources{}
	chosen := make([]*worker, 0, len(st.tasks))
	rollback := func() {
		for wk, resources := range reserved {
			wk.used = wk.used.Minus(resources)
		}
		for _, wk := range chosen {
			st.runsPerWorker[wk.info.ID]--
		}
	}
	for _, tk := range st.tasks {
		wk := al.chooseWorker(now, tk, eligible, rack)
		if wk == nil {
			rollback()
			return false
		}
		demand := st.reserved
		wk.used = wk.used.Plus(demand)
		reserved[wk] = reserved[wk].Plus(demand)
		st.runsPerWorker[wk.info.ID]++
		chosen = append(chosen, wk)
	}
	rollback()
	for idx, tk := range st.tasks {
		al.startTask(now, tk, chosen[idx], attempt)
	}
	return true
}

func racksOf(eligible []*worker) []string {
	var racks []string
	for _, wk := range eligible {
		if rack := rackOf(wk.info); rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	return racks
}

// rackOf returns a worker's rack, which is the last of its labels.
func rackOf(info modeller.Worker) string {
	if len(info.Labels) < 2 {
		return ""
	}
	return info.Labels[len(info.Labels)-1]
}
