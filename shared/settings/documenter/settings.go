package documenter

import "coltsfootwick.example/shared/settings/configurer"

// Settings renders a table for each section of the settings tree.
func Settings() string {
	text := ""
	section := ""
	var rows [][]string
	for _, key := range configurer.Keys() {
		if key.Section != section {
			text += settingsSection(section, rows)
			section = key.Section
			rows = nil
		}
		rows = append(rows, settingsRow(key))
	}
	return text + settingsSection(section, rows)
}

func settingsSection(section string, rows [][]string) string {
	if section == "" {
		return ""
	}
	header := []string{"key", "type", "range", "default", "meaning"}
	return "\n### `[" + section + "]`\n\n" + table(header, rows)
}

func settingsRow(key configurer.KeyDescription) []string {
	return []string{code(key.Name), key.Type, key.Range, defaultText(key), key.Summary}
}

// defaultText returns the text of the default column: the built-in default,
// "required" if there is none, and a note if the key is not inherited.
func defaultText(key configurer.KeyDescription) string {
	switch {
	case key.Default == "":
		return "required"
	case !key.Inherited:
		return code(key.Default) + ", not inherited"
	}
	return code(key.Default)
}
