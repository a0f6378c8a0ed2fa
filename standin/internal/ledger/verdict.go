package ledger

import (
	"net/netip"

	"coltsfootwick.example/shared/process/classifier"
)

// Kind names one kind of violation.
type Kind string

// The kinds of violations.
const (
	// Lost means that a caller was left without any answer to a request that
	// had been sent.
	Lost Kind = "lost"
	// Doubled means that a request that must not be repeated ran twice.
	Doubled Kind = "doubled"
	// Crossed means that a caller got the answer to another request.
	Crossed Kind = "crossed"
	// Partial means that a caller got a part of a body as a complete message.
	Partial Kind = "partial"
	// FalseNotRun means that an attempt was refused as notRun and ran.
	FalseNotRun Kind = "falseNotRun"
	// FalseRan means that an attempt was refused as ran and no execution of
	// its request finished.
	FalseRan Kind = "falseRan"
	// Unbacked means that an answer names an execution that did not finish.
	Unbacked Kind = "unbacked"
	// Unsound means that an answer was neither a target's body nor a problem document.
	Unsound Kind = "unsound"
	// PartialRequest means that a target ran a request whose body was not whole.
	PartialRequest Kind = "partialRequest"
)

// Kinds returns all kinds of violations in the order of reports.
func Kinds() []Kind {
	return []Kind{Lost, Doubled, Crossed, Partial, FalseNotRun, FalseRan, Unbacked, Unsound, PartialRequest}
}

// Violation is one broken promise.
type Violation struct {
	// Kind is what was broken.
	Kind Kind
	// Identifier names the request or the attempt.
	Identifier string
	// Detail says what was seen.
	Detail string
}

// Verdict is what the ledger found.
type Verdict struct {
	// Violations are the broken promises.
	Violations []Violation
	// Requests counts the requests judged.
	Requests int
	// Attempts counts the attempts judged.
	Attempts int
	// Executions counts the executions at the targets that belong to them.
	Executions int
	// Answered counts the requests that ended with a target's own whole answer.
	Answered int
	// Refused counts the requests that ended with a refusal, by code.
	Refused map[classifier.Code]int
	// NotRun counts the attempts refused as notRun.
	NotRun int
	// Unresolved counts the requests that ended with the outcome unknown.
	Unresolved int
	// Unreachable counts the requests for which no entry took a connection.
	Unreachable int
	// UnsentAttempts counts the attempts whose connection was refused.
	UnsentAttempts int
	// BrokenAttempts counts the attempts whose connection broke.
	BrokenAttempts int
	// BrokenReused counts those among them on a connection used before.
	BrokenReused int
	// BrokenByEntry counts the broken attempts by entry.
	BrokenByEntry map[netip.AddrPort]int
	// TimedOutAttempts counts the attempts that the caller stopped waiting for.
	TimedOutAttempts int
	// ExtraExecutions counts the executions above one for each request.
	ExtraExecutions int
	// NotRunRepeats counts the refusals as notRun of a repeat whose key had
	// run through an earlier attempt. The outcome is about the repeat, and the
	// caller keeps what it knows of the earlier attempt.
	NotRunRepeats int
}

// Count returns the number of violations of a kind.
func (vt Verdict) Count(kind Kind) int {
	count := 0
	for _, vn := range vt.Violations {
		if vn.Kind == kind {
			count++
		}
	}
	return count
}

func (vt *Verdict) add(kind Kind, identifier, detail string) {
	vt.Violations = append(vt.Violations, Violation{
		Kind:       kind,
		Identifier: identifier,
		Detail:     detail,
	})
}
