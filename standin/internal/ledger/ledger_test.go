package ledger_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/ledger"
	"coltsfootwick.example/standin/internal/target"
)

func ExampleLedger_Judge() {
	lr := ledger.New()
	lr.Add(keyed(answer("r.1")))
	verdict := lr.Judge(reports(execution("r.1"), execution("r.1")))
	fmt.Println(verdict.Violations[0].Kind, verdict.Violations[0].Detail)
	// Output: doubled 2 executions of key "k"
}

func execution(identifier string) target.Execution {
	return target.Execution{
		Identifier: identifier,
		Key:        "k",
		BodyWhole:  true,
		Finished:   true,
		Status:     http.StatusOK,
	}
}

func unfinished(identifier string) target.Execution {
	en := execution(identifier)
	en.Finished = false
	en.Status = 0
	return en
}

func reports(executions ...target.Execution) []target.Report {
	rts := []target.Report{{Target: "a"}, {Target: "b"}}
	for index, en := range executions {
		at := &rts[index%len(rts)]
		at.Executions = append(at.Executions, en)
	}
	return rts
}

func answer(identifier string) ledger.Result {
	return ledger.Answer{
		Status:     http.StatusOK,
		Whole:      true,
		Identifier: identifier,
	}
}

func refusal(requestID string, outcome classifier.Outcome) ledger.Result {
	return ledger.Refusal{
		Status:    http.StatusServiceUnavailable,
		Code:      classifier.QueueFull,
		Outcome:   outcome,
		RequestID: requestID,
	}
}

func loss(reason ledger.LossReason) ledger.Result {
	return ledger.Loss{
		Reason: reason,
	}
}

func repeatable(results ...ledger.Result) ledger.Request {
	rt := ledger.Request{
		Identifier: "r",
		Repeatable: true,
	}
	for index, result := range results {
		rt.Attempts = append(rt.Attempts, ledger.Attempt{
			Identifier: fmt.Sprintf("r.%d", index+1),
			Result:     result,
		})
	}
	return rt
}

func keyed(results ...ledger.Result) ledger.Request {
	rt := repeatable(results...)
	rt.Repeatable = false
	rt.Key = "k"
	return rt
}

func otherKey(en target.Execution, key string) target.Execution {
	en.Key = key
	return en
}

func partialBody(en target.Execution) target.Execution {
	en.BodyWhole = false
	return en
}

func TestViolations(t *testing.T) {
	cut := ledger.Answer{Status: http.StatusOK}
	ran := []target.Execution{execution("r.1")}
	cases := []struct {
		name       string
		request    ledger.Request
		executions []target.Execution
		want       []ledger.Kind
	}{
		{"whole and own", repeatable(answer("r.1")), ran, nil},
		{"stored answer of the first attempt", keyed(loss(ledger.Broken), answer("r.1")), ran, nil},
		{"repeatable ran twice", repeatable(answer("r.2")), []target.Execution{execution("r.1"), execution("r.2")}, nil},
		{"true notRun", repeatable(refusal("r.1", classifier.NotRun)), nil, nil},
		{"unknown", keyed(refusal("r.1", classifier.Unknown)), []target.Execution{unfinished("r.1")}, nil},
		{"true ran", keyed(loss(ledger.Broken), refusal("r.2", classifier.Ran)), ran, nil},
		{"never sent", repeatable(loss(ledger.Unsent), loss(ledger.Unsent)), nil, nil},
		{"crossed", repeatable(answer("q.1")), append(ran, execution("q.1")), []ledger.Kind{ledger.Crossed}},
		{"crossed refusal", repeatable(refusal("q.1", classifier.NotRun)), nil, []ledger.Kind{ledger.Crossed}},
		{"partial", repeatable(cut), ran, []ledger.Kind{ledger.Partial}},
		{"doubled over attempts", keyed(loss(ledger.Broken), answer("r.2")),
			[]target.Execution{execution("r.1"), execution("r.2")}, []ledger.Kind{ledger.Doubled}},
		{"doubled by one attempt, the first unfinished", keyed(answer("r.1")),
			[]target.Execution{unfinished("r.1"), execution("r.1")}, []ledger.Kind{ledger.Doubled}},
		{"doubled without a key", func() ledger.Request { rt := keyed(answer("r.1")); rt.Key = ""; return rt }(),
			[]target.Execution{execution("r.1"), execution("r.1")}, []ledger.Kind{ledger.Doubled}},
		{"doubled with the key lost", keyed(answer("r.1")),
			[]target.Execution{execution("r.1"), otherKey(execution("r.1"), "")}, []ledger.Kind{ledger.Doubled}},
		{"doubled with the identifier lost", keyed(answer("r.1")),
			[]target.Execution{execution("r.1"), execution("")}, []ledger.Kind{ledger.Doubled}},
		{"false notRun", repeatable(refusal("r.1", classifier.NotRun)),
			[]target.Execution{unfinished("r.1")}, []ledger.Kind{ledger.FalseNotRun}},
		{"false ran", keyed(refusal("r.1", classifier.Ran)),
			[]target.Execution{unfinished("r.1")}, []ledger.Kind{ledger.FalseRan}},
		{"lost", repeatable(loss(ledger.TimedOut)), nil, []ledger.Kind{ledger.Lost}},
		{"lost, then never sent", repeatable(loss(ledger.Broken), loss(ledger.Unsent)), nil, []ledger.Kind{ledger.Lost}},
		{"unbacked", repeatable(answer("r.1")), []target.Execution{unfinished("r.1")}, []ledger.Kind{ledger.Unbacked}},
		{"unsound", repeatable(ledger.Unclear{Status: http.StatusBadGateway}), nil, []ledger.Kind{ledger.Unsound}},
		{"partial request", keyed(answer("r.1")),
			[]target.Execution{partialBody(execution("r.1"))}, []ledger.Kind{ledger.PartialRequest}},
	}
	for _, tc := range cases {
		lr := ledger.New()
		lr.Add(tc.request)
		var kinds []ledger.Kind
		for _, vn := range lr.Judge(reports(tc.executions...)).Violations {
			kinds = append(kinds, vn.Kind)
		}
		must.Eq(t, tc.want, kinds, must.Sprint(tc.name))
	}
}

func TestCounts(t *testing.T) {
	lr := ledger.New()
	lr.Add(keyed(
		loss(ledger.Unsent), loss(ledger.Broken), loss(ledger.TimedOut),
		refusal("r.4", classifier.NotRun), refusal("r.5", classifier.Unknown),
	))
	verdict := lr.Judge(reports(execution("r.2")))
	must.SliceEmpty(t, verdict.Violations)
	must.Eq(t, ledger.Verdict{
		Requests:         1,
		Attempts:         5,
		Executions:       1,
		Refused:          map[classifier.Code]int{classifier.QueueFull: 1},
		NotRun:           1,
		Unresolved:       1,
		UnsentAttempts:   1,
		BrokenAttempts:   1,
		BrokenByEntry:    map[netip.AddrPort]int{{}: 1},
		TimedOutAttempts: 1,
		NotRunRepeats:    1,
	}, verdict)
}
