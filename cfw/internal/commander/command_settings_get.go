package commander

import (
	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsGetCommand prints the settings in force or an earlier revision.
type settingsGetCommand struct {
	Revision uint64 `placeholder:"N" help:"Print this revision and not the one in force."`
}

// Help returns examples.
func (settingsGetCommand) Help() string {
	return `Prints the settings as the operator wrote them. The last line names the revision; keep it when you edit the file, so that cfw settings apply can tell whether somebody else has changed the settings meanwhile.

Examples:

    cfw settings get > settings.toml
    cfw settings get --revision 12`
}

// Run implements the command.
func (sg *settingsGetCommand) Run(se *session) error {
	rp, err := se.repository()
	if err != nil {
		return err
	}
	rc, err := sg.fetch(se, rp)
	if err != nil {
		return err
	}
	wire := newWireRecord(rc)
	wire.Source = rc.Source
	return se.printer.Show(printer.View{
		Above: []string{addMarker(rc.Revision, rc.Source)},
		Wire:  wire,
	})
}

func (sg *settingsGetCommand) fetch(se *session, rp *configurer.Repository) (configurer.Record, error) {
	if sg.Revision == 0 {
		return rp.Head(se.ctx)
	}
	return rp.Revision(se.ctx, sg.Revision)
}
