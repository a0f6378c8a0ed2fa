package provider

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
)

// expectAdvised announces a job of a queue with advice.
func (rg *rig) expectAdvised(ad modeller.Advice) {
	rg.expect(func(job *modeller.Job) { job.Origin.Advice = &ad }, modeller.Step{Count: 2}, modeller.Step{Count: 1})
}

// advise returns the tickets of the first workers of VMs for a step.
func (rg *rig) advise(handler http.Handler, step string, vms ...string) map[string]string {
	rg.t.Helper()
	var ids []string
	for _, name := range vms {
		ids = append(ids, "i-"+name+"-1")
	}
	tickets := map[string]string{}
	an := rg.post(handler, "/advise", map[string]any{"step": step, "workers": ids})
	must.Eq(rg.t, http.StatusOK, an.status)
	for _, row := range an.Good {
		tickets[row[0][2:3]] = row[1]
	}
	return tickets
}

func withTicket(text string) startOption { return func(od *order) { od.Ticket = text } }

func TestATicketPermitsTheTasksOfAStep(t *testing.T) {
	rg := newRig(t)
	rg.expectAdvised(modeller.Advice{Validity: time.Minute})
	tickets := rg.advise(rg.provider.AdviceHandler(), string(jobID)+".0.0", "a", "b")
	must.MapLen(t, 2, tickets)
	rg.mustStart("a", taskText(0, 0), 1, withTicket(tickets["a"]))
	rg.mustStart("a", taskText(0, 1), 1, withTicket(tickets["a"]))
	must.Eq(t, "ticket", rg.start("a", taskText(1, 0), 1, withTicket(tickets["a"])).Reason)
	must.Eq(t, "ticket", rg.start("b", taskText(1, 0), 1, withTicket(tickets["a"])).Reason)
	must.Eq(t, "ticket", rg.start("b", taskText(1, 0), 1).Reason)
	must.Eq(t, 3, rg.provider.Counts().TicketRefusals)
	rg.rules()
}

func TestATicketExpires(t *testing.T) {
	rg := newRig(t)
	rg.expectAdvised(modeller.Advice{Validity: 20 * time.Millisecond})
	tickets := rg.advise(rg.provider.AdviceHandler(), string(jobID)+".0.0", "a")
	time.Sleep(30 * time.Millisecond)
	must.Eq(t, "ticket", rg.start("a", taskText(0, 0), 1, withTicket(tickets["a"])).Reason)
}

func TestATicketEndsWithItsWorker(t *testing.T) {
	rg := newRig(t)
	rg.expectAdvised(modeller.Advice{Validity: time.Minute})
	tickets := rg.advise(rg.provider.AdviceHandler(), string(jobID)+".0.0", "a")
	rg.provider.CrashAndKeepID("a", 0)
	rg.awaitWorker("a", 2)
	must.Eq(t, "ticket", rg.start("a", taskText(0, 0), 1, withTicket(tickets["a"])).Reason)
}

func TestTheSeedDecidesWhichWorkersArePermitted(t *testing.T) {
	verdicts := func(seed uint64) (text string) {
		rg := newRig(t, WithSeed(seed), WithAdvisedShare(0.5))
		rg.expectAdvised(modeller.Advice{Validity: time.Minute})
		handler := rg.provider.AdviceHandler()
		for range 2 {
			permitted := rg.advise(handler, string(jobID)+".0.0", "a", "b", "c")
			must.Positive(t, len(permitted))
			text += fmt.Sprint(len(permitted))
			for _, name := range []string{"a", "b", "c"} {
				text += fmt.Sprint(permitted[name] != "")
			}
		}
		must.Eq(t, text[:len(text)/2], text[len(text)/2:])
		return text
	}
	different := map[string]bool{}
	for seed := range uint64(20) {
		different[verdicts(seed)] = true
		must.Eq(t, verdicts(seed), verdicts(seed))
	}
	must.Greater(t, 3, len(different))
}

func TestAWorkerWithTheLabelOfAStepIsPermitted(t *testing.T) {
	rg := newRig(t, WithAdvisedShare(0))
	for _, name := range []string{"d", "e"} {
		rg.addVM(name, poolName, WithLabels("fast"))
	}
	const steps = 10
	rg.expect(func(job *modeller.Job) {
		job.Origin.Advice = &modeller.Advice{Validity: time.Minute}
		for range steps {
			job.Steps = append(job.Steps, modeller.Step{Count: 1, RequiredLabel: "fast"})
		}
	})
	for number := range steps {
		permitted := rg.advise(rg.provider.AdviceHandler(), fmt.Sprintf("%s.0.%d", jobID, number), "a", "b", "c", "d", "e")
		must.MapLen(t, 1, permitted)
		must.NotEq(t, permitted["d"] == "", permitted["e"] == "")
	}
}

func TestAdviceTakesItsTimeAndItsTurn(t *testing.T) {
	rg := newRig(t)
	rg.expectAdvised(modeller.Advice{DecisionTime: 10 * time.Millisecond, TimePerWorker: 5 * time.Millisecond, Validity: time.Minute})
	handler := rg.provider.AdviceHandler()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		rg.advise(handler, string(jobID)+".0.0", "a", "b")
	}()
	rg.advise(handler, string(jobID)+".0.0", "a", "b")
	<-done
	must.GreaterEq(t, 40*time.Millisecond, time.Since(began))
}
