package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/jobs/modeller"
	"coltsfootwick.example/standin/internal/provider"
)

// began is the time at which the evidence of the tests begins.
var began = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

// at returns a time after the beginning, in seconds.
func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

// twoSteps returns a job of two steps of one task each.
func twoSteps() *job {
	step := modeller.Step{
		Count: 1,
	}
	next := step
	next.DependsOn = []int{0}
	return &job{
		Job: modeller.Job{
			ID:    "1",
			Steps: []modeller.Step{step, next},
		},
		path: "/checks/1",
		answers: []answer{{
			method: http.MethodPost,
			sentAt: at(0),
			at:     at(0.1),
			status: http.StatusOK,
		}},
	}
}

// done returns a run of the only task of a step that ends done.
func done(step int, from, to float64) provider.Run {
	return provider.Run{
		Task: modeller.TaskName{
			Job:  "1",
			Step: step,
		},
		Pool:      "checks",
		StartedAt: at(from),
		EndedAt:   at(to),
		Kind:      modeller.EndDone,
	}
}

func shown(state modeller.JobState, seconds float64) answer {
	return answer{
		method: http.MethodGet,
		sentAt: at(seconds),
		at:     at(seconds),
		status: http.StatusOK,
		state:  state,
	}
}

func cancelled(seconds float64) answer {
	return answer{
		method: http.MethodDelete,
		sentAt: at(seconds),
		at:     at(seconds),
		status: http.StatusOK,
	}
}

// sound returns evidence without a violation.
func sound() evidence {
	jb := twoSteps()
	jb.answers = append(jb.answers, shown(modeller.JobCompleted, 3))
	return evidence{
		plan: Plan{
			Routes: []Route{{
				Prefix: "/checks/",
				Pool:   "checks",
			}},
		},
		jobs:         []*job{jb},
		disturbances: &disturbances{},
		runs:         []provider.Run{done(0, 0.5, 1), done(1, 1.1, 2)},
		endedAt:      at(30),
	}
}

