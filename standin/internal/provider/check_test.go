package provider

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

func TestRunsInOrderViolateNothing(t *testing.T) {
	rg := newRig(t)
	rg.expect(nil, modeller.Step{Count: 2}, modeller.Step{Count: 1, DependsOn: []int{0}})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 1), 1)
	rg.awaitEnd("a", taskText(0, 0), 1)
	rg.awaitEnd("b", taskText(0, 1), 1)
	rg.mustStart("c", taskText(1, 0), 1)
	number, kind, _ := rg.awaitEnd("c", taskText(1, 0), 1)
	must.Eq(t, "done", kind)
	rg.poll("c", number)
	must.Eq(t, 1, rg.provider.Counts().Done)
	must.Eq(t, 3, rg.provider.Counts().Starts)
	rg.rules()
}

func TestATaskMustNotRunTwice(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 1})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 0), 2)
	rg.rules(RuleTwice)
}

func TestASpeculativeTaskMayRunTwice(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 1, IsSpeculative: true})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 0), 2)
	rg.rules()
}

func TestATaskMustNotRunAfterItsAcknowledgedEnd(t *testing.T) {
	for _, test := range []struct {
		name               string
		isAcknowledgedLate bool
	}{{"acknowledged before", false}, {"acknowledged later", true}} {
		t.Run(test.name, func(t *testing.T) {
			rg := newRig(t)
			rg.expect(nil, modeller.Step{Count: 1})
			rg.mustStart("a", taskText(0, 0), 1)
			number, _, _ := rg.awaitEnd("a", taskText(0, 0), 1)
			if !test.isAcknowledgedLate {
				rg.poll("a", number)
			}
			rg.mustStart("b", taskText(0, 0), 2)
			if test.isAcknowledgedLate {
				rg.rules()
				rg.poll("a", number)
			}
			rg.rules(RuleTwice)
		})
	}
}

// TestAnEndThatAFencedPollAcknowledgesDoesNotCount guards against violations because
// of a holder whose calls are refused.
func TestAnEndThatAFencedPollAcknowledgesDoesNotCount(t *testing.T) {
	rg := newRig(t)
	rg.expect(nil, modeller.Step{Count: 1})
	rg.mustStart("a", taskText(0, 0), 1)
	number, _, _ := rg.awaitEnd("a", taskText(0, 0), 1)
	rg.fence = 0
	must.Eq(t, "fence", rg.poll("a", number).Reason)
	rg.fence = 1
	rg.provider.Crash("a", time.Hour)
	rg.mustStart("b", taskText(0, 0), 2)
	rg.rules()
}

func TestAStartMustNotExceedTheCapacity(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 2, Demand: modeller.Resources{MilliCores: 3000}})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("a", taskText(0, 1), 1)
	rg.rules(RuleLimit)
}

func TestWorkersOfAPoolMayRefuseOverload(t *testing.T) {
	rg := newRig(t)
	rg.provider.Configure(modeller.Configuration{
		Pools: map[string]modeller.Pool{"guarded": {Name: "guarded", RejectsOverload: true}},
	})
	rg.addVM("d", "guarded")
	rg.expect(func(job *modeller.Job) {
		isLong(job)
		job.Origin.Pool = "guarded"
	}, modeller.Step{Count: 2, Demand: modeller.Resources{MilliCores: 3000}})
	rg.mustStart("d", taskText(0, 0), 1)
	must.Eq(t, "room", rg.start("d", taskText(0, 1), 1).Reason)
	rg.rules()
}

func TestATaskMustNotStartBeforeItsDependencies(t *testing.T) {
	rg := newRig(t)
	rg.expect(nil, modeller.Step{Count: 2}, modeller.Step{Count: 1, DependsOn: []int{0}})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.awaitEnd("a", taskText(0, 0), 1)
	rg.mustStart("c", taskText(1, 0), 1)
	rg.rules(RuleOrder)
}

func TestAnOccurrenceMustNotStartBeforeItsTime(t *testing.T) {
	rg := newRig(t)
	rg.expect(func(job *modeller.Job) {
		job.Occurrences = 2
		job.FirstAt = time.Now()
		job.Interval = time.Hour
	}, modeller.Step{Count: 1})
	rg.mustStart("a", string(jobID)+".0.0.0", 1)
	rg.rules()
	rg.mustStart("b", string(jobID)+".1.0.0", 1)
	rg.rules(RuleOrder)
}

