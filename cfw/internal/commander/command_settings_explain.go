package commander

import (
	"strconv"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/configurer"
)

// settingsExplainCommand shows the origin of effective values.
type settingsExplainCommand struct {
	Name string `arg:"" optional:"" help:"Service or pool; all by default."`
	Key  string `placeholder:"KEY" help:"Show only this key."`
	File string `placeholder:"FILE" help:"Explain this file and not the settings in force."`
}

// Help returns examples.
func (settingsExplainCommand) Help() string {
	return `Shows every effective value with the level that it comes from: builtIn, organisation, or the service or pool itself.

Examples:

    cfw settings explain claims
    cfw settings explain --key requestTimeout
    cfw settings explain claims --file settings.toml`
}

// Run implements the command.
func (sx *settingsExplainCommand) Run(se *session) error {
	source, err := sx.source(se)
	if err != nil {
		return err
	}
	explanations, err := configurer.Explain(source)
	if err != nil {
		return err
	}
	view := printer.View{
		Header: []string{"SECTION", "NAME", "KEY", "VALUE", "FROM", "LINE"},
	}
	wire := []wireExplanation{}
	for _, ex := range explanations {
		if !sx.matches(ex) {
			continue
		}
		wire = append(wire, newWireExplanation(ex))
		view.Rows = append(view.Rows, []string{ex.Section, ex.Name, ex.Key, ex.Value, string(ex.Origin), lineText(ex.Line)})
	}
	if len(wire) == 0 {
		return classifier.New(classifier.Usage, "no service, pool or key matches; see cfw service list, cfw pool list and cfw settings keys")
	}
	view.Wire = wire
	return se.printer.Show(view)
}

func (sx *settingsExplainCommand) source(se *session) ([]byte, error) {
	if sx.File != "" {
		return se.readSource(sx.File)
	}
	settings, err := se.current()
	return []byte(settings.Source), err
}

func (sx *settingsExplainCommand) matches(ex configurer.Explanation) bool {
	return (sx.Name == "" || sx.Name == ex.Name) && (sx.Key == "" || sx.Key == ex.Key)
}

func lineText(line int) string {
	if line == 0 {
		return ""
	}
	return strconv.Itoa(line)
}

func newWireExplanation(ex configurer.Explanation) wireExplanation {
	return wireExplanation{
		Section: ex.Section,
		Name:    ex.Name,
		Key:     ex.Key,
		Value:   ex.Value,
		Origin:  string(ex.Origin),
		Line:    ex.Line,
	}
}
