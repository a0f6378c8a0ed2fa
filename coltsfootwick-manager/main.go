// Command coltsfootwick-manager runs on every entry VM. Each manager accepts
// callers' jobs. The manager that holds the scheduler's duty schedules the jobs
// on the workers and the maintenance of the VMs.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"coltsfootwick.example/coltsfootwick-manager/internal/runner"
	_ "coltsfootwick.example/shared/process/ignorer"
)

// commandLine defines the commands of the program.
type commandLine struct {
	Run runCommand `cmd:"" help:"Run until SIGTERM or SIGINT."`
}

// runCommand is the command that runs the manager.
type runCommand struct {
	LogLevel string `help:"Least level of the log: debug, info, warn or error." default:"info"`
}

// Run executes the command.
func (rc runCommand) Run() error { return runner.Run(rc.LogLevel) }

func main() {
	var cl commandLine
	kg := kong.Parse(&cl,
		kong.Name("coltsfootwick-manager"),
		kong.Description("Takes jobs, has them run on workers, and keeps the fleet's VMs maintained."),
		kong.UsageOnError(),
	)
	if err := kg.Run(); err != nil {
		kg.Errorf("%v", err)
		os.Exit(1)
	}
}
