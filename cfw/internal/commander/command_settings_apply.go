package commander

import (
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsApplyCommand applies a settings file as the next revision.
type settingsApplyCommand struct {
	File   string  `arg:"" help:"Settings file; - for the standard input."`
	Reason string  `required:"" placeholder:"TEXT" help:"Why, for the audit trail."`
	Base   *uint64 `placeholder:"N" help:"Revision that the file starts from, in place of the one in its last line; 0 for none."`
	NoWait bool    `help:"Don't wait until the settings are in force on the nodes."`
}

// Help returns examples.
func (settingsApplyCommand) Help() string {
	return `Checks the file, makes it the next revision and waits until every node has it in force. Nodes that don't answer are named, with result code 410; they take the revision once they can.

If the last line of the file names the revision that it starts from (see cfw settings get) and another change has been accepted since, nothing is changed and the other's difference is shown. Without that line the file replaces the revision in force, whatever that is.

Examples:

    cfw settings apply settings.toml --reason "more queue for claims"
    cfw settings apply settings.toml --reason "season" --no-wait`
}

// Run implements the command.
func (sa *settingsApplyCommand) Run(se *session) error {
	if err := se.requireAuthor(); err != nil {
		return err
	}
	marked, err := se.readSource(sa.File)
	if err != nil {
		return err
	}
	if _, err := configurer.ParseFile(sa.File, marked); err != nil {
		return err
	}
	rp, err := se.repository()
	if err != nil {
		return err
	}
	before, err := headOrEmpty(se, rp)
	if err != nil {
		return err
	}
	base, source := splitMarker(string(marked))
	if base == 0 {
		base = before.Revision
	}
	if sa.Base != nil {
		base = *sa.Base
	}
	if source == before.Source {
		return se.showUnchanged(before)
	}
	return se.applyAndWait(sa.NoWait, before, func() (configurer.Settings, error) {
		return rp.Apply(se.ctx, configurer.Change{
			Author: se.Author,
			Reason: sa.Reason,
			Source: source,
			Base:   base,
		})
	})
}

// headOrEmpty returns the record in force, or a zero record before the first
// change.
func headOrEmpty(se *session, rp *configurer.Repository) (configurer.Record, error) {
	rc, err := rp.Head(se.ctx)
	if classifier.CodeOf(err) == classifier.SettingsNotFound {
		return configurer.Record{}, nil
	}
	return rc, err
}
