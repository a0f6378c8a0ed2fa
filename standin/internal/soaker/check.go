package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// checker checks evidence.
type checker struct {
	evidence
	history  history
	findings []Finding
}

// check returns the violated guarantees.
func check(ev evidence) []Finding {
	ck := &checker{
		evidence: ev,
		history:  newHistory(ev.runs),
	}
	for _, vn := range ck.violations {
		if vn.Rule != provider.RuleGang || ck.isCalm(vn.At, gangWait+contactTime) {
			ck.report(vn.At, string(vn.Rule), "%s %s", vn.Task, vn.Detail)
		}
	}
	for _, ct := range ck.cuts {
		if ct.isLost(ck.disturbances) {
			ck.report(ct.endedAt, "LOST", "%s", ct)
		}
	}
	jobs := map[modeller.JobID]*job{}
	for _, jb := range ck.jobs {
		jobs[jb.ID] = jb
		ck.checkAnswers(jb)
	}
	for _, rn := range ck.runs {
		jb := jobs[rn.Task.Job]
		if jb == nil {
			// The stand-in reports it.
			continue
		}
		if !jb.mayBeAccepted() {
			ck.report(rn.StartedAt, "REFUSED", "%s starts, but all requests to submit its job were refused", rn.Task)
		}
		if at, ok := ck.cancelledAt(jb); ok {
			ck.checkCancelled(rn, at)
		}
	}
	for _, mt := range ck.plan.Moments {
		if wv, ok := mt.Event.(Wave); ok {
			ck.checkWave(wv)
		}
	}
	return ck.findings
}

func (ck *checker) report(at time.Time, rule, format string, args ...any) {
	ck.findings = append(ck.findings, Finding{
		At:   at,
		Rule: rule,
		Text: fmt.Sprintf(format, args...),
	})
}

// isLost reports whether nothing but planned work can have cut the request.
func (ct cut) isLost(ds *disturbances) bool {
	return ct.endedAt.Sub(ct.sentAt) > lossSlack && !ds.hasUnplanned(ct.manager, ct.sentAt.Add(-contactTime), ct.endedAt)
}

// String returns the cut as findings show it.
func (ct cut) String() string {
	return fmt.Sprintf("%s %s, sent to manager %d at %s, is cut %s later: %v", ct.method, ct.path, ct.manager, ct.sentAt.Format(traceTime), ct.endedAt.Sub(ct.sentAt), ct.err)
}

// checkAnswers checks the states that callers were shown.
func (ck *checker) checkAnswers(jb *job) {
	accepted, isAccepted := jb.accepted()
	for _, as := range jb.answers {
		isCancelled := slices.ContainsFunc(jb.answers, func(other answer) bool {
			return other.method == http.MethodDelete && other.sentAt.Before(as.at)
		})
		switch {
		case as.state == modeller.JobFailed, as.state == modeller.JobCancelled && !isCancelled:
			ck.report(as.at, "LOST", "job %s is shown as %q without cause", jb.path, as.state)
		case as.state == modeller.JobCompleted:
			ck.checkCompleted(jb, as.at)
		case as.status == http.StatusGone && isAccepted && !isCancelled && as.sentAt.After(accepted.at.Add(visibleTime)):
			ck.report(as.at, "LOST", "job %s, accepted at %s, is unknown to manager %d", jb.path, accepted.at.Format(traceTime), as.manager)
		}
	}
}

// checkCompleted checks that all tasks of a job are done when it is shown as
// completed.
func (ck *checker) checkCompleted(jb *job, at time.Time) {
	for _, name := range jb.tasks() {
		if !ck.history.isDoneBy(jb, name, at) {
			ck.report(at, "MIXED", "job %s is shown as completed, but %s isn't done", jb.path, name)
		}
	}
}

// isCalm reports whether nothing was disturbed at a time and for a span before it.
func (ck *checker) isCalm(at time.Time, span time.Duration) bool {
	since, isCalm := ck.disturbances.calmSince(at)
	return isCalm && at.Sub(since) > span
}

// checkCancelled checks that a task of a cancelled job neither starts nor runs on.
// Both bounds hold in calm times.
func (ck *checker) checkCancelled(rn provider.Run, cancelledAt time.Time) {
	if ck.isCalm(rn.StartedAt, contactTime) && rn.StartedAt.Sub(cancelledAt) > cancelTime {
		ck.report(rn.StartedAt, "UNASKED", "%s starts, but its job was cancelled at %s", rn.Task, cancelledAt.Format(traceTime))
	}
	endedAt := rn.EndedAt
	if endedAt.IsZero() {
		endedAt = ck.endedAt
	}
	calm, isCalm := ck.disturbances.calmSince(endedAt)
	from := slices.MaxFunc([]time.Time{cancelledAt, calm.Add(contactTime), rn.StartedAt.Add(contactTime)}, time.Time.Compare)
	if isCalm && endedAt.Sub(from) > cancelTime+stopGrace {
		ck.report(endedAt, "UNASKED", "%s still runs, but its job was cancelled at %s, and all is calm since %s", rn.Task, cancelledAt.Format(traceTime), calm.Format(traceTime))
	}
}

// checkWave checks how many VMs a wave has in maintenance at once, and its state.
func (ck *checker) checkWave(wv Wave) {
	var endTimes []time.Time
	maintained := map[string]bool{}
	for _, mn := range ck.maintenances {
		if mn.Wave != wv.Number {
			continue
		}
		endTimes = slices.DeleteFunc(endTimes, func(at time.Time) bool { return !at.After(mn.BeganAt) })
		if len(endTimes) >= wv.Cap {
			ck.report(mn.BeganAt, "LIMIT", "%s goes into maintenance of wave %d with %d others", mn.VM, wv.Number, len(endTimes))
		}
		endTimes = append(endTimes, mn.EndAt)
		maintained[mn.VM] = true
	}
	for _, vm := range wv.VMs {
		if ck.isCompleted[wv.Number] && ck.isUp[vm] && !maintained[vm] {
			ck.report(ck.endedAt, "MIXED", "wave %d is shown as completed without %s", wv.Number, vm)
		}
	}
}