func TestATaskMustStartWhereItsQueueLeads(t *testing.T) {
	rg := newRig(t)
	rg.addVM("d", "other")
	rg.addVM("e", "later")
	queue := func(name, pool string) modeller.Configuration {
		return modeller.Configuration{
			Queues: map[string]modeller.Queue{name: {Name: name, Host: "h", Prefix: "/q/", Pool: pool}},
		}
	}
	rg.provider.Configure(queue(queueName, poolName))
	rg.provider.Configure(queue("renamed", "later"))
	rg.expect(nil, modeller.Step{Count: 3})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("e", taskText(0, 1), 1)
	rg.rules()
	rg.mustStart("d", taskText(0, 2), 1)
	rg.rules(RuleRoute)
}

func TestATaskMustStartOnAWorkerWithItsLabel(t *testing.T) {
	rg := newRig(t)
	rg.addVM("d", poolName, WithLabels("fast", "r2"))
	rg.expect(nil, modeller.Step{Count: 2, RequiredLabel: "fast"})
	rg.mustStart("d", taskText(0, 0), 1)
	rg.rules()
	rg.mustStart("a", taskText(0, 1), 1)
	rg.rules(RuleRoute)
}

func TestTasksPerWorkerAreLimited(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 3, MaxPerWorker: 1})
	rg.mustStart("a", taskText(0, 0), 1)
	rg.mustStart("b", taskText(0, 1), 1)
	rg.rules()
	rg.mustStart("a", taskText(0, 2), 1)
	rg.rules(RuleRoute)
}

func TestOnlySubmittedTasksMayStart(t *testing.T) {
	for _, name := range []string{
		"0000000000000002.0.0.0",
		string(jobID) + ".1.0.0",
		string(jobID) + ".0.1.0",
		string(jobID) + ".0.0.1",
	} {
		rg := newRig(t)
		rg.expect(nil, modeller.Step{Count: 1})
		rg.mustStart("a", name, 1)
		rg.rules(RuleUnasked)
	}
}

func TestATaskMustStartWithItsPayload(t *testing.T) {
	rg := newRig(t)
	rg.expect(nil, modeller.Step{Count: 1})
	rg.mustStart("a", taskText(0, 0), 1, func(od *order) { od.Spec = payloadOf(time.Second) })
	rg.rules(RuleUnasked)
}

func TestATaskMustStartWithItsOwnCheckpoint(t *testing.T) {
	rg := newRig(t)
	rg.expect(isLong, modeller.Step{Count: 2, IsCheckpointing: true})
	rg.mustStart("a", taskText(0, 0), 1)
	time.Sleep(150 * time.Millisecond)
	rg.post(rg.handlers["a"], "/run-stop", order{Task: taskText(0, 0), Attempt: 1, FencingToken: 1})
	_, kind, checkpoint := rg.awaitEnd("a", taskText(0, 0), 1)
	must.Eq(t, "stopped", kind)
	withCheckpoint := func(od *order) { od.Checkpoint = checkpoint }
	rg.mustStart("b", taskText(0, 0), 2, withCheckpoint)
	rg.rules()
	rg.mustStart("c", taskText(0, 1), 1, withCheckpoint)
	rg.rules(RuleUnasked)
}

func TestATaskMustNotStartAfterItsLastAttempt(t *testing.T) {
	rg := newRig(t)
	rg.expect(nil, modeller.Step{Count: 1})
	rg.provider.SetWorkerFaults("a", FailingRuns{Share: 1})
	for attempt := 1; attempt <= 3; attempt++ {
		rg.rules()
		rg.mustStart("a", taskText(0, 0), attempt)
		number, kind, _ := rg.awaitEnd("a", taskText(0, 0), attempt)
		must.Eq(t, "failed", kind)
		if attempt < 3 {
			rg.poll("a", number)
		}
	}
	rg.rules(RuleBudget)
}

func TestStartsAreNotCheckedAgainstSubmissionsUntilOneIsAnnounced(t *testing.T) {
	rg := newRig(t)
	rg.mustStart("a", taskText(0, 0), 1)
	must.Eq(t, http.StatusBadRequest, rg.start("a", taskText(0, 1), 1, func(od *order) { od.Spec = "odd" }).status)
	rg.rules()
}
