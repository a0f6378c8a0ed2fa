package provider

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// expectGang announces a gang of two.
func (rg *rig) expectGang() {
	rg.expect(nil, modeller.Step{
		Count:           2,
		IsGang:          true,
		IsCheckpointing: true,
	})
}

func TestMembersOfAGangEndTogether(t *testing.T) {
	rg := newRig(t)
	rg.expectGang()
	rg.mustStart("a", taskText(0, 0), 1)
	time.Sleep(200 * time.Millisecond)
	must.SliceEmpty(t, rg.poll("a", 0).Ended)
	rg.mustStart("b", taskText(0, 1), 1)
	for vm, name := range map[string]string{"a": taskText(0, 0), "b": taskText(0, 1)} {
		_, kind, _ := rg.awaitEnd(vm, name, 1)
		must.Eq(t, "done", kind)
	}
	must.Eq(t, 1, rg.provider.Counts().Gangs)
	rg.rules()
}

func TestAMemberThatWaitsInVainViolatesItsRule(t *testing.T) {
	rg := newRig(t, WithGangWait(50*time.Millisecond))
	rg.expectGang()
	rg.mustStart("a", taskText(0, 0), 1)
	_, kind, _ := rg.awaitEnd("a", taskText(0, 0), 1)
	must.Eq(t, "alone", kind)
	rg.rules(RuleGang)
}

func TestAMemberOfACancelledJobMayWaitInVain(t *testing.T) {
	rg := newRig(t, WithGangWait(50*time.Millisecond))
	rg.expectGang()
	rg.mustStart("a", taskText(0, 0), 1)
	rg.provider.ExpectCancel(jobID)
	rg.awaitEnd("a", taskText(0, 0), 1)
	rg.rules()
}

func TestAGangBreaksWithAMember(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(rg *rig)
	}{
		{"stop", func(rg *rig) {
			rg.post(rg.handlers["b"], "/run-stop", order{Task: taskText(0, 1), Attempt: 1, FencingToken: 1})
		}},
		{"crash", func(rg *rig) { rg.provider.Crash("b", time.Hour) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			rg := newRig(t)
			rg.expect(isLong, modeller.Step{Count: 2, IsGang: true})
			rg.mustStart("a", taskText(0, 0), 1)
			rg.mustStart("b", taskText(0, 1), 1)
			test.end(rg)
			_, kind, _ := rg.awaitEnd("a", taskText(0, 0), 1)
			must.Eq(t, "broken", kind)
			rg.rules()
		})
	}
}

func TestAGangThatFailedMayBeStartedAgain(t *testing.T) {
	rg := newRig(t)
	rg.expectGang()
	rg.provider.SetWorkerFaults("b", FailingRuns{Share: 1})
	for attempt := 1; attempt <= 3; attempt++ {
		rg.mustStart("a", taskText(0, 0), attempt)
		rg.mustStart("b", taskText(0, 1), attempt)
		number, kind, _ := rg.awaitEnd("b", taskText(0, 1), attempt)
		must.Eq(t, "failed", kind)
		rg.poll("b", number)
		number, kind, _ = rg.awaitEnd("a", taskText(0, 0), attempt)
		must.Eq(t, "broken", kind)
		rg.poll("a", number)
	}
	// The gang may fail twice; both members start a third time.
	rg.rules(RuleBudget, RuleBudget)
}

func TestOneEndOfAGangRepresentsAll(t *testing.T) {
	rg := newRig(t)
	rg.expectGang()
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 1), 1)
	number, _, _ := rg.awaitEnd("a", taskText(0, 0), 1)
	rg.poll("a", number)
	rg.mustStart("c", taskText(0, 1), 2)
	rg.rules(RuleTwice)
}

func TestMembersOfAGangCarryTheSameCheckpoint(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 2, IsGang: true, IsCheckpointing: true})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 1), 1)
	time.Sleep(150 * time.Millisecond)
	rg.post(rg.handlers["a"], "/run-stop", order{Task: taskText(0, 0), Attempt: 1, FencingToken: 1})
	_, kind, checkpoint := rg.awaitEnd("b", taskText(0, 1), 1)
	must.Eq(t, "broken", kind)
	must.NotEq(t, "", checkpoint)
	withCheckpoint := func(od *order) { od.Checkpoint = checkpoint }
	rg.mustStart("a", taskText(0, 0), 2, withCheckpoint)
	rg.mustStart("b", taskText(0, 1), 2, withCheckpoint)
	rg.rules()
	must.Eq(t, 2, rg.provider.Counts().Resumes)
	rg.provider.Crash("a", time.Hour)
	rg.mustStart("c", taskText(0, 0), 3, withCheckpoint)
	rg.awaitEnd("b", taskText(0, 1), 2)
	rg.mustStart("b", taskText(0, 1), 3)
	rg.rules(RuleUnasked)
}
