package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, st := range info.Settings {
			if st.Key == "vcs.revision" {
				version = st.Value
			}
		}
	}
	_, err := fmt.Println("coltsfootwick-steward", version)
	return err
}
