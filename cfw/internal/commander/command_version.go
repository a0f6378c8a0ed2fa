package commander

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"coltsfootwick.example/cfw/internal/printer"
)

// versionCommand prints the version.
type versionCommand struct{}

// wireVersion is the version as JSON.
type wireVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run implements the command.
func (versionCommand) Run(se *session) error {
	version := wireVersion{
		Version:  "unknown",
		Revision: "unknown",
		Go:       runtime.Version(),
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		version.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version.Revision = setting.Value
			}
		}
	}
	return se.printer.Show(printer.View{
		Above: []string{fmt.Sprintf("cfw %s (revision %s, %s)", version.Version, version.Revision, version.Go)},
		Wire:  version,
	})
}
