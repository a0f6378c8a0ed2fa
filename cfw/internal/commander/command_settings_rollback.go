package commander

import "coltsfootwick.example/shared/settings/configurer"

// settingsRollbackCommand applies the settings of an earlier revision as the next
// revision.
type settingsRollbackCommand struct {
	Revision uint64 `arg:"" help:"Revision to put in force again."`
	Reason   string `placeholder:"TEXT" help:"Why, for the audit trail."`
	NoWait   bool   `help:"Don't wait until the settings are in force on the nodes."`
}

// Help returns examples.
func (settingsRollbackCommand) Help() string {
	return `Puts the settings of an earlier revision in force as a new revision, and waits like cfw settings apply. Look first with cfw settings diff.

Examples:

    cfw settings diff --to 12
    cfw settings rollback 12 --reason "queue too long"`
}

// Run implements the command.
func (sr *settingsRollbackCommand) Run(se *session) error {
	if err := se.requireAuthor(); err != nil {
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
	return se.applyAndWait(sr.NoWait, before, func() (configurer.Settings, error) {
		return rp.Rollback(se.ctx, sr.Revision, configurer.Change{
			Author: se.Author,
			Reason: sr.Reason,
			Base:   before.Revision,
		})
	})
}
