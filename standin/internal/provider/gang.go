package provider

import (
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/executor"
)

// gangKey identifies an attempt of a gang.
type gangKey struct {
	step    string
	attempt int
}

// gang is an attempt of a gang: the members that run.
type gang struct {
	members map[modeller.TaskName]*vm
	// checkpoint is the checkpoint that the members resume from.
	checkpoint string
}

// joinGang adds a member that a worker has started to its gang, which begins its
// work once all members wait for it.
func (pv *Provider) joinGang(machine *vm, name modeller.TaskName, attempt int, checkpoint string) {
	_, st, ok := pv.step(name)
	if !ok || !st.IsGang {
		return
	}
	key := gangKey{
		step:    name.StepName(),
		attempt: attempt,
	}
	gg := pv.gangs[key]
	if gg == nil {
		gg = &gang{
			members:    map[modeller.TaskName]*vm{},
			checkpoint: checkpoint,
		}
		pv.gangs[key] = gg
	}
	if checkpoint != gg.checkpoint {
		pv.recordViolation(RuleUnasked, name, "attempt %d starts with checkpoint %q, another member with %q", attempt, checkpoint, gg.checkpoint)
	}
	gg.members[name] = machine
	if len(gg.members) < st.Count {
		return
	}
	var members []executor.Member
	for task, other := range gg.members {
		if !other.worker.IsWaiting(task, attempt) {
			return
		}
		members = append(members, executor.Member{
			Executor: other.worker,
			Task:     task,
		})
	}
	pv.counts.Gangs++
	executor.Assemble(time.Now(), members)
}

// endGang ends the other members of a gang after the end of one.
func (pv *Provider) endGang(end modeller.End) {
	kind := modeller.EndGangBroken
	if end.Kind == modeller.EndDone {
		kind = modeller.EndDone
	}
	pv.endMembers(gangKey{
		step:    end.Task.StepName(),
		attempt: end.Attempt,
	}, kind)
}

// breakGangs ends the other members of the gangs of a worker that has stopped.
func (pv *Provider) breakGangs(machine *vm) {
	for key, gg := range pv.gangs {
		for _, member := range gg.members {
			if member == machine {
				pv.endMembers(key, modeller.EndGangBroken)
				break
			}
		}
	}
}

// endMembers ends the members of a gang that still run.
func (pv *Provider) endMembers(key gangKey, kind modeller.EndKind) {
	gg := pv.gangs[key]
	if gg == nil {
		return
	}
	// The ends of the members find no gang, so that they end nothing further.
	delete(pv.gangs, key)
	for task, machine := range gg.members {
		if machine.worker != nil {
			machine.worker.EndMember(time.Now(), task, key.attempt, kind)
		}
	}
}