func TestChecksFindViolations(t *testing.T) {
	disturbed := func(db disturbance) *disturbances { return &disturbances{list: []*disturbance{&db}} }
	wave := Wave{
		Number: 1,
		VMs:    []string{"m-1", "m-2"},
		Cap:    1,
	}
	for _, tc := range []struct {
		name   string
		change func(ev *evidence)
		rules  []string
	}{
		{name: "sound", change: func(*evidence) {}},
		{name: "violation of the stand-in", change: func(ev *evidence) {
			ev.violations = []provider.Violation{{Rule: provider.RuleTwice, At: at(1)}}
		}, rules: []string{"TWICE"}},
		{name: "incomplete gang", change: func(ev *evidence) {
			ev.violations = []provider.Violation{{Rule: provider.RuleGang, At: at(9)}}
		}, rules: []string{"GANG"}},
		{name: "incomplete gang near a fault", change: func(ev *evidence) {
			ev.violations = []provider.Violation{{Rule: provider.RuleGang, At: at(9)}}
			ev.disturbances = disturbed(disturbance{from: at(1), to: at(3)})
		}},
		{name: "completed too early", change: func(ev *evidence) { ev.jobs[0].answers[1].at = at(1.9) }, rules: []string{"MIXED"}},
		{name: "completed without a run", change: func(ev *evidence) { ev.runs = ev.runs[:1] }, rules: []string{"MIXED"}},
		{name: "failed", change: func(ev *evidence) { ev.jobs[0].answers[1].state = modeller.JobFailed }, rules: []string{"LOST"}},
		{name: "cancelled by nobody", change: func(ev *evidence) { ev.jobs[0].answers[1].state = modeller.JobCancelled }, rules: []string{"LOST"}},
		{name: "unknown", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = answer{method: http.MethodGet, sentAt: at(3.2), at: at(3.2), status: http.StatusGone}
		}, rules: []string{"LOST"}},
		{name: "unknown before it has to be visible", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = answer{method: http.MethodGet, sentAt: at(3), at: at(3), status: http.StatusGone}
		}},
		{name: "refused", change: func(ev *evidence) { ev.jobs[0].answers[0].status = http.StatusServiceUnavailable }, rules: []string{"REFUSED", "REFUSED"}},
		{name: "perhaps accepted", change: func(ev *evidence) { ev.jobs[0].answers[0].status = http.StatusGatewayTimeout }},
		{name: "start after cancellation", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(1)
			ev.runs[1] = done(1, 4.1, 4.2)
		}, rules: []string{"UNASKED"}},
		{name: "start after cancellation in a fault", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(1)
			ev.runs[1] = done(1, 4.1, 4.2)
			ev.disturbances = disturbed(disturbance{from: at(0.5), to: at(2)})
		}},
		{name: "run after cancellation", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(3)
			ev.runs[1] = done(1, 1.1, 7.5)
		}, rules: []string{"UNASKED"}},
		{name: "run after cancellation until the end", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(3)
			ev.runs[1].EndedAt = time.Time{}
		}, rules: []string{"UNASKED"}},
		{name: "run after a cancellation that was put off", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(3)
			ev.jobs[0].answers[1].status = http.StatusServiceUnavailable
			ev.runs[1] = done(1, 1.1, 11.5)
		}, rules: []string{"UNASKED"}},
		{name: "run after a cancellation without an answer", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = answer{method: http.MethodDelete, sentAt: at(3), at: at(6), isUnanswered: true, isTimedOut: true}
			ev.runs[1].EndedAt = time.Time{}
		}, rules: []string{"UNASKED"}},
		{name: "run until a cancellation that was put off is carried out", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(3)
			ev.jobs[0].answers[1].status = http.StatusServiceUnavailable
			ev.runs[1] = done(1, 1.1, 9.5)
		}},
		{name: "cancellation that was lost with its process", change: func(ev *evidence) {
			ev.jobs[0].answers[1] = cancelled(3)
			ev.jobs[0].answers[1].status = http.StatusServiceUnavailable
			ev.runs[1].EndedAt = time.Time{}
			ev.processEnds = []processEnd{{manager: 0, at: at(4)}}
		}},
		{name: "wave over its cap", change: func(ev *evidence) {
			ev.plan.Moments = []Moment{{Event: wave}}
			ev.maintenances = []provider.Maintenance{{VM: "m-1", Wave: 1, BeganAt: at(1), EndAt: at(2)}, {VM: "m-2", Wave: 1, BeganAt: at(1.9), EndAt: at(3)}}
		}, rules: []string{"LIMIT"}},
		{name: "wave completed too early", change: func(ev *evidence) {
			ev.plan.Moments = []Moment{{Event: wave}}
			ev.maintenances = []provider.Maintenance{{VM: "m-1", Wave: 1, BeganAt: at(1), EndAt: at(2)}}
			ev.isCompleted = map[int64]bool{1: true}
			ev.isUp = map[string]bool{"m-1": true, "m-2": true}
		}, rules: []string{"MIXED"}},
		{name: "request cut by planned work", change: func(ev *evidence) {
			ev.cuts = []cut{{sentAt: at(5), endedAt: at(5.3), err: errors.New("EOF")}}
			ev.disturbances = disturbed(disturbance{isPlanned: true, isProcess: true, from: at(4)})
		}, rules: []string{"LOST"}},
		{name: "request cut within the slack", change: func(ev *evidence) {
			ev.cuts = []cut{{sentAt: at(5), endedAt: at(5.2), err: errors.New("EOF")}}
		}},
		{name: "request cut by a kill", change: func(ev *evidence) {
			ev.cuts = []cut{{sentAt: at(5), endedAt: at(5.3), err: errors.New("EOF")}}
			ev.disturbances = disturbed(disturbance{isProcess: true, from: at(5.25)})
		}},
		{name: "request cut with a slow store", change: func(ev *evidence) {
			ev.cuts = []cut{{sentAt: at(5), endedAt: at(5.3), err: errors.New("EOF")}}
			ev.disturbances = disturbed(disturbance{manager: everyManager, from: at(4)})
		}, rules: []string{"LOST"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ev := sound()
			tc.change(&ev)
			var rules []string
			for _, fd := range check(ev) {
				rules = append(rules, fd.Rule)
			}
			must.Eq(t, tc.rules, rules)
		})
	}
}
