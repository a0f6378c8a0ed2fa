package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// check checks what callers, workers and operators have seen in the play.
func (pl *play) check() {
	for _, text := range pl.stage.Provider().Violations() {
		pl.report("TWICE or LIMIT", "%s", text)
	}
	pl.checkCuts()
	hy := newHistory(pl.stage.Provider().Runs())
	jobs := map[modeller.JobID]*job{}
	for _, jb := range pl.jobs {
		jobs[jb.ID] = jb
		pl.checkAnswers(jb, hy)
		pl.checkCancelled(jb, hy)
	}
	for _, rn := range hy.runs {
		jb := jobs[rn.Task.Job]
		if jb == nil {
			pl.report("UNASKED", "%s of a job that nobody submitted starts at %s", rn.Task, rn.StartedAt.Format(traceTime))
			continue
		}
		pl.checkStart(jb, rn, hy)
	}
	pl.checkWaves()
	pl.checkLogs()
}

// checkCuts checks that no request was cut by planned work.
func (pl *play) checkCuts() {
	for _, ct := range pl.cuts {
		held := ct.endedAt.Sub(ct.sentAt)
		isLost := held > lossSlack && !pl.disturbances.hasUnplanned(ct.manager.number, ct.sentAt.Add(-contactTime), ct.endedAt)
		line := fmt.Sprintf("%s %s, sent to %s at %s, was cut %s later: %v", ct.method, ct.path, ct.manager.node.Name, ct.sentAt.Format(traceTime), held, ct.err)
		if isLost {
			pl.report("LOST", "%s", line)
		} else {
			pl.tracef("allowed: %s", line)
		}
	}
}

// checkAnswers checks the states that callers were shown.
func (pl *play) checkAnswers(jb *job, hy history) {
	accepted, isAccepted := jb.accepted()
	for _, as := range jb.answers {
		isCancelled := slices.ContainsFunc(jb.answers, func(other answer) bool {
			return other.method == http.MethodDelete && other.sentAt.Before(as.at)
		})
		switch {
		case as.state == modeller.JobFailed, as.state == modeller.JobCancelled && !isCancelled:
			pl.report("LOST", "job %s is shown as %q at %s", jb.path, as.state, as.at.Format(traceTime))
		case as.state == modeller.JobCompleted:
			pl.checkCompleted(jb, as, hy)
		case as.status == http.StatusGone && isAccepted && !isCancelled && as.sentAt.After(accepted.at.Add(visibleTime)):
			pl.report("LOST", "job %s, accepted at %s, is unknown to %s at %s", jb.path, accepted.at.Format(traceTime), pl.managers[as.manager].node.Name, as.at.Format(traceTime))
		}
	}
}

// checkCompleted checks that all tasks of a job that is shown as completed are done.
func (pl *play) checkCompleted(jb *job, as answer, hy history) {
	for _, name := range jb.tasks() {
		if doneAt, ok := hy.doneAt[name]; !ok || doneAt.After(as.at) {
			pl.report("MIXED", "job %s is shown as completed at %s, but %s isn't done", jb.path, as.at.Format(traceTime), name)
		}
	}
}

// checkStart checks that a run may start.
func (pl *play) checkStart(jb *job, rn provider.Run, hy history) {
	startedAt := rn.StartedAt.Format(traceTime)
	if !jb.mayBeAccepted() {
		pl.report("REFUSED", "%s starts at %s, but all requests to submit its job were refused", rn.Task, startedAt)
	}
	if !slices.Contains(pl.plan.poolsOf(jb.prefix()), rn.Pool) {
		pl.report("ROUTE", "%s starts at %s on %s of pool %s", rn.Task, startedAt, rn.VM, rn.Pool)
	}
	if jb.Occurrences > 0 && rn.StartedAt.Before(jb.dueAt(rn.Task.Occurrence).Add(-earlyTime)) {
		pl.report("ORDER", "%s starts at %s, and is due at %s", rn.Task, startedAt, jb.dueAt(rn.Task.Occurrence).Format(traceTime))
	}
	for _, before := range dependencies(jb, rn.Task) {
		if doneAt, ok := hy.doneAt[before]; !ok || doneAt.After(rn.StartedAt) {
			pl.report("ORDER", "%s starts at %s, before %s is done", rn.Task, startedAt, before)
		}
	}
}

// checkCancelled checks that a cancelled job's tasks neither start nor run on. The
// times are counted from the acknowledgement, and in calm times only.
func (pl *play) checkCancelled(jb *job, hy history) {
	as, ok := jb.find(http.MethodDelete, answer.isSuccess)
	if !ok {
		return
	}
	for _, rn := range hy.runs {
		if rn.Task.Job != jb.ID {
			continue
		}
		calm, isCalm := pl.disturbances.calmSince(rn.StartedAt)
		if isCalm && rn.StartedAt.Sub(calm) > contactTime && rn.StartedAt.Sub(as.at) > cancelTime {
			pl.report("UNASKED", "%s starts at %s, cancelled at %s", rn.Task, rn.StartedAt.Format(traceTime), as.at.Format(traceTime))
		}
		endedAt := rn.EndedAt
		if endedAt.IsZero() {
			endedAt = time.Now()
		}
		calm, isCalm = pl.disturbances.calmSince(endedAt)
		from := latest(as.at, calm.Add(contactTime), rn.StartedAt.Add(contactTime))
		if isCalm && endedAt.Sub(from) > cancelTime+stopGrace {
			pl.report("UNASKED", "%s runs until %s, cancelled at %s, calm since %s", rn.Task, endedAt.Format(traceTime), as.at.Format(traceTime), calm.Format(traceTime))
		}
	}
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// checkWaves checks the VMs in maintenance at once, and the states of the waves.
func (pl *play) checkWaves() {
	maintenances := pl.stage.Provider().Maintenances()
	for _, mt := range pl.plan.Moments {
		if wv, ok := mt.Event.(Wave); ok {
			pl.checkWave(wv, slices.DeleteFunc(slices.Clone(maintenances), func(mn provider.Maintenance) bool { return mn.Wave != wv.Number }))
		}
	}
}

func (pl *play) checkWave(wv Wave, maintenances []provider.Maintenance) {
	for idx, mn := range maintenances {
		down := 0
		for _, other := range maintenances[:idx] {
			if other.EndAt.After(mn.BeganAt) {
				down++
			}
		}
		if down >= wv.Cap {
			pl.report("LIMIT", "%s goes into maintenance of wave %d at %s, while %d other VMs are", mn.VM, wv.Number, mn.BeganAt.Format(traceTime), down)
		}
	}
	if !pl.isCompleted(wv) {
		return
	}
	for _, vm := range wv.VMs {
		if pl.stage.Provider().IsUp(vm) && !slices.ContainsFunc(maintenances, func(mn provider.Maintenance) bool { return mn.VM == vm }) {
			pl.report("MIXED", "wave %d is shown as completed without %s", wv.Number, vm)
		}
	}
}

// isCompleted reports whether a wave is shown as completed.
func (pl *play) isCompleted(wv Wave) bool {
	et, err := pl.stage.Provider().Keeper().Zone("operator").Get(context.Background(), fmt.Sprintf("status/wave/%d", wv.Number))
	if err != nil {
		return false
	}
	var status struct {
		State string `json:"state"`
	}
	return json.Unmarshal(et.Value, &status) == nil && status.State == "completed"
}
