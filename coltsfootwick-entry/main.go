// Command coltsfootwick-entry accepts callers' HTTP requests, admits and queues
// them, sends them to the targets of its availability zone, and returns the
// answers.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	_ "coltsfootwick.example/shared/process/ignorer"
)

// commandLine is the command line of the program.
type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run the entry until SIGTERM or SIGINT."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	var cl commandLine
	kg := kong.Parse(&cl,
		kong.Name("coltsfootwick-entry"),
		kong.Description("Takes callers' requests and sends them to targets."),
		kong.UsageOnError(),
	)
	if err := kg.Run(); err != nil {
		kg.Errorf("%v", err)
		os.Exit(1)
	}
}
