package allocator

import (
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// placeGang starts all tasks of a gang at once or none, on one rack if there is
// one with room. Members whose starts had no effect join those that wait for them.
func (al *Allocator) placeGang(now time.Time, st *step, open []*worker) {
	if running := st.runningAttempt(); running > 0 {
		al.rejoinGang(now, st, open, running)
		return
	}
	attempt := 0
	checkpoint := ""
	for _, tk := range st.tasks {
		if tk.isDone || now.Before(tk.notBefore) {
			return
		}
		attempt = max(attempt, tk.nextAttempt())
		checkpoint = max(checkpoint, tk.checkpoint)
	}
	// All members have to go on from the same checkpoint.
	for _, tk := range st.tasks {
		tk.checkpoint = checkpoint
	}
	racks := []string{""}
	if st.spec.IsSameRack {
		racks = append(racksOf(open), "")
	}
	for _, rack := range racks {
		if al.startGang(now, st, open, rack, attempt) {
			return
		}
	}
}

// runningAttempt returns the attempt that members of a gang run at, or zero.
func (st *step) runningAttempt() int {
	for _, tk := range st.tasks {
		if tk.run != nil {
			return tk.run.attempt
		}
	}
	return 0
}

// rejoinGang starts the members again whose starts at an attempt had no effect.
// Once a member's run at that attempt has ended, the others end as well.
func (al *Allocator) rejoinGang(now time.Time, st *step, open []*worker, attempt int) {
	for _, tk := range st.tasks {
		if tk.endedAttempt >= attempt || tk.run != nil && (tk.run.isStopping || tk.run.attempt != attempt) {
			return
		}
	}
	for _, tk := range st.tasks {
		if tk.run != nil || tk.isDone {
			continue
		}
		if wk := al.choose(now, tk, open, ""); wk != nil {
			al.start(now, tk, wk, attempt)
		}
	}
}

// startGang starts all tasks on workers of a rack, or of any for an empty rack.
func (al *Allocator) startGang(now time.Time, st *step, open []*worker, rack string, attempt int) bool {
	held := map[*worker]modeller.Resources{}
	chosen := make([]*worker, 0, len(st.tasks))
	undo := func() {
		for wk, resources := range held {
			wk.used = wk.used.Minus(resources)
		}
		for _, wk := range chosen {
			st.perWorker[wk.info.ID]--
		}
	}
	for _, tk := range st.tasks {
		wk := al.choose(now, tk, open, rack)
		if wk == nil {
			undo()
			return false
		}
		demand := st.spec.ReservedResources()
		wk.used = wk.used.Plus(demand)
		held[wk] = held[wk].Plus(demand)
		st.perWorker[wk.info.ID]++
		chosen = append(chosen, wk)
	}
	undo()
	for idx, tk := range st.tasks {
		al.start(now, tk, chosen[idx], attempt)
	}
	return true
}

func racksOf(open []*worker) []string {
	var racks []string
	for _, wk := range open {
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
