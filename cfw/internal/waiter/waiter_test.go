package waiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"coltsfootwick.example/cfw/internal/waiter"
	"coltsfootwick.example/shared/process/reporter"
)

// surveyor is a fake in which each node takes revision 5 after a time; a node
// with a negative time never answers.
type surveyor struct {
	started time.Time
	after   map[string]time.Duration
	outFrom time.Duration
}

// Members implements waiter.Surveyor.
func (sv *surveyor) Members(context.Context) ([]reporter.Member, error) {
	if sv.outFrom > 0 && time.Since(sv.started) >= sv.outFrom {
		return nil, errors.New("out")
	}
	var members []reporter.Member
	for _, name := range []string{"fast", "slow", "dead"} {
		if _, ok := sv.after[name]; ok {
			members = append(members, reporter.Member{
				Name: name,
			})
		}
	}
	return members, nil
}

// Collect implements waiter.Surveyor.
func (sv *surveyor) Collect(_ context.Context, members []reporter.Member) []reporter.StatusResult {
	var answers []reporter.StatusResult
	for _, mb := range members {
		answer := reporter.StatusResult{
			Member: mb,
		}
		after := sv.after[mb.Name]
		if after < 0 {
			answer.Err = errors.New("no answer")
		}
		if time.Since(sv.started) >= after {
			answer.Status.SettingsRevision = 5
		}
		answers = append(answers, answer)
	}
	return answers
}

func TestWait(t *testing.T) {
	cases := map[string]struct {
		after   map[string]time.Duration
		outFrom time.Duration
		timeout time.Duration
		wanted  waiter.Tally
		ends    time.Duration
	}{
		"all in force": {
			after:   map[string]time.Duration{"fast": 0, "slow": 2 * time.Second},
			timeout: time.Minute,
			wanted: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast", "slow"},
			},
			ends: 2 * time.Second,
		},
		"platform out after the change": {
			after:   map[string]time.Duration{"fast": 0, "slow": 2 * time.Second},
			outFrom: time.Nanosecond,
			timeout: time.Minute,
			wanted: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast", "slow"},
			},
			ends: 2 * time.Second,
		},
		"a node never heard": {
			after:   map[string]time.Duration{"fast": 0, "dead": -1},
			timeout: time.Minute,
			wanted: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast"},
				Unheard:  []string{"dead"},
			},
			ends: 5 * time.Second,
		},
		"a node behind until the timeout": {
			after:   map[string]time.Duration{"fast": 0, "slow": time.Hour, "dead": -1},
			timeout: time.Minute,
			wanted: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast"},
				Behind:   []string{"slow"},
				Unheard:  []string{"dead"},
			},
			ends: time.Minute,
		},
		"no nodes": {
			timeout: time.Minute,
			wanted: waiter.Tally{
				Revision: 5,
			},
		},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sv := &surveyor{
					started: time.Now(),
					after:   cs.after,
					outFrom: cs.outFrom,
				}
				ctx, cancel := context.WithTimeout(t.Context(), cs.timeout)
				defer cancel()
				reports := 0
				wr := waiter.New(sv, waiter.WithProgress(func(waiter.Tally) { reports++ }))
				wr.Learn(ctx)
				time.Sleep(time.Nanosecond)
				must.Eq(t, cs.wanted, wr.Wait(ctx, 5))
				must.EqOp(t, cs.ends, time.Since(sv.started).Round(100*time.Millisecond))
				must.LessEq(t, 2, reports)
			})
		})
	}
}
