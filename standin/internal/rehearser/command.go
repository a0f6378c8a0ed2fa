// Package rehearser runs the demo of jobs: managers as processes against the
// stand-in of the users' platform, callers that submit jobs, a killed scheduler,
// VMs that move and a maintenance wave, and a check of what the callers saw.
package rehearser

import (
	"context"
	"fmt"
	"os"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// timeout bounds the whole demo.
const timeout = 55 * time.Second

// Command is the subcommand that runs the demo of jobs.
type Command struct {
	Bin       string `help:"Directory of the programs." type:"existingdir" default:"bin"`
	Jobs      int    `help:"How many jobs are submitted." default:"60"`
	HandOvers bool   `help:"Freeze and kill keepers and the scheduler's node, instead of the demo's other steps."`
	Keep      bool   `help:"Keep the directory of settings files and logs also when all passed."`
}

// Run runs the demo and prints its closing line, which counts steps. It returns
// an error when a step failed.
func (cd *Command) Run(ctx context.Context) error {
	files, err := os.MkdirTemp("", "coltsfootwick-jobs-")
	if err != nil {
		return classifier.Wrap(err, classifier.Internal, "make a directory")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	se, err := newStage(files, cd.Bin, cd.Jobs)
	if err != nil {
		return err
	}
	defer se.Close()
	passed, failed := 0, 0
	for _, st := range cd.steps() {
		began := time.Now()
		if err := st.run(ctx, se); err != nil {
			failed++
			fmt.Printf("failed  %s: %v\n", st.name, err)
			break
		}
		passed++
		fmt.Printf("passed  %s (%.1f s)\n", st.name, time.Since(began).Seconds())
	}
	se.printReport(os.Stdout)
	if cd.Keep || failed > 0 {
		fmt.Printf("settings files and logs: %s\n", files)
	} else {
		_ = os.RemoveAll(files)
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return classifier.New(classifier.Internal, "the demo of jobs failed")
	}
	return nil
}

func (cd *Command) steps() []step {
	if cd.HandOvers {
		return handOverSteps()
	}
	return demoSteps()
}
