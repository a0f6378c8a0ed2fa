package commander

import (
	"fmt"
	"strings"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/cfw/internal/waiter"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
)

// applyAndWait applies a change of the settings, waits until it is in force unless
// noWait is set, and shows the result.
func (se *session) applyAndWait(noWait bool, before configurer.Record, apply func() (configurer.Settings, error)) error {
	store, _, err := se.store()
	if err != nil {
		return err
	}
	wr := waiter.New(reporter.NewStatusCollector(store), waiter.WithProgress(se.showProgress))
	if !noWait {
		wr.RefreshMembers(se.ctx)
	}
	settings, err := apply()
	if err != nil {
		return err
	}
	se.progressf("revision %d is accepted (change %s)", settings.Revision, settings.ChangeID)
	changes, err := configurer.Difference([]byte(before.Source), []byte(settings.Source))
	if err != nil {
		return err
	}
	tally := waiter.Tally{}
	if !noWait {
		tally = wr.Wait(se.ctx, settings.Revision)
	}
	if err := se.showApplied(settings, changes, tally, noWait); err != nil {
		return err
	}
	return tallyError(settings.Revision, tally)
}

func (se *session) showProgress(tally waiter.Tally) {
	if tally.Nodes() == 0 {
		return
	}
	se.progressf("revision %d is in force on %d of %d nodes", tally.Revision, len(tally.InForce), tally.Nodes())
}

func (se *session) showApplied(settings configurer.Settings, changes []configurer.KeyChange, tally waiter.Tally, noWait bool) error {
	return se.printer.Show(printer.View{
		Above: append(differenceLines(changes), appliedLine(settings.Revision, tally, noWait)),
		Wire: wireApplied{
			Revision: settings.Revision,
			ChangeID: settings.ChangeID,
			Changes:  newWireKeyChanges(changes),
			InForce:  orEmpty(tally.InForce),
			Behind:   orEmpty(tally.Behind),
			Unheard:  orEmpty(tally.Unheard),
		},
	})
}

func appliedLine(revision uint64, tally waiter.Tally, noWait bool) string {
	switch {
	case noWait:
		return fmt.Sprintf("revision %d is accepted", revision)
	case tally.Nodes() == 0:
		return fmt.Sprintf("revision %d is accepted; no nodes are known", revision)
	}
	return fmt.Sprintf("revision %d is in force on %d of %d nodes", revision, len(tally.InForce), tally.Nodes())
}

// tallyError returns a SettingsNotInForce error that names the nodes without the
// revision, or nil if all nodes have it.
func tallyError(revision uint64, tally waiter.Tally) error {
	if tally.Complete() {
		return nil
	}
	var missing []string
	if len(tally.Behind) > 0 {
		missing = append(missing, "behind: "+strings.Join(tally.Behind, ", "))
	}
	if len(tally.Unheard) > 0 {
		missing = append(missing, "no answer: "+strings.Join(tally.Unheard, ", "))
	}
	return classifier.New(classifier.SettingsNotInForce, "revision %d; %s", revision, strings.Join(missing, "; "))
}

func (se *session) showUnchanged(before configurer.Record) error {
	return se.printer.Show(printer.View{
		Above: []string{fmt.Sprintf("no difference from revision %d; nothing was changed", before.Revision)},
		Wire: wireApplied{
			Revision:  before.Revision,
			ChangeID:  before.ChangeID,
			Unchanged: true,
			Changes:   []wireKeyChange{},
			InForce:   []string{},
			Behind:    []string{},
			Unheard:   []string{},
		},
	})
}

// orEmpty returns an empty slice for nil, so that JSON has an empty array.
func orEmpty(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}
