package commander

import (
	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsKeysCommand lists the keys of the settings.
type settingsKeysCommand struct{}

// Help returns examples.
func (settingsKeysCommand) Help() string {
	return `Lists every key of a settings file. Keys of services and pools but for those marked own may also stand in [defaults] and [poolDefaults]. Needs no platform.

Example:

    cfw settings keys`
}

// Run implements the command.
func (settingsKeysCommand) Run(se *session) error {
	view := printer.View{
		Header: []string{"SECTION", "KEY", "TYPE", "RANGE", "DEFAULT", "LEVEL", "MEANING"},
	}
	wire := []wireKey{}
	for _, key := range configurer.Keys() {
		wire = append(wire, newWireKey(key))
		view.Rows = append(view.Rows, []string{key.Section, key.Name, key.Type, key.Range, key.Default, levelText(key), key.Summary})
	}
	view.Wire = wire
	return se.printer.Show(view)
}

func levelText(key configurer.KeyDescription) string {
	if key.Inherited {
		return "inherited"
	}
	return "own"
}

func newWireKey(key configurer.KeyDescription) wireKey {
	return wireKey{
		Section:   key.Section,
		Name:      key.Name,
		Type:      key.Type,
		Range:     key.Range,
		Default:   key.Default,
		Inherited: key.Inherited,
		Summary:   key.Summary,
	}
}
