package generator

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/ledger"
)

// Command is the subcommand that sends callers' load and judges the answers.
type Command struct {
	Config string        `help:"TOML file that names zones, services and targets." type:"existingfile" required:""`
	Output string        `help:"Form of the report: table or json." enum:"table,json" default:"table"`
	Length time.Duration `help:"How long requests arrive, in place of the file's value."`
	Seed   uint64        `help:"Seed of arrivals and mixes, in place of the file's value."`
	Settle time.Duration `help:"Time between the last answer and the reading of the targets' records." default:"1s"`
}

// collectTimeout bounds the reading of the targets' records.
const collectTimeout = 10 * time.Second

// Run sends the load, reads the targets' records and prints the verdict. It
// returns an error when a promise was broken or nothing was answered.
func (cd *Command) Run(ctx context.Context) error {
	file, err := ReadFile(cd.Config)
	if err != nil {
		return err
	}
	cg := file.Config
	cd.override(&cg)
	lr := ledger.New()
	gr := New(cg, lr)
	gr.Run(ctx)

	settled := context.WithoutCancel(ctx)
	wait(ctx, cd.Settle)
	settled, cancel := context.WithTimeout(settled, collectTimeout)
	defer cancel()
	reports, err := ledger.Collect(settled, file.Targets)
	if err != nil {
		return err
	}
	report := Report{
		Seed:       cg.Seed,
		Run:        cg.Run,
		NotSent:    gr.NotSent(),
		Verdict:    lr.Judge(reports),
		Statistics: Summarise(lr.Requests(), reports),
	}
	if err := write(os.Stdout, report, cd.Output); err != nil {
		return err
	}
	return report.Err()
}

func (cd *Command) override(cg *Config) {
	if cd.Length > 0 {
		cg.Length = cd.Length
	}
	if cd.Seed > 0 {
		cg.Seed = cd.Seed
	}
	if cg.Run == "" {
		cg.Run = newRun()
	}
}

// newRun returns a random prefix for the identifiers of a run.
func newRun() string {
	random := uuid.New()
	return hex.EncodeToString(random[:4])
}

// Report is what a run of the generator showed.
type Report struct {
	// Seed is the seed of arrivals and mixes.
	Seed uint64
	// Run is the prefix of the run's identifiers.
	Run string
	// NotSent counts the requests held back by MaxOutstanding.
	NotSent int
	// Verdict is what the ledger found.
	Verdict ledger.Verdict
	// Statistics are the times by service and kind of work.
	Statistics []Statistics
}

// Err returns an Internal error when a promise was broken or nothing was answered.
func (rt Report) Err() error {
	if count := len(rt.Verdict.Violations); count > 0 {
		return classifier.New(classifier.Internal, "%d violations, seed %d", count, rt.Seed)
	}
	if rt.Verdict.Answered == 0 {
		return classifier.New(classifier.Internal, "no request was answered, seed %d", rt.Seed)
	}
	return nil
}

func write(out io.Writer, report Report, form string) error {
	if form == "json" {
		data, err := EncodeReport(report)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", data)
		return err
	}
	return WriteTable(out, report)
}
