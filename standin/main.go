// Command standin takes the place of the platform, of the targets and of the
// callers in tests, in the demo and in measurements.
package main

import (
	"context"
	"io"
	"os"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"

	"coltsfootwick.example/standin/internal/abuser"
	"coltsfootwick.example/standin/internal/bencher"
	"coltsfootwick.example/standin/internal/comparer"
	"coltsfootwick.example/standin/internal/demonstrator"
	"coltsfootwick.example/standin/internal/emulator"
	"coltsfootwick.example/standin/internal/generator"
	"coltsfootwick.example/standin/internal/measurer"
	"coltsfootwick.example/standin/internal/platform"
	"coltsfootwick.example/standin/internal/prover"
	"coltsfootwick.example/standin/internal/rehearser"
	"coltsfootwick.example/standin/internal/sloper"
	"coltsfootwick.example/standin/internal/soaker"
	"coltsfootwick.example/standin/internal/target"
)

// commandLine is the command line: one field for each subcommand.
type commandLine struct {
	Platform platform.Command     `cmd:"" help:"Serve the platform's key-value service and VM list."`
	Target   target.Command       `cmd:"" help:"Run one target."`
	Targets  target.GroupCommand  `cmd:"" help:"Run many targets in one process."`
	Load     generator.Command    `cmd:"" help:"Send callers' load and judge the answers."`
	Demo     demonstrator.Command `cmd:"" help:"Run the demo with the programs of ./bin."`
	Jobs     rehearser.Command    `cmd:"" help:"Run the demo of jobs on the users' platform with the programs of ./bin."`
	Emulate  emulator.Command     `cmd:"" help:"Play days of jobs in virtual time and check the promises."`
	Prove    prover.Command       `cmd:"" help:"Run the proofs of what must always hold."`
	Measure  measurer.Command     `cmd:"" help:"Measure the policies of the request path in virtual time."`
	Bench    bencher.Command      `cmd:"" help:"Measure one entry beside direct connections to its targets."`
	Relays   comparer.Command     `cmd:"" help:"Compare ways to relay the settings, in a model."`
	Soak     soaker.Command       `cmd:"" help:"Play random faults against the programs of ./bin and check the guarantees."`
	Abuse    abuser.Command       `cmd:"" help:"Play crowds of uncontrolled clients against a manager of ./bin, and report what it uses."`
	Slopes   sloper.Command       `cmd:"" help:"Measure how the cost of each role grows."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("standin"), kong.Description("Stand-ins for tests, demo and measurement."))
	ctx, cancel := context.WithCancel(context.Background())
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(os.Stdout, (*io.Writer)(nil))

	var commandErr error
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error {
		commandErr = parsed.Run()
		return commandErr
	}, func(error) { cancel() })
	_ = group.Run()
	parsed.FatalIfErrorf(commandErr)
}
