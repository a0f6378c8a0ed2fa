package demonstrator

import (
	"bytes"
	"embed"
	"os"
	"path/filepath"
	"text/template"

	"coltsfootwick.example/shared/process/classifier"
)

//go:embed templates/*.toml
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "templates/*.toml"))

// writeFiles writes the settings files of all processes into the directory.
func (lt layout) writeFiles(directory string) error {
	for _, name := range []string{"platform_fleet", "targets", "settings", "load"} {
		if err := writeFile(directory, name, name, lt); err != nil {
			return err
		}
	}
	for _, zl := range lt.Zones {
		if err := writeNodeFiles(directory, "entry", zl.Entries); err != nil {
			return err
		}
		if err := writeNodeFiles(directory, "steward", zl.Stewards); err != nil {
			return err
		}
	}
	return nil
}

func writeNodeFiles(directory, form string, nodes []nodeLayout) error {
	for _, nl := range nodes {
		if err := writeFile(directory, nl.Name, form, nl); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(directory, name, form string, values any) error {
	const mode = 0o644
	var bf bytes.Buffer
	if err := templates.ExecuteTemplate(&bf, form+".toml", values); err != nil {
		return classifier.Wrap(err, classifier.Internal, "write %s", name)
	}
	if err := os.WriteFile(filepath.Join(directory, name+".toml"), bf.Bytes(), mode); err != nil {
		return classifier.Wrap(err, classifier.Internal, "write %s", name)
	}
	return nil
}
