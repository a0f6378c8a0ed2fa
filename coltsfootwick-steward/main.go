// Command coltsfootwick-steward holds fleet duties of its availability zone, each
// under a lease of the platform's service.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	_ "coltsfootwick.example/shared/process/ignorer"
)

// commandLine is the command line of the program.
type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run the steward until SIGTERM or SIGINT."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

func main() {
	var cl commandLine
	kg := kong.Parse(&cl,
		kong.Name("coltsfootwick-steward"),
		kong.Description("Holds fleet duties of its availability zone, such as the directory of targets."),
		kong.UsageOnError(),
	)
	if err := kg.Run(); err != nil {
		kg.Errorf("%v", err)
		os.Exit(1)
	}
}
