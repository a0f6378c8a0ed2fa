// Package demonstrator runs the demo: all programs as processes on loopback
// addresses, callers' load, faults, and a check of what the callers saw.
package demonstrator

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/supervisor"
)

// timeout bounds the whole demo.
const timeout = 58 * time.Second

// Command is the subcommand that runs the demo.
type Command struct {
	Bin    string        `help:"Directory of the programs." type:"existingdir" default:"bin"`
	Length time.Duration `help:"How long the callers send requests." default:"22s"`
	Seed   uint64        `help:"Seed of load and service times." default:"1"`
	Keep   bool          `help:"Keep the directory of settings files and logs also when all passed."`
}

// Run runs the demo and prints its closing line, which counts steps. It returns
// an error when a step failed.
func (cd *Command) Run(ctx context.Context) error {
	files, err := os.MkdirTemp("", "coltsfootwick-demo-")
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "make a directory")
	}
	lt, err := newLayout(cd.Seed, cd.Length)
	if err != nil {
		return err
	}
	if err := lt.writeFiles(files); err != nil {
		return err
	}
	se := &stage{
		out:        os.Stdout,
		binaries:   cd.Bin,
		files:      files,
		layout:     lt,
		supervisor: supervisor.New(files),
		nodes:      map[string]*supervisor.Child{},
	}
	defer se.supervisor.KillAll()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sc := perform(ctx, se, slices.Concat(startSteps(), fleetSteps(), faultSteps(), fleetVerdictSteps(), verdictSteps()))
	return cd.close(se, sc)
}

// close prints what callers saw and the closing line, and removes the files
// unless they are needed to look into a failure.
func (cd *Command) close(se *stage, sc score) error {
	if se.report.Verdict.Requests > 0 {
		if err := generator.WriteTable(se.out, se.report); err != nil {
			return err
		}
	}
	if cd.Keep || sc.failed > 0 {
		fmt.Printf("settings files and logs: %s\n", se.files)
	} else {
		_ = os.RemoveAll(se.files)
	}
	fmt.Printf("%d passed, %d failed\n", sc.passed, sc.failed)
	if sc.failed > 0 {
		return classifier.New(classifier.Internal, "the demo failed, seed %d", cd.Seed)
	}
	return nil
}
