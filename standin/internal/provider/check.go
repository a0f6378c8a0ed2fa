package provider

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// maxEarliness is how long before its time an occurrence may start.
const maxEarliness = 250 * time.Millisecond

// unit is what the checks record of a task, or of a gang.
type unit struct {
	starts []time.Time
	// ends are the ends that were done or failed.
	ends []*unitEnd
	// checkpoints are the checkpoints that workers have reported.
	checkpoints map[string]bool
}

// unitEnd is the end of a run.
type unitEnd struct {
	at          time.Time
	machine     *vm
	incarnation int
	end         modeller.End
	// isAcknowledged is true once a poll has acknowledged the end.
	isAcknowledged bool
}

// unit returns the record of a task. The members of a gang share one.
func (pv *Provider) unit(name modeller.TaskName) *unit {
	if _, st, ok := pv.step(name); ok && st.IsGang {
		name.Index = 0
	}
	ut := pv.units[name]
	if ut == nil {
		ut = &unit{
			checkpoints: map[string]bool{},
		}
		pv.units[name] = ut
	}
	return ut
}

// isDone reports whether a run has ended as done.
func (ut *unit) isDone() bool {
	for _, ue := range ut.ends {
		if ue.end.Kind == modeller.EndDone {
			return true
		}
	}
	return false
}

// acknowledgedFailures returns the number of attempts whose failure was acknowledged
// and happened before a time.
func (ut *unit) acknowledgedFailures(before time.Time) int {
	attempts := map[int]bool{}
	for _, ue := range ut.ends {
		if ue.end.Kind == modeller.EndFailed && ue.isAcknowledged && ue.at.Before(before) {
			attempts[ue.end.Attempt] = true
		}
	}
	return len(attempts)
}

// recordEnd records the end of a run on an incarnation of a VM's worker.
func (pv *Provider) recordEnd(machine *vm, incarnation int, end modeller.End) {
	machine.endRun(end.Task, end.Kind)
	if end.Kind == modeller.EndDone || end.Kind == modeller.EndFailed {
		ut := pv.unit(end.Task)
		ut.ends = append(ut.ends, &unitEnd{
			at:          time.Now(),
			machine:     machine,
			incarnation: incarnation,
			end:         end,
		})
	}
	if ej := pv.expected[end.Task.Job]; end.Kind == modeller.EndGangIncomplete && (ej == nil || !ej.isCancelled) {
		pv.recordViolation(RuleGang, end.Task, "attempt %d waited in vain for the others on %s", end.Attempt, machine.name)
	}
	pv.endGang(end)
}

// recordCheckpoints records the checkpoints that a report shows.
func (pv *Provider) recordCheckpoints(report modeller.Report) {
	for _, rn := range report.Running {
		pv.unit(rn.Task).checkpoints[rn.Checkpoint] = true
	}
	for _, end := range report.Ended {
		pv.unit(end.Task).checkpoints[end.Checkpoint] = true
	}
}

// recordAcknowledged records the ends that a poll has acknowledged, of those that
// were listed before. An end doesn't count if the lease has expired since.
func (pv *Provider) recordAcknowledged(machine *vm, listed []modeller.End, acknowledged int64) {
	for _, end := range listed {
		if end.Number > acknowledged {
			continue
		}
		for _, ue := range pv.unit(end.Task).ends {
			if ue.machine == machine && ue.incarnation == machine.incarnation && ue.end.Number == end.Number && !machine.worker.LeaseExpiredSince(ue.at) {
				pv.acknowledge(ue)
				if rn := machine.done[end.Task]; rn != nil {
					rn.IsAcknowledged = true
				}
			}
		}
	}
}

// acknowledge marks an end as acknowledged, and checks the starts after it.
func (pv *Provider) acknowledge(ue *unitEnd) {
	if ue.isAcknowledged {
		return
	}
	ue.isAcknowledged = true
	name := ue.end.Task
	ut := pv.unit(name)
	if ue.end.Kind == modeller.EndDone {
		pv.counts.Done++
	}
	for _, startedAt := range ut.starts {
		if !startedAt.After(ue.at) {
			continue
		}
		if ue.end.Kind == modeller.EndDone {
			pv.recordRepeated(name)
			continue
		}
		pv.checkBudget(name, startedAt)
	}
}

// recordRepeated records that a task was started after its acknowledged end.
func (pv *Provider) recordRepeated(name modeller.TaskName) {
	if _, st, _ := pv.step(name); !st.IsSpeculative {
		pv.recordViolation(RuleTwice, name, "was started after its completion, which was acknowledged")
	}
}

