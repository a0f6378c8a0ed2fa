package provider

import (
	"fmt"
	"slices"
	"time"

	"coltsfootwick.example/shared/jobs/modeller"
)

// Rule is a guarantee that the provider checks.
type Rule string

// The rules.
const (
	// RuleTwice means that a task ran twice at once, or after its acknowledged end.
	RuleTwice Rule = "TWICE"
	// RuleLimit means that a start exceeded the capacity of a worker.
	RuleLimit Rule = "LIMIT"
	// RuleOrder means that a task started before its dependencies or its time.
	RuleOrder Rule = "ORDER"
	// RuleRoute means that a task started on a worker that must not run it.
	RuleRoute Rule = "ROUTE"
	// RuleUnasked means that something started that nobody submitted.
	RuleUnasked Rule = "UNASKED"
	// RuleGang means that a member of a gang waited in vain for the others.
	RuleGang Rule = "GANG"
	// RuleBudget means that a task started after its last permitted failure.
	RuleBudget Rule = "BUDGET"
	// RuleModel means that the provider itself had an error.
	RuleModel Rule = "MODEL"
)

// Violation is a violated guarantee.
type Violation struct {
	// Rule is the guarantee, and At the time of the violation.
	Rule Rule
	At   time.Time
	// Task is the affected task; it is zero if there is none.
	Task modeller.TaskName
	// Detail describes the violation.
	Detail string
}

// String returns the violation in one line.
func (vn Violation) String() string {
	if vn.Task == (modeller.TaskName{}) {
		return fmt.Sprintf("%s: %s", vn.Rule, vn.Detail)
	}
	return fmt.Sprintf("%s: %s %s", vn.Rule, vn.Task, vn.Detail)
}

// recordViolation records a violated guarantee.
func (pv *Provider) recordViolation(rule Rule, task modeller.TaskName, format string, args ...any) {
	pv.reporting.Lock()
	defer pv.reporting.Unlock()
	pv.violations = append(pv.violations, Violation{
		Rule:   rule,
		At:     time.Now(),
		Task:   task,
		Detail: fmt.Sprintf(format, args...),
	})
}

// Violations returns the violations of guarantees found so far.
func (pv *Provider) Violations() []Violation {
	pv.reporting.Lock()
	defer pv.reporting.Unlock()
	return slices.Clone(pv.violations)
}
