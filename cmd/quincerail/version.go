package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// versionCmd prints what the program was built from.
type versionCmd struct{}

// Run implements the sub-command.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("no build information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("quincerail %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}
