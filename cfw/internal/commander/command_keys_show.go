package commander

import (
	"fmt"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/peers/certifier"
)

// keysShowCommand shows certificates; it needs no platform.
type keysShowCommand struct {
	Files []string `arg:"" type:"path" help:"Certificate files."`
}

// Help returns examples.
func (keysShowCommand) Help() string {
	return `Shows whom certificates name and until when they are valid. Warns of those that are not valid, or not for long: 30 days, or a third of their time if that is less. Needs no platform and reads no secret key.

Examples:

    cfw keys show keys/entry-a1.crt
    cfw keys show --output json keys/*.crt`
}

// Run implements the command.
func (ks *keysShowCommand) Run(se *session) error {
	view := printer.View{
		Header: []string{"NAME", "ROLE", "ZONE", "ORGANISATION", "UNTIL", "WARNING"},
	}
	wires := []wireCertificate{}
	warnings := 0
	for _, file := range ks.Files {
		certificate, err := certifier.ReadCertificate(file)
		if err != nil {
			return err
		}
		wire := newWireCertificate(file, certificate, se.now())
		wires = append(wires, wire)
		view.Rows = append(view.Rows, []string{wire.Name, wire.Role, wire.Zone, wire.Organisation, timeText(wire.Until), wire.Warning})
		if wire.Warning != "" {
			warnings++
		}
	}
	if warnings > 0 {
		view.Below = []string{fmt.Sprintf("%d of %s must be reissued with cfw keys", warnings, plural(len(wires), "certificate"))}
	}
	view.Wire = wires
	return se.printer.Show(view)
}
