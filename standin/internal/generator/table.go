package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"coltsfootwick.example/standin/internal/ledger"
)

// maxViolationsShown bounds the violations that a table lists.
const maxViolationsShown = 20

// WriteTable prints the report for people.
func WriteTable(out io.Writer, report Report) error {
	if err := writeStatistics(out, report.Statistics); err != nil {
		return err
	}
	if err := writeVerdict(out, report); err != nil {
		return err
	}
	return writeViolations(out, report.Verdict.Violations)
}

func writeViolations(out io.Writer, violations []ledger.Violation) error {
	shown := violations[:min(len(violations), maxViolationsShown)]
	for _, vn := range shown {
		if _, err := fmt.Fprintf(out, "violation %s %s: %s\n", vn.Kind, vn.Identifier, vn.Detail); err != nil {
			return err
		}
	}
	if hidden := len(violations) - len(shown); hidden > 0 {
		_, err := fmt.Fprintf(out, "and %d more violations\n", hidden)
		return err
	}
	return nil
}

func writeStatistics(out io.Writer, summary []Statistics) error {
	table := newTable(out)
	table.Header("service", "work", "requests", "answered", "refused",
		"latency median", "p90", "p99", "max", "start delay p99", "max")
	for _, ss := range summary {
		work := "urgent"
		if ss.Long {
			work = "long"
		}
		err := table.Append(ss.Service, work, strconv.Itoa(ss.Requests), strconv.Itoa(ss.Answered), strconv.Itoa(ss.Refused),
			rounded(ss.Latency.Median), rounded(ss.Latency.P90), rounded(ss.Latency.P99), rounded(ss.Latency.Max),
			rounded(ss.StartDelay.P99), rounded(ss.StartDelay.Max))
		if err != nil {
			return err
		}
	}
	return table.Render()
}

func writeVerdict(out io.Writer, report Report) error {
	vt := report.Verdict
	rows := [][]any{
		{"requests", vt.Requests},
		{"not sent", report.NotSent},
		{"attempts", vt.Attempts},
		{"executions", vt.Executions},
		{"answered", vt.Answered},
		{"refused as notRun", vt.NotRun},
		{"unresolved", vt.Unresolved},
		{"unreachable", vt.Unreachable},
		{"unsent attempts", vt.UnsentAttempts},
		{"broken attempts", vt.BrokenAttempts},
		{"timed out attempts", vt.TimedOutAttempts},
		{"extra executions", vt.ExtraExecutions},
		{"notRun repeats", vt.NotRunRepeats},
	}
	for _, code := range slices.Sorted(maps.Keys(vt.Refused)) {
		rows = append(rows, []any{"refused " + code.String(), vt.Refused[code]})
	}
	for _, kind := range ledger.Kinds() {
		rows = append(rows, []any{"violations " + string(kind), vt.Count(kind)})
	}
	table := newTable(out)
	table.Header("count of", "value")
	if err := table.Bulk(rows); err != nil {
		return err
	}
	return table.Render()
}

// newTable returns a table whose header stands as it is written.
func newTable(out io.Writer) *tablewriter.Table {
	return tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
}

func rounded(length time.Duration) string {
	return length.Round(100 * time.Microsecond).String()
}
