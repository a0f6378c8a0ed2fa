// Package ledger judges a run: it compares what each caller got with what the
// targets ran.
package ledger

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/sealer"
	"coltsfootwick.example/standin/internal/target"
)

// Ledger records requests. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests []Request
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{} }

// Add records a request that has ended.
func (lr *Ledger) Add(rt Request) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.requests = append(lr.requests, rt)
}

// Requests returns the requests recorded so far, ordered by identifier.
func (lr *Ledger) Requests() []Request {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	sorted := slices.Clone(lr.requests)
	slices.SortFunc(sorted, func(a, b Request) int { return strings.Compare(a.Identifier, b.Identifier) })
	return sorted
}

// Judge compares the requests with the records of all targets. Executions of
// requests that the ledger does not know are passed over.
func (lr *Ledger) Judge(reports []target.Report) Verdict {
	je := newJudge(reports)
	for _, rt := range lr.Requests() {
		je.request(rt)
	}
	return je.verdict
}

// judge holds the executions in the orders in which they are looked up.
type judge struct {
	byAttempt map[string][]target.Execution
	byRequest map[string][]target.Execution
	byKey     map[string][]target.Execution
	verdict   Verdict
}

func newJudge(reports []target.Report) *judge {
	je := &judge{
		byAttempt: map[string][]target.Execution{},
		byRequest: map[string][]target.Execution{},
		byKey:     map[string][]target.Execution{},
		verdict: Verdict{
			Refused:       map[classifier.Code]int{},
			BrokenByEntry: map[netip.AddrPort]int{},
		},
	}
	for _, report := range reports {
		for _, en := range report.Executions {
			request := sealer.RequestOf(en.Identifier)
			je.byAttempt[en.Identifier] = append(je.byAttempt[en.Identifier], en)
			je.byRequest[request] = append(je.byRequest[request], en)
			if en.Key != "" {
				je.byKey[en.Key] = append(je.byKey[en.Key], en)
			}
		}
	}
	return je
}

func (je *judge) request(rt Request) {
	executions := je.executions(rt)
	je.verdict.Requests++
	je.verdict.Executions += len(executions)
	je.verdict.ExtraExecutions += max(0, len(executions)-1)
	if !rt.Repeatable && len(executions) > 1 {
		je.verdict.add(Doubled, rt.Identifier, fmt.Sprintf("%d executions of key %q", len(executions), rt.Key))
	}
	for _, en := range executions {
		if en.Finished && !en.BodyWhole {
			je.verdict.add(PartialRequest, en.Identifier, "ran with a part of its body")
		}
	}
	for index, at := range rt.Attempts {
		je.attempt(rt, index, at)
	}
	je.end(rt)
}

// executions returns all executions of a request: those of its key, and those
// that lost the key on the way.
func (je *judge) executions(rt Request) []target.Execution {
	found := slices.Clone(je.byRequest[rt.Identifier])
	if rt.Key == "" {
		return found
	}
	for _, en := range je.byKey[rt.Key] {
		if sealer.RequestOf(en.Identifier) != rt.Identifier {
			found = append(found, en)
		}
	}
	return found
}

func (je *judge) attempt(rt Request, index int, at Attempt) {
	je.verdict.Attempts++
	switch result := at.Result.(type) {
	case Answer:
		je.answer(rt, at, result)
	case Refusal:
		je.refusal(rt, index, at, result)
	case Unclear:
		je.verdict.add(Unsound, at.Identifier, fmt.Sprintf("status %d: %s", result.Status, result.Detail))
	case Loss:
		je.loss(at, result)
	}
}

func (je *judge) answer(rt Request, at Attempt, ar Answer) {
	switch {
	case !ar.Whole:
		je.verdict.add(Partial, at.Identifier, fmt.Sprintf("status %d without a right checksum", ar.Status))
	case sealer.RequestOf(ar.Identifier) != rt.Identifier:
		je.verdict.add(Crossed, at.Identifier, "got the answer of "+ar.Identifier)
	case !je.isBacked(ar):
		je.verdict.add(Unbacked, at.Identifier,
			fmt.Sprintf("no execution of %s finished with status %d", ar.Identifier, ar.Status))
	}
}

func (je *judge) isBacked(ar Answer) bool {
	return slices.ContainsFunc(je.byAttempt[ar.Identifier], func(en target.Execution) bool {
		return en.Finished && en.Status == ar.Status
	})
}

func (je *judge) refusal(rt Request, index int, at Attempt, rl Refusal) {
	if rl.RequestID != at.Identifier {
		je.verdict.add(Crossed, at.Identifier, "got the refusal of "+rl.RequestID)
	}
	switch rl.Outcome {
	case classifier.NotRun:
		je.verdict.NotRun++
		if ran := len(je.byAttempt[at.Identifier]); ran > 0 {
			je.verdict.add(FalseNotRun, at.Identifier, fmt.Sprintf("%s said notRun of %d executions", rl.Code, ran))
			return
		}
		if je.hasRun(rt, rt.Attempts[:index]) {
			je.verdict.NotRunRepeats++
		}
	case classifier.Ran:
		if !slices.ContainsFunc(je.executions(rt), func(en target.Execution) bool { return en.Finished }) {
			je.verdict.add(FalseRan, at.Identifier, fmt.Sprintf("%s said ran", rl.Code))
		}
	}
}

func (je *judge) hasRun(rt Request, earlier []Attempt) bool {
	return !rt.Repeatable && slices.ContainsFunc(earlier, func(at Attempt) bool {
		return len(je.byAttempt[at.Identifier]) > 0
	})
}

func (je *judge) loss(at Attempt, ls Loss) {
	switch ls.Reason {
	case Unsent:
		je.verdict.UnsentAttempts++
	case Broken:
		je.verdict.BrokenAttempts++
		je.verdict.BrokenByEntry[at.Entry]++
		if at.Reused {
			je.verdict.BrokenReused++
		}
	case TimedOut:
		je.verdict.TimedOutAttempts++
	}
}

// end counts how the request ended for its caller.
func (je *judge) end(rt Request) {
	switch result := rt.Last().Result.(type) {
	case Answer:
		if result.Whole && sealer.RequestOf(result.Identifier) == rt.Identifier {
			je.verdict.Answered++
		}
	case Refusal:
		je.verdict.Refused[result.Code]++
		if result.Outcome == classifier.Unknown {
			je.verdict.Unresolved++
		}
	case Loss:
		je.endLost(rt, result)
	}
}

// endLost tells a request that was never sent from one without an answer.
func (je *judge) endLost(rt Request, last Loss) {
	for _, at := range rt.Attempts {
		if ls, lost := at.Result.(Loss); !lost || ls.Reason != Unsent {
			je.verdict.add(Lost, rt.Identifier, fmt.Sprintf("%s after %d attempts: %s",
				last.Reason, len(rt.Attempts), last.Detail))
			return
		}
	}
	je.verdict.Unreachable++
}
