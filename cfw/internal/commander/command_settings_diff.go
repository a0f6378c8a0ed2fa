package commander

import (
	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsDiffCommand compares a revision with a file or another revision.
type settingsDiffCommand struct {
	File string `arg:"" optional:"" help:"Settings file to compare with; - for the standard input."`
	From uint64 `placeholder:"N" help:"Revision to compare; the one in force by default."`
	To   uint64 `placeholder:"N" help:"Revision to compare with, in place of a file."`
}

// Help returns examples.
func (settingsDiffCommand) Help() string {
	return `Shows the keys that are added (+), removed (-) and changed (~). Comments and order make no difference.

Examples:

    cfw settings diff settings.toml        what the file would change
    cfw settings diff --from 7 --to 9      what changed from revision 7 to 9`
}

// Run implements the command.
func (sd *settingsDiffCommand) Run(se *session) error {
	if (sd.File == "") == (sd.To == 0) {
		return classifier.New(classifier.Usage, "give either a file or --to")
	}
	rp, err := se.repository()
	if err != nil {
		return err
	}
	before, err := sd.before(se, rp)
	if err != nil {
		return err
	}
	after, err := sd.after(se, rp)
	if err != nil {
		return err
	}
	changes, err := configurer.Difference([]byte(before), []byte(after))
	if err != nil {
		return err
	}
	return se.printer.Show(printer.View{
		Above: differenceLines(changes),
		Wire:  newWireKeyChanges(changes),
	})
}

func (sd *settingsDiffCommand) before(se *session, rp *configurer.Repository) (string, error) {
	if sd.From != 0 {
		rc, err := rp.Revision(se.ctx, sd.From)
		return rc.Source, err
	}
	rc, err := rp.Head(se.ctx)
	if classifier.CodeOf(err) == classifier.SettingsNotFound {
		return "", nil
	}
	return rc.Source, err
}

func (sd *settingsDiffCommand) after(se *session, rp *configurer.Repository) (string, error) {
	if sd.To != 0 {
		rc, err := rp.Revision(se.ctx, sd.To)
		return rc.Source, err
	}
	source, err := se.readSource(sd.File)
	if err != nil {
		return "", err
	}
	_, err = configurer.ParseFile(sd.File, source)
	return string(source), err
}

func differenceLines(changes []configurer.KeyChange) []string {
	if len(changes) == 0 {
		return []string{"no difference"}
	}
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return lines
}
