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

// fakeCollector is a StatusCollector whose nodes have revision 5 in force after a
// delay each. A node with a negative delay never answers.
type fakeCollector struct {
	started     time.Time
	delays      map[string]time.Duration
	outageAfter time.Duration
}

// Members implements waiter.StatusCollector.
func (fc *fakeCollector) Members(context.Context) ([]reporter.Member, error) {
	if fc.outageAfter > 0 && time.Since(fc.started) >= fc.outageAfter {
		return nil, errors.New("out")
	}
	var members []reporter.Member
	for _, name := range []string{"fast", "slow", "dead"} {
		if _, ok := fc.delays[name]; ok {
			members = append(members, reporter.Member{
				Name: name,
			})
		}
	}
	return members, nil
}

// Collect implements waiter.StatusCollector.
func (fc *fakeCollector) Collect(_ context.Context, members []reporter.Member) []reporter.StatusResult {
	var answers []reporter.StatusResult
	for _, mb := range members {
		answer := reporter.StatusResult{
			Member: mb,
		}
		delays := fc.delays[mb.Name]
		if delays < 0 {
			answer.Err = errors.New("no answer")
		}
		if time.Since(fc.started) >= delays {
			answer.Status.SettingsRevision = 5
		}
		answers = append(answers, answer)
	}
	return answers
}

func TestWait(t *testing.T) {
	cases := map[string]struct {
		delays      map[string]time.Duration
		outageAfter time.Duration
		timeout     time.Duration
		want        waiter.Tally
		duration    time.Duration
	}{
		"all in force": {
			delays:  map[string]time.Duration{"fast": 0, "slow": 2 * time.Second},
			timeout: time.Minute,
			want: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast", "slow"},
			},
			duration: 2 * time.Second,
		},
		"platform unavailable after the change": {
			delays:      map[string]time.Duration{"fast": 0, "slow": 2 * time.Second},
			outageAfter: time.Nanosecond,
			timeout:     time.Minute,
			want: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast", "slow"},
			},
			duration: 2 * time.Second,
		},
		"a node that never answers": {
			delays:  map[string]time.Duration{"fast": 0, "dead": -1},
			timeout: time.Minute,
			want: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast"},
				Unheard:  []string{"dead"},
			},
			duration: 5 * time.Second,
		},
		"a node behind until the timeout": {
			delays:  map[string]time.Duration{"fast": 0, "slow": time.Hour, "dead": -1},
			timeout: time.Minute,
			want: waiter.Tally{
				Revision: 5,
				InForce:  []string{"fast"},
				Behind:   []string{"slow"},
				Unheard:  []string{"dead"},
			},
			duration: time.Minute,
		},
		"no nodes": {
			timeout: time.Minute,
			want: waiter.Tally{
				Revision: 5,
			},
		},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fc := &fakeCollector{
					started:     time.Now(),
					delays:      cs.delays,
					outageAfter: cs.outageAfter,
				}
				ctx, cancel := context.WithTimeout(t.Context(), cs.timeout)
				defer cancel()
				reports := 0
				wr := waiter.New(fc, waiter.WithProgress(func(waiter.Tally) { reports++ }))
				wr.RefreshMembers(ctx)
				time.Sleep(time.Nanosecond)
				must.Eq(t, cs.want, wr.Wait(ctx, 5))
				must.EqOp(t, cs.duration, time.Since(fc.started).Round(100*time.Millisecond))
				must.LessEq(t, 2, reports)
			})
		})
	}
}
