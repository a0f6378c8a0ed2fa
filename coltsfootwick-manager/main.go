// Command coltsfootwick-manager runs on every entry VM. It takes callers' jobs,
// and the one that holds the scheduler's duty has them run on the workers and
// the VMs maintained.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"coltsfootwick.example/coltsfootwick-manager/internal/runner"
)

// commandLine is the command line of the program.
type commandLine struct {
	Run runCommand `cmd:"" help:"Run until SIGTERM or SIGINT."`
}

// runCommand runs the manager.
type runCommand struct {
	LogLevel string `help:"Least level of the log: debug, info, warn or error." default:"info"`
}

// Run implements the command.
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