// checkStart checks the guarantees after a worker has started a run.
func (pv *Provider) checkStart(machine *vm, name modeller.TaskName, od order) {
	now := time.Now()
	pv.counts.Starts++
	if od.Checkpoint != "" {
		pv.counts.Resumes++
	}
	ut := pv.unit(name)
	for _, ue := range ut.ends {
		if ue.end.Kind == modeller.EndDone && ue.isAcknowledged {
			pv.recordRepeated(name)
			break
		}
	}
	ut.starts = append(ut.starts, now)
	pv.recordStart(machine, name, od.Attempt)
	pv.checkBudget(name, now)
	if used := machine.worker.Used(); !used.FitsIn(machine.capacity) {
		pv.recordViolation(RuleLimit, name, "raises the resource use of %s to %+v, above its capacity", machine.name, used)
	}
	_, st, isExpected := pv.step(name)
	for _, other := range pv.vms {
		if other == machine || other.worker == nil || st.IsSpeculative {
			continue
		}
		other.worker.Advance(now)
		if _, isRunning := other.worker.Runs()[name]; isRunning {
			pv.recordViolation(RuleTwice, name, "runs on %s and %s", other.name, machine.name)
		}
	}
	switch {
	case isExpected:
		pv.checkOrigin(name, od)
		pv.checkDependencies(now, name)
		pv.checkPlacement(machine, name)
	case pv.expected != nil:
		pv.recordViolation(RuleUnasked, name, "starts on %s, and nobody submitted it", machine.name)
	}
}

// checkOrigin checks that a start has the payload of its job and a checkpoint of its
// task.
func (pv *Provider) checkOrigin(name modeller.TaskName, od order) {
	if payload := pv.expected[name.Job].job.Payload; od.Spec != payload {
		pv.recordViolation(RuleUnasked, name, "starts with payload %q, not %q", od.Spec, payload)
	}
	if od.Checkpoint != "" && !pv.unit(name).checkpoints[od.Checkpoint] {
		pv.recordViolation(RuleUnasked, name, "starts with checkpoint %q, which no worker has reported for it", od.Checkpoint)
	}
}

// checkDependencies checks that a task starts after its dependencies and not before
// its time.
func (pv *Provider) checkDependencies(now time.Time, name modeller.TaskName) {
	ej, st, _ := pv.step(name)
	if dueAt := ej.job.FirstAt.Add(time.Duration(name.Occurrence) * ej.job.Interval); ej.job.Occurrences > 0 && dueAt.Sub(now) > maxEarliness {
		pv.recordViolation(RuleOrder, name, "starts %s before its occurrence is due", dueAt.Sub(now))
	}
	for _, earlier := range st.DependsOn {
		for index := range ej.job.Steps[earlier].Count {
			before := modeller.TaskName{
				Job:        name.Job,
				Occurrence: name.Occurrence,
				Step:       earlier,
				Index:      index,
			}
			if !pv.unit(before).isDone() {
				pv.recordViolation(RuleOrder, name, "starts before its dependency %s is done", before)
			}
		}
	}
}

// checkPlacement checks that a worker may run a task.
func (pv *Provider) checkPlacement(machine *vm, name modeller.TaskName) {
	ej, st, _ := pv.step(name)
	isRouted := len(pv.queues) == 0
	for _, qu := range pv.queuesOf(ej.job) {
		isRouted = isRouted || qu.Pool == machine.pool
	}
	if !isRouted {
		pv.recordViolation(RuleRoute, name, "starts on %s of pool %s, which has never had its queue", machine.name, machine.pool)
	}
	if wk := machine.worker.Worker(); !wk.HasLabel(st.RequiredLabel) {
		pv.recordViolation(RuleRoute, name, "starts on %s, which doesn't have label %s", machine.name, st.RequiredLabel)
	}
	perWorker := 0
	for other := range machine.worker.Runs() {
		if other.StepName() == name.StepName() {
			perWorker++
		}
	}
	if st.MaxPerWorker > 0 && perWorker > st.MaxPerWorker {
		pv.recordViolation(RuleRoute, name, "is one of %d tasks of its step on %s", perWorker, machine.name)
	}
}

// checkBudget checks that a task that starts at a time may fail once more.
func (pv *Provider) checkBudget(name modeller.TaskName, startedAt time.Time) {
	ej, st, ok := pv.step(name)
	if !ok || st.IsLongRunning || st.IsSpeculative {
		return
	}
	maxAttempts := 0
	for _, qu := range pv.queuesOf(ej.job) {
		maxAttempts = max(maxAttempts, qu.MaxAttempts)
	}
	if failures := pv.unit(name).acknowledgedFailures(startedAt); maxAttempts > 0 && failures >= maxAttempts {
		pv.recordViolation(RuleBudget, name, "starts after %d failures, with at most %d attempts", failures, maxAttempts)
	}
}
