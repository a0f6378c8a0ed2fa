// Package sloper measures how the cost of each role grows: bytes, calls,
// processor time and memory at sizes that double, and the straight lines
// through them. docs/CAPACITY.md multiplies the slopes.
package sloper

import (
	"context"
	"os"
	"time"
)

// Command is the subcommand that measures the slopes.
type Command struct {
	Bin    string        `default:"bin" type:"path" help:"Directory with the programs."`
	Report string        `placeholder:"FILE" help:"Markdown file to write the table to."`
	Window time.Duration `default:"30s" help:"How long programs at rest are watched."`
}

// measurement is one of the measurements, in the order of the report.
type measurement struct {
	title   string
	measure func(ctx context.Context) ([]*series, error)
}

func (cd *Command) measurements() []measurement {
	return []measurement{
		{title: "Records and decisions of one availability zone", measure: measureRecords},
		{title: "Settings", measure: measureSettings},
		{title: "Entry: decisions and memory", measure: measureSchedulers},
		{title: "Processes at rest, an entry and a steward in each zone", measure: cd.measureProcesses},
		{title: "Journal of requests that run at most once", measure: measureJournal},
		{title: "Messages among peers", measure: measurePeers},
	}
}

// Run measures, prints a line for each slope and writes the report.
func (cd *Command) Run(ctx context.Context) error {
	rt := &report{}
	for _, mt := range cd.measurements() {
		list, err := mt.measure(ctx)
		if err != nil {
			return err
		}
		rt.add(mt.title, list)
		if err := printLines(os.Stdout, list); err != nil {
			return err
		}
	}
	if cd.Report == "" {
		return nil
	}
	const mode = 0o644
	return os.WriteFile(cd.Report, rt.markdown(), mode)
}
