package commander

import (
	"fmt"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsCheckCommand checks a file; it needs no platform.
type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file; - for the standard input."`
}

// Help returns examples.
func (settingsCheckCommand) Help() string {
	return `Checks the whole file and lists every fault with its line. Needs no platform and changes nothing.

Examples:

    cfw settings check settings.toml
    cfw settings check --output json - < settings.toml`
}

// Run implements the command.
func (sc *settingsCheckCommand) Run(se *session) error {
	source, err := se.readSource(sc.File)
	if err != nil {
		return err
	}
	settings, err := configurer.ParseFile(sc.File, source)
	if err != nil {
		return err
	}
	services := plural(len(settings.Services), "service")
	pools := plural(len(settings.Pools), "pool")
	return se.printer.Show(printer.View{
		Above: []string{fmt.Sprintf("%s is valid: organisation %q with %s and %s", sc.File, settings.Organisation, services, pools)},
		Wire: wireCheck{
			File:         sc.File,
			Organisation: settings.Organisation,
			Services:     len(settings.Services),
			Pools:        len(settings.Pools),
		},
	})
}
